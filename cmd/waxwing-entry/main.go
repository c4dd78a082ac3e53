// Command waxwing-entry is the service that runs on each machine of the operators'
// platform. It answers clients and runs the jobs of the pools that it owns.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Entry(os.Args[1:], os.Stdout, os.Stderr)) }
