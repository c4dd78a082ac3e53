// Command waxwing-dev runs a complete site in one process on loopback, with
// embedded stand-ins for the platform and the targets.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Dev(os.Args[1:], os.Stdout, os.Stderr)) }
