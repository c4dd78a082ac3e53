// Package command holds the flags of the programs and builds each program from
// its parts with fx. The mains in cmd only call it.
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

// process is what every role offers to its program.
type process interface {
	Start() error
	Stop(ctx context.Context)
}

// serverFlags checks the flags of a long-running program. It returns false with
// the exit status when the program ends here.
func serverFlags(program, description string, args []string, target any, stderr io.Writer) (int, bool) {
	if _, err := settings.Parse(program, description, args, target, os.Stdout, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err) // nothing else can report it
		return exitFailure, false
	}
	return exitOK, true
}

// incarnation is the unique ID of this start of the process.
type incarnation string

// newLogger is the constructor of the process's log.
func newLogger(role node.Role, s *settings.Process, stderr io.Writer) func() (*events.Logger, incarnation) {
	return func() (*events.Logger, incarnation) {
		id := node.NewIncarnation()
		return events.New(stderr, s.Level(), string(role), id), incarnation(id)
	}
}

// run starts the parts, waits for SIGINT or SIGTERM and stops them gracefully.
func run(program string, shutdown time.Duration, stderr io.Writer, options ...fx.Option) int {
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

// hook ties the process to the life cycle of the program.
func hook(lifecycle fx.Lifecycle, p process) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { return p.Start() },
		OnStop:  func(ctx context.Context) error { p.Stop(ctx); return nil },
	})
}
