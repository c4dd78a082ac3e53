// Package test runs the production programs as separate processes, injects faults
// and checks the invariants of docs/design.md throughout. docs/fault-matrix.md
// lists the cases.
package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// trafficSeed seeds the random choices of the callers.
const trafficSeed = 20261204

// binaries is the directory of the programs that TestMain builds.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "waxwing-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binaries = directory
	root := "github.com/waxwingbridge/waxwingbridge/cmd/"
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		root+"waxwing-gateway", root+"waxwing-controller", root+"waxwing-standin-platform", root+"waxwing-standin-target")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, output)
		return 1
	}
	fmt.Printf("seed of the callers: %d\n", trafficSeed)
	return m.Run()
}
