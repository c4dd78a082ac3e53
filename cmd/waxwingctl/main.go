// Command waxwingctl is the operators' command-line client of a site.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Ctl(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
