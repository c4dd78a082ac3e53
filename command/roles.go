package command

import (
	"io"
	"time"

	"go.uber.org/fx"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/node"
)

// Gateway runs waxwing-gateway and returns its exit status.
func Gateway(args []string, stderr io.Writer) int {
	const program = "waxwing-gateway"
	var flags gateway.Settings
	if status, ok := parseServerFlags(program, "Forwards callers' requests to targets and jobs to the controller.", args, &flags, stderr); !ok {
		return status
	}
	return runApp(program, time.Duration(flags.ShutdownTimeout), stderr,
		fx.Provide(newLogger(node.RoleGateway, &flags.Process, stderr)),
		fx.Provide(func(log *events.Logger, id incarnation) (*gateway.Gateway, error) {
			return gateway.New(&flags, log, string(id))
		}),
		fx.Invoke(func(lifecycle fx.Lifecycle, g *gateway.Gateway) { registerHooks(lifecycle, g) }))
}

// Controller runs waxwing-controller and returns its exit status.
func Controller(args []string, stderr io.Writer) int {
	const program = "waxwing-controller"
	var flags controller.Settings
	if status, ok := parseServerFlags(program, "Controls the fleet of a site: waves, moves, jobs and configuration.", args, &flags, stderr); !ok {
		return status
	}
	return runApp(program, time.Duration(flags.ShutdownTimeout), stderr,
		fx.Provide(newLogger(node.RoleController, &flags.Process, stderr)),
		fx.Provide(func(log *events.Logger, id incarnation) (*controller.Controller, error) {
			return controller.New(&flags, log, string(id))
		}),
		fx.Invoke(func(lifecycle fx.Lifecycle, c *controller.Controller) { registerHooks(lifecycle, c) }))
}
