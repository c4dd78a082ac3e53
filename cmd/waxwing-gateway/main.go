// Command waxwing-gateway runs one gateway of a site.
package main

import (
	"os"

	"github.com/waxwingbridge/waxwingbridge/command"
)

func main() { os.Exit(command.Gateway(os.Args[1:], os.Stderr)) }
