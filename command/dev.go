package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"github.com/waxwingbridge/waxwingbridge/local"
)

// devSettings are the flags of waxwing-dev.
type devSettings struct {
	Gateways    int    `default:"3" help:"Number of gateways, 1 to 8."`
	Controllers int    `default:"2" help:"Number of controllers, 1 to 8."`
	LogLevel    string `enum:"debug,info,warn,error" default:"warn" help:"Least level that is logged: debug, info, warn or error."`
}

const maxDevProcesses = 8

// Validate checks the numbers of processes. The flag parser calls it.
func (s *devSettings) Validate() error {
	if s.Gateways < 1 || s.Gateways > maxDevProcesses {
		return errors.Newf("--gateways: %d is not a number from 1 to %d", s.Gateways, maxDevProcesses)
	}
	if s.Controllers < 1 || s.Controllers > maxDevProcesses {
		return errors.Newf("--controllers: %d is not a number from 1 to %d", s.Controllers, maxDevProcesses)
	}
	return nil
}

const devShutdownTimeout = 30 * time.Second

// Dev runs waxwing-dev and returns its exit status.
func Dev(args []string, stdout, stderr io.Writer) int {
	const program = "waxwing-dev"
	var flags devSettings
	if status, ok := parseServerFlags(program, "Runs a whole site in one process on loopback, with stand-ins.", args, &flags, stderr); !ok {
		return status
	}
	return runApp(program, devShutdownTimeout, stderr, fx.Invoke(func(lifecycle fx.Lifecycle) {
		var site *local.Site
		lifecycle.Append(fx.Hook{
			OnStart: func(ctx context.Context) (err error) {
				site, err = local.Start(ctx, local.Options{
					Gateways: flags.Gateways, Controllers: flags.Controllers, LogLevel: flags.LogLevel, Log: stderr,
				})
				if err == nil {
					printQuickStart(stdout, site)
				}
				return err
			},
			OnStop: func(ctx context.Context) error { site.Stop(ctx); return nil },
		})
	}))
}

// printQuickStart prints the addresses of the site and example commands.
func printQuickStart(stdout io.Writer, site *local.Site) {
	caller, operator := site.CallerAddresses(), site.OperatorAddresses()
	_, _ = fmt.Fprintf(stdout, `waxwing-dev: the site is ready

callers    %v
operators  %v
store      %s
platform   %s

Send a request:
  curl -i -H 'Waxwing-Tenant: stall-17' 'http://%s/v1/pools/orders/hello?ms=20'
Submit a job:
  curl -s -H 'Waxwing-Tenant: stall-17' -d '{"pool":"ledger","family":"reconcile","milli_cores":500,"payload":"run:2s"}' http://%s/v1/jobs
Look around, maintain a worker and change the configuration:
  export WAXWING_CONTROLLER=%s
  go run ./cmd/waxwingctl status
  go run ./cmd/waxwingctl vms --pool orders
  go run ./cmd/waxwingctl maintain w001 --reason "kernel update"
  go run ./cmd/waxwingctl explain worker w001
  go run ./cmd/waxwingctl wave start --pool ledger
  go run ./cmd/waxwingctl wave show
  go run ./cmd/waxwingctl config show > config.json
  go run ./cmd/waxwingctl apply config.json --wait

Stop with Ctrl-C.
`, caller, operator, site.StoreURL(), site.PlatformURL(), caller[0], caller[0], strings.Join(baseURLs(operator), ","))
}

func baseURLs(addresses []string) []string {
	urls := make([]string, len(addresses))
	for i, address := range addresses {
		urls[i] = "http://" + address
	}
	return urls
}
