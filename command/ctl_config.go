package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/ctl"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

type (
	configCommands struct {
		Show    configShowCommand    `cmd:"" help:"Print the configuration in force as JSON."`
		Example configExampleCommand `cmd:"" help:"Print a first configuration for the given pools as JSON."`
	}
	configShowCommand    struct{}
	configExampleCommand struct {
		Pools []settings.Name `arg:"" help:"Names of the pools. The last one is the spare pool."`
	}
	validateCommand struct {
		File string `arg:"" help:"Document, - for standard input."`
		Live bool   `env:"-" help:"Also check against the live fleet: sizes of the pools, expired exceptions."`
	}
	diffCommand struct {
		File string `arg:"" help:"Document, - for standard input."`
	}
	waitFlags struct {
		Wait    bool        `env:"-" help:"Wait until every process holds the new revision; exit with 2 if some do not."`
		Timeout waitTimeout `env:"-" default:"60s" help:"Longest wait, 1s to 1h."`
	}
	applyCommand struct {
		File string          `arg:"" help:"Document, - for standard input."`
		Base *revisionNumber `env:"-" help:"Revision on which the change is based. Default: the document's own, or the one in force if it has none."`
		waitFlags
	}
	historyCommand  struct{}
	rollbackCommand struct {
		Revision revisionNumber `arg:"" help:"Revision whose content is brought back."`
		waitFlags
	}
)

// Run prints the configuration in force, as JSON whatever --output says.
func (configShowCommand) Run(s *session) error {
	document, err := s.operator.Config(s.ctx)
	if err != nil {
		return err
	}
	if document.Revision == 0 {
		return errors.Newf("the site has no configuration yet; see config example")
	}
	return ctl.WriteJSON(s.stdout, document)
}

// Run prints an example document. It has no revision, so that it can be applied
// as the first configuration.
func (c configExampleCommand) Run(s *session) error {
	names := make([]string, len(c.Pools))
	for i, name := range c.Pools {
		names[i] = string(name)
	}
	document := policy.Example(names...)
	document.Revision, document.Author = 0, ""
	return ctl.WriteJSON(s.stdout, document)
}

// readDocument reads a document from a file, or from standard input for -, and
// checks it.
func (s *session) readDocument(file string) (*policy.Document, error) {
	reader := s.stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() { _ = opened.Close() }() // opened for reading only
		reader = opened
	}
	data, err := io.ReadAll(io.LimitReader(reader, policy.MaxDocumentBytes+1))
	if err != nil {
		return nil, err
	}
	return ctl.ReadDocument(file, data)
}

// Run checks a document, with --live also against the fleet.
func (c validateCommand) Run(s *session) error {
	document, err := s.readDocument(c.File)
	if err != nil {
		return err
	}
	valid := controller.ConfigValid{Changes: []policy.Change{}}
	text := "the document is valid"
	if c.Live {
		if valid, err = s.operator.Validate(s.ctx, document); err != nil {
			return err
		}
		text = fmt.Sprintf("the document is valid for the live fleet; %d changes against revision %d", len(valid.Changes), valid.Revision)
	}
	return s.print(valid, &ctl.Table{Footer: []string{text}})
}

// Run compares a document with the configuration in force.
func (c diffCommand) Run(s *session) error {
	document, err := s.readDocument(c.File)
	if err != nil {
		return err
	}
	current, err := s.operator.Config(s.ctx)
	if err != nil {
		return err
	}
	plan := ctl.PlanApply(current, document, &current.Revision)
	return s.print(plan, ctl.ChangesTable(&plan))
}

// Run applies a document.
func (c applyCommand) Run(s *session) error {
	document, err := s.readDocument(c.File)
	if err != nil {
		return err
	}
	current, err := s.operator.Config(s.ctx)
	if err != nil {
		return err
	}
	return s.apply(current, ctl.PlanApply(current, document, (*policy.Revision)(c.Base)), c.waitFlags)
}

// Run lists the retained configurations.
func (historyCommand) Run(s *session) error {
	documents, err := s.operator.History(s.ctx)
	return printResult(s, documents, err, ctl.HistoryTable)
}

// Run applies the content of an earlier revision as a new one.
func (c rollbackCommand) Run(s *session) error {
	history, err := s.operator.History(s.ctx)
	if err != nil {
		return err
	}
	current, err := s.operator.Config(s.ctx)
	if err != nil {
		return err
	}
	plan, err := ctl.PlanRollback(current, history, policy.Revision(c.Revision), time.Now())
	if err != nil {
		return err
	}
	return s.apply(current, plan, c.waitFlags)
}

// applyResult is the JSON output of a change of the configuration.
type applyResult struct {
	ctl.Plan
	Revision policy.Revision `json:"revision"`
	InForce  bool            `json:"in_force"` // in every process; always false without --wait
}

// apply sends the plan unless it is a no-op, waits if asked to and prints the
// result.
func (s *session) apply(current *policy.Document, plan ctl.Plan, flags waitFlags) error {
	if err := s.validateOperator(); err != nil {
		return err
	}
	accepted := controller.ConfigAccepted{Revision: current.Revision}
	if !plan.NoOp(current) {
		var err error
		if accepted, err = s.operator.Apply(s.ctx, plan.Base, plan.Document); err != nil {
			return err
		}
	}
	var waitErr error
	if flags.Wait {
		waitErr = s.operator.AwaitInForce(s.ctx, accepted.Revision, time.Duration(flags.Timeout))
	}
	table := ctl.ChangesTable(&plan)
	text := fmt.Sprintf("revision %d was accepted", accepted.Revision)
	switch {
	case flags.Wait && waitErr == nil:
		text = fmt.Sprintf("revision %d is in force in every process", accepted.Revision)
	case plan.NoOp(current):
		text = fmt.Sprintf("nothing was changed, revision %d has this content", accepted.Revision)
	}
	table.Footer = append(table.Footer, text)
	if err := s.print(applyResult{plan, accepted.Revision, flags.Wait && waitErr == nil}, table); err != nil {
		return err
	}
	return waitErr
}
