// Package command defines the flags of the programs and assembles each program
// with fx. The main packages in cmd only call it.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"go.uber.org/fx"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

// Exit statuses of the programs.
const (
	exitOK      = 0
	exitFailure = 1
)

// service is a long-running component with a start and a graceful stop.
type service interface {
	Start() error
	Stop(ctx context.Context)
}

// parseServerFlags parses the flags of a long-running program into target. It
// returns false and the exit status if they are invalid.
func parseServerFlags(program, description string, args []string, target any, stderr io.Writer) (int, bool) {
	if _, err := settings.Parse(program, description, args, target, os.Stdout, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err) // a failed write to stderr cannot be reported
		return exitFailure, false
	}
	return exitOK, true
}

// incarnation is an ID that is unique to one run of a process.
type incarnation string

// newLogger returns an fx constructor of the logger and of the incarnation that it
// logs.
func newLogger(role node.Role, s *settings.Process, stderr io.Writer) func() (*events.Logger, incarnation) {
	return func() (*events.Logger, incarnation) {
		id := node.NewIncarnation()
		return events.New(stderr, s.Level(), string(role), id), incarnation(id)
	}
}

// runApp starts the application, waits for SIGINT or SIGTERM, stops it gracefully
// and returns the exit status.
func runApp(program string, shutdown time.Duration, stderr io.Writer, options ...fx.Option) int {
	app := fx.New(append(options, fx.NopLogger, fx.StopTimeout(shutdown))...)
	ctx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return exitFailure
	}
	signal := <-app.Wait()
	ctx, cancelStop := context.WithTimeout(context.Background(), shutdown)
	defer cancelStop()
	if err := app.Stop(ctx); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return exitFailure
	}
	return signal.ExitCode
}

// registerHooks starts and stops the service with the application.
func registerHooks(lifecycle fx.Lifecycle, p service) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return p.Start() },
		OnStop:  func(ctx context.Context) error { p.Stop(ctx); return nil },
	})
}
