package platform

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/settings"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

// PoolSize is the name of a pool and its number of workers.
type PoolSize struct {
	Name    string
	Workers int
}

// FleetSpec describes a fleet for BuildWorkers.
type FleetSpec struct {
	Pools        []PoolSize
	Zones        int
	RackSize     int
	Cores        int
	MemoryMB     int
	Accelerators int
	// TargetHost and FirstPort determine the target addresses, with consecutive
	// ports. If FirstPort is 0, the caller sets the addresses.
	TargetHost string
	FirstPort  int
}

// DefaultFleet returns a fleet of the current size of the Žarište site.
func DefaultFleet() FleetSpec {
	return FleetSpec{
		Pools: []PoolSize{{"orders", 9}, {"ledger", 9}, {"bookings", 11}, {"reports", 12}, {"spare", 8}},
		Zones: 3, RackSize: 4, Cores: 32, MemoryMB: 64 << 10, TargetHost: "127.0.0.1",
	}
}

// ParsePools parses a list such as "orders=9,spare=8".
func ParsePools(text string) ([]PoolSize, error) {
	var pools []PoolSize
	for _, part := range strings.Split(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		workers, err := strconv.Atoi(number)
		if err != nil || workers < 1 || !settings.ValidName(name) {
			return nil, errors.Newf("%q is not of the form pool=workers with at least 1 worker", part)
		}
		pools = append(pools, PoolSize{Name: name, Workers: workers})
	}
	return pools, nil
}

// BuildWorkers returns the workers of a fleet, named w001, w002 and so on. The
// racks, named r01 and so on, are assigned round-robin to the zones (az1, az2,
// ...), and the workers of each pool round-robin to the racks.
func BuildWorkers(spec FleetSpec) []infra.Worker {
	total := 0
	for _, pool := range spec.Pools {
		total += pool.Workers
	}
	racks := (total + spec.RackSize - 1) / spec.RackSize
	workers := make([]infra.Worker, 0, total)
	for _, pool := range spec.Pools {
		for range pool.Workers {
			workers = append(workers, buildWorker(spec, pool.Name, len(workers), racks))
		}
	}
	return workers
}

func buildWorker(spec FleetSpec, pool string, number, racks int) infra.Worker {
	rack := number % racks
	worker := infra.Worker{
		ID:               target.WorkerID(number),
		AvailabilityZone: fmt.Sprintf("az%d", rack%spec.Zones+1),
		Rack:             fmt.Sprintf("r%02d", rack+1),
		Pool:             pool,
		Cores:            spec.Cores,
		MemoryMB:         spec.MemoryMB,
		Accelerators:     spec.Accelerators,
		Status:           infra.WorkerLive,
		BootID:           1,
	}
	if spec.FirstPort > 0 {
		worker.Address = net.JoinHostPort(spec.TargetHost, strconv.Itoa(spec.FirstPort+number))
	}
	return worker
}
