package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// report collects the points of each measured quantity, in the order in which the
// quantities first appear.
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

// at returns the fitted value of a quantity, or zero if it is unknown.
func (r *report) at(name string, x float64) float64 {
	s := r.series[name]
	if s == nil {
		return 0
	}
	return max(0, fit(s.x, s.y).at(x))
}

// write prints the points, the fitted line with its slope per step of x, and the
// fitted values at places.
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
	return writeTable(w, t.String(), tabwriter.AlignRight)
}

// writeTable aligns tab-separated rows in columns.
func writeTable(w io.Writer, rows string, flags uint) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', flags)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}

// minShownPercent of a core hides systems and events that cost less at the largest
// size.
const minShownPercent = 0.01

// addLoad adds the cost of the control loop of a role and its largest parts.
func (r *report) addLoad(role string, x float64, l loopCost, parts []string) {
	r.add(role+": control loop", "% core", x, l.corePercent)
	r.add(role+": state", "MB", x, l.heapMB)
	r.add(role+": ticks", "/s", x, l.ticksPerSecond)
	r.add(role+": exchange sent", "KB/s", x, l.sentPerSecond/kilobyte)
	r.add(role+": exchange received", "KB/s", x, l.receivedPerSecond/kilobyte)
	for _, part := range parts {
		r.add(role+": "+part, "% core", x, l.partPercent[part])
	}
}

func largeParts(l loopCost) []string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.partPercent)) {
		if l.partPercent[name] >= minShownPercent {
			parts = append(parts, name)
		}
	}
	return parts
}

func writeProcesses(w io.Writer, z siteSize, costs []periodCost) error {
	if _, err := fmt.Fprintf(w, "\nreal processes: %d workers, %d gateways, %d controllers, mean per process\n\n", z.workers, z.gateways, z.controllers); err != nil {
		return err
	}
	var t strings.Builder
	t.WriteString("period\trole\t% core\tKB/s sent\tKB/s received\tpeak resident MB\n")
	for _, cost := range costs {
		for _, role := range slices.Sorted(maps.Keys(cost.roles)) {
			c := cost.roles[role]
			fmt.Fprintf(&t, "%s\t%s\t%.2f\t%.1f\t%.1f\t%.0f\n", cost.name, role, c.corePercent, c.sent/kilobyte, c.received/kilobyte, c.peakResidentMB)
		}
	}
	if err := writeTable(w, t.String(), 0); err != nil {
		return err
	}
	for _, cost := range costs {
		var calls []string
		for _, kind := range slices.Sorted(maps.Keys(cost.callsPerSecond)) {
			if cost.callsPerSecond[kind] > 0 {
				calls = append(calls, fmt.Sprintf("%s %.2f", kind, cost.callsPerSecond[kind]))
			}
		}
		if _, err := fmt.Fprintf(w, "calls a second of all processes, %s: %s\n", cost.name, strings.Join(calls, ", ")); err != nil {
			return err
		}
	}
	return nil
}
