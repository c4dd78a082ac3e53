// Command waxwing-site runs a stand-in of the operators' platform and several
// waxwing-entry services in one process on loopback.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Site(os.Args[1:], os.Stdout, os.Stderr)) }
