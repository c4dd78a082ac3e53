package program

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/settings"
	"github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

const (
	maxZones    = 64
	maxRackSize = 64
	maxPort     = 65535
	maxCores    = 1024
	maxMemoryMB = 16 << 20
	maxRate     = 1_000_000
	maxDuration = time.Hour
)

// PlatformFlags are the flags of waxwing-standin-platform.
type PlatformFlags struct {
	Logging
	ListenStore    settings.Address `default:"127.0.0.1:7001" help:"ip:port of the key-value service."`
	ListenPlatform settings.Address `default:"127.0.0.1:7002" help:"ip:port of the VM and task interface and of the fault switches."`

	Pools           string           `default:"orders=9,ledger=9,bookings=11,reports=12,spare=8" help:"Pools and their numbers of workers."`
	Zones           int              `default:"3" help:"Number of availability zones, 1 to 64."`
	RackSize        int              `default:"4" help:"Workers in a rack, 1 to 64."`
	Cores           int              `default:"32" help:"Cores of a worker, 1 to 1024."`
	MemoryMB        int              `default:"65536" help:"Memory of a worker in MB, 1 to 16777216."`
	TargetHost      string           `default:"127.0.0.1" help:"IP address of the targets."`
	FirstTargetPort int              `default:"7101" help:"Port of the first target, 1 to 65535; the others follow."`
	TargetControl   settings.BaseURL `default:"http://127.0.0.1:7100" help:"Administration address of waxwing-standin-target."`

	ListLag              time.Duration `default:"1s" help:"Greatest age of the VM list, 10ms to 1h."`
	UsageLag             time.Duration `default:"1s" help:"Greatest age of the tasks' usage, 10ms to 1h."`
	RebootTime           time.Duration `default:"2s" help:"Time that a reboot takes, 10ms to 1h."`
	StoreReadsPerSecond  int           `default:"2000" help:"Reads that the store answers, 1 to 1000000 a second."`
	StoreWritesPerSecond int           `default:"500" help:"Writes that the store answers, 1 to 1000000 a second."`
}

// Validate returns an error for each flag value outside its range.
func (f *PlatformFlags) Validate() error {
	pools, err := platform.ParsePools(f.Pools)
	workers := 0
	for _, pool := range pools {
		workers += pool.Workers
	}
	if err != nil {
		err = errors.Newf("--pools: %w", err)
	}
	return errors.Join(
		err,
		checkRange("zones", f.Zones, maxZones),
		checkRange("rack-size", f.RackSize, maxRackSize),
		checkRange("cores", f.Cores, maxCores),
		checkRange("memory-mb", f.MemoryMB, maxMemoryMB),
		checkRange("first-target-port", f.FirstTargetPort, maxPort-workers+1),
		checkRange("store-reads-per-second", f.StoreReadsPerSecond, maxRate),
		checkRange("store-writes-per-second", f.StoreWritesPerSecond, maxRate),
		checkDuration("list-lag", f.ListLag), checkDuration("usage-lag", f.UsageLag), checkDuration("reboot-time", f.RebootTime),
	)
}

func checkDuration(flag string, value time.Duration) error {
	const minimum = 10 * time.Millisecond
	if value < minimum || value > maxDuration {
		return errors.Newf("--%s=%v is not in the range %v to %v", flag, value, minimum, maxDuration)
	}
	return nil
}

// Platform runs waxwing-standin-platform and returns its exit status.
func Platform(args []string, stdout, stderr io.Writer) int {
	flags := &PlatformFlags{}
	return run("waxwing-standin-platform", "Stand-in for the platform: store, VM list, tasks.", args, flags, &flags.Logging,
		stdout, stderr, flags.start)
}

func (f *PlatformFlags) start() ([]events.Field, func(), error) {
	pools, err := platform.ParsePools(f.Pools)
	if err != nil {
		return nil, nil, err
	}
	control := platform.NewHTTPTargetControl(string(f.TargetControl))
	server, err := platform.Start(platform.Options{
		ListenStore:    string(f.ListenStore),
		ListenPlatform: string(f.ListenPlatform),
		Workers: platform.BuildWorkers(platform.FleetSpec{
			Pools: pools, Zones: f.Zones, RackSize: f.RackSize, Cores: f.Cores, MemoryMB: f.MemoryMB,
			TargetHost: f.TargetHost, FirstPort: f.FirstTargetPort,
		}),
		Targets: control,
		Store: memory.Options{
			ReadsPerSecond: float64(f.StoreReadsPerSecond), WritesPerSecond: float64(f.StoreWritesPerSecond),
		},
		ListLag: f.ListLag, UsageLag: f.UsageLag, RebootTime: f.RebootTime,
	})
	if err != nil {
		return nil, nil, err
	}
	fields := []events.Field{events.F("store", server.StoreURL()), events.F("platform", server.PlatformURL())}
	return fields, func() { server.Close(); control.Close() }, nil
}
