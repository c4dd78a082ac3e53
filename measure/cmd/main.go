// Command cmd runs the measurements of maintenance waves: make measure.
package main

import (
	"fmt"
	"os"

	"github.com/waxwingbridge/waxwingbridge/measure"
)

// A missed goal is a finding of the report and not a failure of the command.
func main() {
	if _, err := measure.Report(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
