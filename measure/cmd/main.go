// Command cmd measures the cost of maintenance waves. Run it with "make measure".
package main

import (
	"fmt"
	"os"

	"github.com/waxwingbridge/waxwingbridge/measure"
)

// A missed goal is reported but does not fail the command.
func main() {
	if _, err := measure.Report(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
