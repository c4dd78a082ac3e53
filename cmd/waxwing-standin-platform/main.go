// Command waxwing-standin-platform runs the stand-in for the platform.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/standin/program"
)

func main() { os.Exit(program.Platform(os.Args[1:], os.Stdout, os.Stderr)) }
