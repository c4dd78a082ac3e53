// Package program implements the command lines of the stand-in programs: flags,
// start and shutdown on a signal.
package program

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
)

// Logging holds the logging flags.
type Logging struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Least level that is logged: debug, info, warn or error."`
}

// run parses the flags, starts the program and waits for SIGINT or SIGTERM. start
// returns the fields of the ready event and a function that stops the program.
func run(name, description string, args []string, flags any, logging *Logging, stdout, stderr io.Writer,
	start func() ([]events.Field, func(), error),
) int {
	if _, err := settings.Parse(name, description, args, flags, stdout, stderr); err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: error: %v\n", name, err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger := events.New(stderr, log.ParseLevel(logging.LogLevel), name, "")
	fields, shutdown, err := start()
	if err != nil {
		logger.Log(events.ServerFailed, events.Err(err))
		return exitFailure
	}
	logger.Log(events.ProcessReady, fields...)
	<-ctx.Done()
	logger.Log(events.ProcessStopping)
	shutdown()
	logger.Log(events.ProcessStopped)
	return exitOK
}

// checkRange returns an error if the value of a flag is not in the range 1 to maximum.
func checkRange(flag string, value, maximum int) error {
	const minimum = 1
	if value < minimum || value > maximum {
		return errors.Newf("--%s=%d is not in the range %d to %d", flag, value, minimum, maximum)
	}
	return nil
}
