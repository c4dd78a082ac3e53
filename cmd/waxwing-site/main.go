// Command waxwing-site runs a site on a stand-in of the operators' platform.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Site(os.Args[1:], os.Stdout, os.Stderr)) }
