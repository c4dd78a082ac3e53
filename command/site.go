package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"go.uber.org/fx"

	"github.com/waxwingbridge/waxwingbridge/entry"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/platform/standin"
)

// siteFlags are the flags of waxwing-site.
type siteFlags struct {
	Processes int    `help:"Number of waxwing-entry processes, 1 to 16." default:"3"`
	LogLevel  string `help:"Lowest level that is logged: debug, info, warn or error." default:"warn" enum:"debug,info,warn,error"`
}

// Validate checks the number of processes. The flag parser calls it.
func (f *siteFlags) Validate() error {
	if f.Processes < 1 || f.Processes > 16 {
		return errors.Newf("--processes is %d, accepted are 1 to 16", f.Processes)
	}
	return nil
}

// Site runs waxwing-site, a stand-in of the operators' platform with several
// waxwing-entry services in one process on loopback, and returns its exit status.
func Site(args []string, stdout, stderr io.Writer) int {
	const program = "waxwing-site"
	var flags siteFlags
	if status, ok := parseServerFlags(program, "Runs a site on a stand-in of the operators' platform, in one process on loopback.", args, &flags, stderr); !ok {
		return status
	}
	s := &siteProcess{flags: flags, stdout: stdout, stderr: stderr}
	return runApp(program, entry.MaxStopTime+time.Second, stderr, fx.Invoke(func(lifecycle fx.Lifecycle) { registerHooks(lifecycle, s) }))
}

// siteProcess is the service of waxwing-site.
type siteProcess struct {
	flags          siteFlags
	stdout, stderr io.Writer
	platform       *standin.Site
	processes      []*entry.Process
}

// Start starts the stand-in and the entry services and prints their addresses.
func (s *siteProcess) Start() error {
	var err error
	if s.platform, err = standin.StartExample(); err != nil {
		return err
	}
	logger := events.NewAsyncWriter(s.stderr)
	var firstClientAddress string
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(s.stdout, format, args...) } // a closed stdout has no reader
	printf("%-8s %-22s %-40s %s\n", "PROCESS", "CLIENTS", "READINESS", "METRICS")
	for i := range s.flags.Processes {
		settings, err := s.settings(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return err
		}
		id := node.NewIncarnation()
		p := entry.New(settings, entry.Features{}, events.New(logger, log.ParseLevel(s.flags.LogLevel), settings.Node, id), id)
		if err := p.Start(); err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		printf("%-8s %-22s http://%-33s http://%s/metrics\n", settings.Node, settings.ClientAddress, settings.ReadyAddress+platform.ReadinessPath, settings.MetricsAddress)
		if firstClientAddress == "" {
			firstClientAddress = settings.ClientAddress
		}
	}
	printf("%s", s.platform.ExampleGuide(firstClientAddress))
	return nil
}

// settings returns the settings of an entry service with free ports on loopback.
func (s *siteProcess) settings(name string) (*platform.Settings, error) {
	settings := &platform.Settings{
		Node: name, Zone: "z1", Bounds: platform.DefaultBounds(),
		StoreAddress: s.platform.Address, MachinesAddress: s.platform.Address, AdviceAddress: s.platform.Address,
	}
	for _, address := range []*string{&settings.ClientAddress, &settings.ReadyAddress, &settings.MetricsAddress} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		*address = listener.Addr().String()
		if err := listener.Close(); err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
	}
	return settings, nil
}

// Stop stops the entry services, then the stand-in.
func (s *siteProcess) Stop(ctx context.Context) {
	done := make(chan struct{})
	for _, p := range s.processes {
		go func() { p.Stop(ctx); done <- struct{}{} }()
	}
	for range s.processes {
		<-done
	}
	s.platform.Stop()
}
