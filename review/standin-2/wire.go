package main

import (
	_ "embed" // for the texts
	"strings"
	"time"
)

// wireText holds names of the wire that no Go file outside the adapter may contain.
//
//go:embed wire.txt
var wireText string

// settingsText is the settings file of a small deployment, as the pages show it.
//
//go:embed settings.toml.txt
var settingsText string

// wire holds the names of wireText.
var wire = parseNames(wireText)

func parseNames(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[name] = value
		}
	}
	return names
}

// step is a step of a job. Its subtasks take the time took, or run until they are stopped
// if that is 0.
type step struct {
	count, cpu, memory, estimatedMs int
	requirements                    string
	maxPerServer, maxUnavailable    int
	lasts                           bool
	took                            time.Duration
}

// body returns the step as a client hands it in.
func (s *step) body() map[string]any {
	body := map[string]any{"Count": s.count, "Cpu": s.cpu, wire["memory"]: s.memory, "EstimatedMs": s.estimatedMs}
	if s.requirements != "" {
		body["Requirements"] = s.requirements
	}
	if s.maxPerServer > 0 {
		body["MaxPerServer"] = s.maxPerServer
	}
	if s.lasts {
		body["LongRunning"], body["MaxUnavailable"] = true, s.maxUnavailable
	}
	return body
}
