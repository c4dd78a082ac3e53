package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/ctl"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

// exitLagging is the exit status of a wait that timed out before a change was in
// force in every process.
const exitLagging = 2

// ctlSettings are the flags and commands of waxwingctl.
type ctlSettings struct {
	Controller []settings.BaseURL `help:"Base URLs of controllers, used in turn, such as http://10.0.0.1:7000."`
	Operator   string             `help:"Name under which changes are made, 1 to 64 characters. Default: the environment variable USER."`
	Output     string             `enum:"table,json" default:"table" help:"Form of the output: table or json."`

	Config   configCommands  `cmd:"" help:"Show the configuration, or an example of one."`
	Validate validateCommand `cmd:"" help:"Check a configuration document."`
	Diff     diffCommand     `cmd:"" help:"Compare a document with the configuration in force."`
	Apply    applyCommand    `cmd:"" help:"Make a document the configuration in force."`
	History  historyCommand  `cmd:"" help:"List the configurations that are kept."`
	Rollback rollbackCommand `cmd:"" help:"Bring back the content of an earlier revision under a new one."`

	Status   statusCommand   `cmd:"" help:"Show how the control of the site is doing."`
	Pools    poolsCommand    `cmd:"" help:"Show the availability of the pools."`
	VMs      vmsCommand      `cmd:"" name:"vms" help:"List the workers."`
	Maintain maintainCommand `cmd:"" help:"Drain, reboot and return a worker."`
	Drain    drainCommand    `cmd:"" help:"Drain a worker and keep it drained."`
	Return   returnCommand   `cmd:"" help:"Return a worker to service, or abort its operation."`
	Move     moveCommand     `cmd:"" help:"Move a worker to another pool."`
	Wave     waveCommands    `cmd:"" help:"Control the maintenance wave."`
	Jobs     jobsCommand     `cmd:"" help:"List the jobs."`
	Cancel   cancelCommand   `cmd:"" help:"Cancel a job."`
	Explain  explainCommand  `cmd:"" help:"Tell why a worker or a job waits."`
}

// Ctl runs waxwingctl and returns its exit status.
func Ctl(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	const program = "waxwingctl"
	var flags ctlSettings
	parsed, err := settings.Parse(program, "Command line of the operators of a site.", args, &flags, stdout, stderr)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%s: %v; see %s --help\n", program, err, program) // a failed write to stderr cannot be reported
		return exitFailure
	}
	if err = runCtl(&flags, parsed.Run, stdin, stdout); err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", program, err) // a failed write to stderr cannot be reported
	var lagging *ctl.LaggingError
	if errors.As(err, &lagging) {
		return exitLagging
	}
	return exitFailure
}

func runCtl(flags *ctlSettings, run func(binds ...any) error, stdin io.Reader, stdout io.Writer) error {
	operator := flags.Operator
	if operator == "" {
		operator = os.Getenv("USER")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	addresses := make([]string, len(flags.Controller))
	for i, address := range flags.Controller {
		addresses[i] = string(address)
	}
	client := ctl.NewClient(addresses...)
	defer client.Close()
	return run(&session{
		ctx: ctx, operator: &ctl.Operator{Client: client, Name: operator}, json: flags.Output == "json", stdin: stdin, stdout: stdout,
	})
}

// session holds what the commands of waxwingctl share.
type session struct {
	ctx      context.Context
	operator *ctl.Operator
	json     bool
	stdin    io.Reader
	stdout   io.Writer
}

const maxOperatorLength = 64

// validateOperator checks the operator's name, which every change requires.
func (s *session) validateOperator() error {
	name := s.operator.Name
	if strings.TrimSpace(name) == "" || len(name) > maxOperatorLength || strings.ContainsFunc(name, unicode.IsControl) {
		return errors.Newf("--operator: %q is not a name of 1 to %d printable characters", name, maxOperatorLength)
	}
	return nil
}

// print writes the value as JSON or the table as text, as --output says.
func (s *session) print(value any, table *ctl.Table) error {
	if s.json {
		return ctl.WriteJSON(s.stdout, value)
	}
	return table.Write(s.stdout)
}

// printResult prints the result of a call or returns its error.
func printResult[T any](s *session, value T, err error, table func(T) *ctl.Table) error {
	if err != nil {
		return err
	}
	return s.print(value, table(value))
}
