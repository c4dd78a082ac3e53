// Package local runs a complete site on loopback in one process: the gateways and
// controllers that run in production, with stand-ins for the platform and the
// targets. It is used by waxwing-dev and by tests.
package local

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/settings"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// SiteName is the site name of every local site.
const SiteName = "dev"

// Options configure a local site.
type Options struct {
	Gateways    int
	Controllers int
	Fleet       *standin.FleetSpec // nil means standin.DefaultFleet
	Config      *policy.Document   // nil means policy.Example for the pools
	RebootTime  time.Duration      // zero means the stand-in's default
	LogLevel    string
	Log         io.Writer // nil discards the log
	// NoConfig starts the site without a configuration, like a new site. Its
	// processes are not ready then, and Start does not wait for them.
	NoConfig bool
}

// Site is a running local site.
type Site struct {
	Platform    *standin.Server
	Targets     *target.Group
	Gateways    []*gateway.Gateway
	Controllers []*controller.Controller
	options     Options
}

// Start starts a site and waits until it is ready.
func Start(ctx context.Context, options Options) (*Site, error) {
	s := &Site{options: options}
	if err := s.startStandins(); err != nil {
		return nil, err
	}
	if err := s.seedConfig(ctx); err != nil {
		s.Stop(ctx)
		return nil, err
	}
	for range options.Controllers {
		if _, err := s.AddController(nil); err != nil {
			s.Stop(ctx)
			return nil, err
		}
	}
	for range options.Gateways {
		if _, err := s.AddGateway(nil); err != nil {
			s.Stop(ctx)
			return nil, err
		}
	}
	if err := s.waitReady(ctx); err != nil {
		s.Stop(ctx)
		return nil, err
	}
	return s, nil
}

func (s *Site) fleet() standin.FleetSpec {
	if s.options.Fleet != nil {
		return *s.options.Fleet
	}
	return standin.DefaultFleet()
}

func (s *Site) startStandins() error {
	workers := standin.BuildWorkers(s.fleet())
	specs := make([]target.Spec, len(workers))
	for i := range workers {
		specs[i] = target.Spec{Worker: workers[i].ID}
	}
	var err error
	if s.Targets, err = target.Start(target.Options{Targets: specs}); err != nil {
		return err
	}
	for i := range workers {
		workers[i].Address = s.Targets.Address(workers[i].ID)
	}
	s.Platform, err = standin.Start(standin.Options{Workers: workers, Targets: s.Targets, RebootTime: s.options.RebootTime})
	return err
}

// seedConfig writes the first configuration document, which operators of a real
// site write with waxwingctl.
func (s *Site) seedConfig(ctx context.Context) error {
	if s.options.NoConfig {
		return nil
	}
	document := s.options.Config
	if document == nil {
		var pools []string
		for _, pool := range s.fleet().Pools {
			pools = append(pools, pool.Name)
		}
		example := policy.Example(pools...)
		document = &example
	}
	data, err := policy.Encode(document)
	if err != nil {
		return err
	}
	put := store.Put{Key: node.NewKeys(SiteName).Config(), Data: data, WriteID: node.NewWriteID()}
	_, err = s.Platform.Store().CompareAndSwap(ctx, put)
	return err
}

func (s *Site) process(number int) settings.Process {
	return settings.Process{
		Site: SiteName, AvailabilityZone: settings.Name(fmt.Sprintf("az%d", number%s.fleet().Zones+1)),
		Store: []settings.BaseURL{settings.BaseURL(s.Platform.StoreURL())}, Platform: settings.BaseURL(s.Platform.PlatformURL()),
		ListenPeers: "127.0.0.1:0", ListenAdmin: "127.0.0.1:0", ShutdownTimeout: settings.ShutdownTimeout(10 * time.Second),
	}
}

func (s *Site) logger(role node.Role, incarnation string) *events.Logger {
	if s.options.Log == nil {
		return events.Discard()
	}
	return events.New(s.options.Log, log.ParseLevel(s.options.LogLevel), string(role), incarnation)
}

// AddController starts another controller without waiting until it is ready. If
// change is not nil, it can modify the settings before the start.
func (s *Site) AddController(change func(*controller.Settings)) (*controller.Controller, error) {
	incarnation := node.NewIncarnation()
	flags := controller.Settings{Process: s.process(len(s.Controllers)), ListenOperators: "127.0.0.1:0"}
	if change != nil {
		change(&flags)
	}
	c, err := controller.New(&flags, s.logger(node.RoleController, incarnation), incarnation)
	if err != nil {
		return nil, err
	}
	s.Controllers = append(s.Controllers, c)
	return c, c.Start()
}

// AddGateway starts another gateway without waiting until it is ready. If change is
// not nil, it can modify the settings before the start.
func (s *Site) AddGateway(change func(*gateway.Settings)) (*gateway.Gateway, error) {
	incarnation := node.NewIncarnation()
	flags := gateway.Settings{Process: s.process(len(s.Gateways)), ListenCallers: "127.0.0.1:0", TrafficShards: 2}
	if change != nil {
		change(&flags)
	}
	g, err := gateway.New(&flags, s.logger(node.RoleGateway, incarnation), incarnation)
	if err != nil {
		return nil, err
	}
	s.Gateways = append(s.Gateways, g)
	return g, g.Start()
}

const readyPollInterval = 50 * time.Millisecond

// waitReady waits until every process reports that it is ready.
func (s *Site) waitReady(ctx context.Context) error {
	if s.options.NoConfig {
		return nil
	}
	for _, address := range s.adminAddresses() {
		for !ready(ctx, address) {
			if err := store.Sleep(ctx, readyPollInterval); err != nil {
				return errors.Newf("%s is not ready: %w", address, err)
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *Site) adminAddresses() []string {
	var addresses []string
	for _, g := range s.Gateways {
		addresses = append(addresses, g.AdminAddress())
	}
	for _, c := range s.Controllers {
		addresses = append(addresses, c.AdminAddress())
	}
	return addresses
}

// CallerAddresses returns the ip:port on which each gateway serves callers.
func (s *Site) CallerAddresses() []string {
	addresses := make([]string, len(s.Gateways))
	for i, g := range s.Gateways {
		addresses[i] = g.CallerAddress()
	}
	return addresses
}

// OperatorAddresses returns the ip:port on which each controller serves operators.
func (s *Site) OperatorAddresses() []string {
	addresses := make([]string, len(s.Controllers))
	for i, c := range s.Controllers {
		addresses[i] = c.OperatorAddress()
	}
	return addresses
}

// StoreURL returns the base URL of the stand-in's store.
func (s *Site) StoreURL() string { return s.Platform.StoreURL() }

// PlatformURL returns the base URL of the stand-in's VM and task interface.
func (s *Site) PlatformURL() string { return s.Platform.PlatformURL() }

// Stop shuts the processes down gracefully and closes the stand-ins.
func (s *Site) Stop(ctx context.Context) {
	for _, g := range s.Gateways {
		g.Stop(ctx)
	}
	for _, c := range s.Controllers {
		c.Stop(ctx)
	}
	if s.Platform != nil {
		s.Platform.Close()
	}
	s.Targets.Close()
}
