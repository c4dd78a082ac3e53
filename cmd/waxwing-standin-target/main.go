// Command waxwing-standin-target runs the stand-in for the targets.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/standin/program"
)

func main() { os.Exit(program.Target(os.Args[1:], os.Stdout, os.Stderr)) }
