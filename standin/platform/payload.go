package platform

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultRun           = 100 * time.Millisecond
	wattsPerCore         = 8
	milliCoresPerCore    = 1000
	throttledSpeedFactor = 2 // throttling halves speed and power
)

// behaviour is the simulated behaviour of a task. The payload sets it with
// directives separated by white space; unknown directives are rejected:
//
//	run:500ms   run for this time, default 100ms
//	hang        never finish
//	fail        end as failed instead of done
//	cores:1500  use this many millicores, default as declared
//	memory:64   use this many MB, default as declared
//	watts:30    draw this power, default 8 W per core used
type behaviour struct {
	run        time.Duration
	hangs      bool
	fails      bool
	milliCores int
	memoryMB   int
	watts      int
}

func parsePayload(payload string, milliCores, memoryMB int) (behaviour, error) {
	b := behaviour{run: defaultRun, milliCores: milliCores, memoryMB: memoryMB, watts: -1}
	for _, directive := range strings.Fields(payload) {
		if err := b.parseDirective(directive); err != nil {
			return behaviour{}, errors.Newf("payload directive %q: %w", directive, err)
		}
	}
	if b.watts < 0 {
		b.watts = b.milliCores * wattsPerCore / milliCoresPerCore
	}
	return b, nil
}

func (b *behaviour) parseDirective(directive string) (err error) {
	name, value, _ := strings.Cut(directive, ":")
	switch name {
	case "run":
		b.run, err = time.ParseDuration(value)
	case "hang":
		b.hangs = true
	case "fail":
		b.fails = true
	case "cores":
		b.milliCores, err = strconv.Atoi(value)
	case "memory":
		b.memoryMB, err = strconv.Atoi(value)
	case "watts":
		b.watts, err = strconv.Atoi(value)
	default:
		err = errors.Newf("want run, hang, fail, cores, memory or watts")
	}
	return err
}
