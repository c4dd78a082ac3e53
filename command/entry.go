package command

import (
	"fmt"
	"io"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"github.com/waxwingbridge/waxwingbridge/entry"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/platform"
)

// entryFlags are the flags of waxwing-entry. Addresses and zone come from the
// platform's settings file instead.
type entryFlags struct {
	LogLevel     string `help:"Lowest level that is logged: debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	Forecast     bool   `help:"Learn the turns of each pool's demand, and order machines ahead of them." env:"WAXWING_FORECAST"`
	Interference bool   `help:"Keep tasks apart that slow each other down." env:"WAXWING_INTERFERENCE"`
}

// Entry runs waxwing-entry and returns its exit status. It logs to stdout, from
// which the platform collects logs.
func Entry(args []string, stdout, stderr io.Writer) int {
	const program = "waxwing-entry"
	reload := entry.NotifyReload()
	var flags entryFlags
	if status, ok := parseServerFlags(program, "Runs on each machine of the operators' platform: answers clients and runs the jobs of the pools it owns.", args, &flags, stderr); !ok {
		return status
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err) // a failed write to stderr cannot be reported
		return exitFailure
	}
	id := node.NewIncarnation()
	lines := events.NewAsyncWriter(stdout)
	logger := events.New(lines, log.ParseLevel(flags.LogLevel), settings.Node, id)
	return runApp(program, entry.MaxStopTime, stderr,
		fx.Provide(func() *entry.Process {
			p := entry.New(settings, entry.Features{Forecast: flags.Forecast, Interference: flags.Interference}, logger, id)
			p.DroppedLines, p.Reload = lines.Dropped, reload
			return p
		}),
		fx.Invoke(func(lifecycle fx.Lifecycle, p *entry.Process) { registerHooks(lifecycle, p) }))
}
