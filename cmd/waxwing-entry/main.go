// Command waxwing-entry runs on each machine of the operators' platform.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Entry(os.Args[1:], os.Stdout, os.Stderr)) }
