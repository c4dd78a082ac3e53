// Command waxwing-dev runs a whole site in one process on loopback, with
// embedded stand-ins for platform and targets.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Dev(os.Args[1:], os.Stdout, os.Stderr)) }
