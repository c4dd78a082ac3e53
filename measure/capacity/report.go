package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// report collects the points of each measured quantity in the order of their
// first appearance.
type report struct {
	names  []string
	series map[string]*series
}

type series struct {
	unit string
	x, y []float64
}

func newReport() *report { return &report{series: map[string]*series{}} }

func (r *report) add(name, unit string, x, y float64) {
	s := r.series[name]
	if s == nil {
		s = &series{unit: unit}
		r.series[name] = s
		r.names = append(r.names, name)
	}
	s.x, s.y = append(s.x, x), append(s.y, y)
}

// at returns the fitted value of a quantity, zero for an unknown one.
func (r *report) at(name string, x float64) float64 {
	s := r.series[name]
	if s == nil {
		return 0
	}
	return max(0, fit(s.x, s.y).at(x))
}

// write prints the points with the fitted line, whose slope is per step of x, and
// its values at the places.
func (r *report) write(w io.Writer, title, what string, step float64, places ...float64) error {
	if _, err := fmt.Fprintf(w, "\n%s\n\n", title); err != nil {
		return err
	}
	var t strings.Builder
	for i, name := range r.names {
		s := r.series[name]
		if i == 0 {
			var head strings.Builder
			for _, x := range s.x {
				fmt.Fprintf(&head, "%.0f\t", x)
			}
			fmt.Fprintf(&head, "per %.0f\tat 0\t", step)
			for _, place := range places {
				fmt.Fprintf(&head, "fit at %.0f\t", place)
			}
			fmt.Fprintf(&t, "%s\t%s\n", what, head.String())
		}
		l := fit(s.x, s.y)
		fmt.Fprintf(&t, "%s\t", strings.TrimSpace(name+" "+s.unit))
		for _, value := range append(slices.Clone(s.y), l.slope*step, l.intercept) {
			fmt.Fprintf(&t, "%.3g\t", value)
		}
		for _, place := range places {
			fmt.Fprintf(&t, "%.3g\t", l.at(place))
		}
		t.WriteString("\n")
	}
	return aligned(w, t.String(), tabwriter.AlignRight)
}

// aligned writes rows whose cells end with tabs.
func aligned(w io.Writer, rows string, flags uint) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', flags)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}

// leastShare hides the systems and events that cost less at every size.
const leastShare = 0.01

// addLoad adds the cost of a role's control loop and its largest parts.
func (r *report) addLoad(role string, x float64, l load, parts []string) {
	r.add(role+": control loop", "% core", x, l.core)
	r.add(role+": state", "MB", x, l.heap)
	r.add(role+": ticks", "/s", x, l.ticks)
	r.add(role+": exchange sent", "KB/s", x, l.sent/kilobyte)
	r.add(role+": exchange received", "KB/s", x, l.received/kilobyte)
	for _, part := range parts {
		r.add(role+": "+part, "% core", x, l.parts[part])
	}
}

func largeParts(l load) []string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.parts)) {
		if l.parts[name] >= leastShare {
			parts = append(parts, name)
		}
	}
	return parts
}

func writeProcesses(w io.Writer, z size, costs []periodCost) error {
	if _, err := fmt.Fprintf(w, "\nreal processes: %d workers, %d gateways, %d controllers, mean per process\n\n", z.workers, z.gateways, z.controllers); err != nil {
		return err
	}
	var t strings.Builder
	t.WriteString("period\trole\t% core\tKB/s sent\tKB/s received\tpeak resident MB\n")
	for _, cost := range costs {
		for _, role := range slices.Sorted(maps.Keys(cost.roles)) {
			c := cost.roles[role]
			fmt.Fprintf(&t, "%s\t%s\t%.2f\t%.1f\t%.1f\t%.0f\n", cost.name, role, c.core, c.sent/kilobyte, c.received/kilobyte, c.resident)
		}
	}
	if err := aligned(w, t.String(), 0); err != nil {
		return err
	}
	for _, cost := range costs {
		var calls []string
		for _, kind := range slices.Sorted(maps.Keys(cost.calls)) {
			if cost.calls[kind] > 0 {
				calls = append(calls, fmt.Sprintf("%s %.2f", kind, cost.calls[kind]))
			}
		}
		if _, err := fmt.Fprintf(w, "calls a second of all processes, %s: %s\n", cost.name, strings.Join(calls, ", ")); err != nil {
			return err
		}
	}
	return nil
}
