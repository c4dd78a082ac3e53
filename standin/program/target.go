package program

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/settings"
	"github.com/waxwingbridge/waxwingbridge/standin/listen"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

const (
	maxTargets     = 2048
	maxSlots       = 10_000
	maxServiceTime = time.Minute
)

// TargetFlags are the flags of waxwing-standin-target.
type TargetFlags struct {
	Logging
	ListenAdmin settings.Address `default:"127.0.0.1:7100" help:"ip:port of the switches and counters of all targets."`
	Host        string           `default:"127.0.0.1" help:"IP address of the targets."`
	FirstPort   int              `default:"7101" help:"Port of the first target, 1 to 65535; the others follow."`
	Count       int              `default:"49" help:"Number of targets, 1 to 2048; they are named w001, w002 and so on."`
	Slots       int              `default:"8" help:"Requests that a target executes at once, 1 to 10000."`
	Connections int              `default:"64" help:"Connections that a target accepts, 1 to 10000."`
	ServiceTime time.Duration    `default:"5ms" help:"Mean service time, 0s to 1m."`
	Exponential bool             `help:"Draw service times from an exponential distribution instead of taking the mean."`
	Seed        uint64           `default:"1" help:"Seed of the service times."`
}

// Validate returns an error for each flag value outside its range.
func (f *TargetFlags) Validate() error {
	var service error
	if f.ServiceTime < 0 || f.ServiceTime > maxServiceTime {
		service = errors.Newf("--service-time=%v is not in the range 0s to %v", f.ServiceTime, maxServiceTime)
	}
	return errors.Join(
		service,
		checkRange("count", f.Count, maxTargets),
		checkRange("first-port", f.FirstPort, maxPort-f.Count+1),
		checkRange("slots", f.Slots, maxSlots),
		checkRange("connections", f.Connections, maxSlots),
	)
}

// Target runs waxwing-standin-target and returns its exit status.
func Target(args []string, stdout, stderr io.Writer) int {
	flags := &TargetFlags{}
	return run("waxwing-standin-target", "Stand-in for the targets on the workers.", args, flags, &flags.Logging,
		stdout, stderr, flags.start)
}

func (f *TargetFlags) start() ([]events.Field, func(), error) {
	options := target.Options{
		Slots: f.Slots, Connections: f.Connections, Seed: f.Seed,
		Service: target.ServiceTime{Mean: f.ServiceTime, Exponential: f.Exponential},
	}
	for i := range f.Count {
		options.Targets = append(options.Targets, target.Spec{
			Worker: target.WorkerID(i), Listen: net.JoinHostPort(f.Host, strconv.Itoa(f.FirstPort+i)),
		})
	}
	group, err := target.Start(options)
	if err != nil {
		return nil, nil, err
	}
	admin, err := listen.Start(string(f.ListenAdmin), func(server *http.Server) { server.Handler = group.AdminHandler() })
	if err != nil {
		group.Close()
		return nil, nil, err
	}
	fields := []events.Field{events.F("admin", admin.Address()), events.F("targets", f.Count)}
	return fields, func() { admin.Close(); group.Close() }, nil
}
