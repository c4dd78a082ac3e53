// Command waxwing-controller runs one controller of a site.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Controller(os.Args[1:], os.Stderr)) }
