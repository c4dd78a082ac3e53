// Command capacity measures how the cost of the control plane grows with the size
// of a site. Run it with "make capacity". It runs the real systems on a simulated
// clock, fits a line over several sizes and measures real processes.
// docs/CAPACITY.md explains the figures. With the argument "slopes" it skips the
// real processes.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
)

func main() {
	if err := write(os.Stdout, !slices.Contains(os.Args[1:], "slopes")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(w io.Writer, processes bool) error {
	idle, busy := newReport(), newReport()
	for _, r := range []struct {
		report *report
		busy   bool
		title  string
	}{
		{idle, false, "idle site: no demand, no wave, jobs run on"},
		{busy, true, "busy site: every queue and worker changes each second, a wave at full speed, jobs come and go"},
	} {
		if err := measureSlopes(r.report, r.busy); err != nil {
			return err
		}
		if err := r.report.write(w, r.title, "workers", 100, float64(regionSite.workers), float64(wholeSite.workers)); err != nil {
			return err
		}
	}
	if err := writeExchange(w); err != nil {
		return err
	}
	if err := writeBounds(w, idle, busy); err != nil || !processes {
		return err
	}
	for _, z := range []siteSize{regionSite, wholeSite} {
		costs, err := checkProcesses(z)
		if err != nil {
			return err
		}
		if err := writeProcesses(w, z, costs); err != nil {
			return err
		}
	}
	return nil
}

// measureSlopes measures the roles and the codecs at every size. Systems and events
// are reported separately if they are large at the largest size.
func measureSlopes(r *report, busy bool) error {
	type roles struct{ gateway, active, standby loopCost }
	var measurements []roles
	codecs := newReport()
	for _, z := range siteSizes {
		s := simulate(z, busy)
		active := s.active()
		if active == nil {
			return errors.Newf("no controller became active with %d workers", z.workers)
		}
		standby := s.controllers[slices.IndexFunc(s.controllers, func(c *controllerHost) bool { return c != active })]
		measurements = append(measurements, roles{replayGateway(s, s.gateways[0]), replayController(s, active), replayController(s, standby)})
		for _, kind := range []string{"fleet document: writes", "platform: worker questions", "platform: calls", "jobs: starts"} {
			codecs.add(kind, "/s", float64(z.workers), float64(s.counts[kind])/measuredPeriod.Seconds())
		}
		measureCodecs(s, codecs)
	}
	largest := measurements[len(measurements)-1]
	for i, z := range siteSizes {
		x := float64(z.workers)
		r.addLoad("gateway", x, measurements[i].gateway, largeParts(largest.gateway))
		r.addLoad("active", x, measurements[i].active, largeParts(largest.active))
		r.addLoad("standby", x, measurements[i].standby, largeParts(largest.standby))
	}
	for _, name := range codecs.names {
		for i, x := range codecs.series[name].x {
			r.add(name, codecs.series[name].unit, x, codecs.series[name].y[i])
		}
	}
	return nil
}

// exchangeSizes are the numbers of gateways and controllers of the sites over which
// the peer exchange is measured.
var exchangeSizes = [][2]int{{6, 1}, {7, 3}, {8, 5}, {8, 8}}

// writeExchange measures the traffic of the peer exchange over the number of
// processes, with the fleet of one region.
func writeExchange(w io.Writer) error {
	r := newReport()
	for _, busy := range []bool{false, true} {
		name := map[bool]string{false: "idle", true: "busy"}[busy]
		for _, processes := range exchangeSizes {
			z := regionSite
			z.gateways, z.controllers = processes[0], processes[1]
			s := simulate(z, busy)
			x := float64(z.gateways + z.controllers)
			var sent, received float64
			for _, g := range s.gateways {
				sent += float64(g.traffic.sent) / float64(len(s.gateways))
				received += float64(g.traffic.received) / float64(len(s.gateways))
			}
			r.add(name+": mean gateway sent", "KB/s", x, sent/measuredPeriod.Seconds()/kilobyte)
			r.add(name+": mean gateway received", "KB/s", x, received/measuredPeriod.Seconds()/kilobyte)
		}
	}
	return r.write(w, fmt.Sprintf("peer exchange, %d workers", regionSite.workers), "processes", 1, 11, 16)
}
