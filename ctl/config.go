package ctl

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/policy"
)

// reasonNoConfiguration is the error reason that a controller of a site without
// a configuration returns.
const reasonNoConfiguration = "no-configuration"

// Config returns the configuration in force, or an empty document of revision 0
// if the site has none.
func (o *Operator) Config(ctx context.Context) (*policy.Document, error) {
	document, err := query[policy.Document](ctx, o, "/v1/config")
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable && refused.Reason == reasonNoConfiguration {
		return &policy.Document{}, nil
	}
	return &document, err
}

// ReadDocument parses a document and runs the checks that need no other input
// than the document itself. The file name is used in errors only.
func ReadDocument(file string, data []byte) (*policy.Document, error) {
	document, err := policy.Parse(file, data)
	if err != nil {
		return nil, err
	}
	return document, policy.WithFile(file, policy.Validate(document))
}

// Plan is the set of changes that applying a document would make.
type Plan struct {
	Base     policy.Revision  `json:"base"` // revision that the change is based on
	Document *policy.Document `json:"-"`
	Changes  []policy.Change  `json:"changes"`
}

// PlanApply compares a document with the configuration in force. The base is the
// given one, or else the revision that the document carries, or else the
// revision in force.
func PlanApply(current, document *policy.Document, base *policy.Revision) Plan {
	plan := Plan{Base: current.Revision, Document: document, Changes: policy.Diff(current, document)}
	switch {
	case base != nil:
		plan.Base = *base
	case document.Revision != 0:
		plan.Base = document.Revision
	}
	if plan.Changes == nil {
		plan.Changes = []policy.Change{}
	}
	return plan
}

// NoOp reports whether the revision in force already has this content. A plan
// based on another revision is never a no-op, because applying it must fail with
// a conflict.
func (p Plan) NoOp(current *policy.Document) bool {
	return len(p.Changes) == 0 && current.Revision != 0 && p.Base == current.Revision
}

// UnknownRevisionError reports a revision that is not in the retained history.
type UnknownRevisionError struct {
	Revision policy.Revision
	Retained []policy.Revision
}

func (e *UnknownRevisionError) Error() string {
	retained := make([]string, len(e.Retained))
	for i, revision := range e.Retained {
		retained[i] = fmt.Sprint(revision)
	}
	return fmt.Sprintf("revision %d is not in the history, accepted: %s", e.Revision, strings.Join(retained, ", "))
}

// PlanRollback returns the plan that restores the content of an earlier revision.
func PlanRollback(current *policy.Document, history []policy.Document, revision policy.Revision, now time.Time) (Plan, error) {
	unknown := &UnknownRevisionError{Revision: revision}
	for i := range history {
		if history[i].Revision == revision {
			document := policy.Rollback(current, &history[i], "", now)
			return PlanApply(current, document, &current.Revision), nil
		}
		unknown.Retained = append(unknown.Retained, history[i].Revision)
	}
	return Plan{}, unknown
}

// LaggingError reports that a wait timed out before the revision was in force in
// every process.
type LaggingError struct {
	Revision policy.Revision
	Result   WaitResult
}

func (e *LaggingError) Error() string {
	if !e.Result.Known {
		return fmt.Sprintf("revision %d was accepted, but no controller told within the timeout where it is in force", e.Revision)
	}
	return fmt.Sprintf("revision %d was accepted, but these processes lack it after the timeout:\n%s",
		e.Revision, strings.TrimRight(FormatTable(LaggingTable(e.Result.Lagging)), "\n"))
}

// AwaitInForce waits until the revision is in force in every process. It returns
// a *LaggingError if the timeout passes first.
func (o *Operator) AwaitInForce(ctx context.Context, revision policy.Revision, timeout time.Duration) error {
	result, err := o.Client.AwaitInForce(ctx, revision, timeout)
	if err == nil && !result.Reached {
		err = &LaggingError{Revision: revision, Result: result}
	}
	return err
}
