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

// reasonNoConfiguration is the reason with which a controller of a site without
// configuration answers.
const reasonNoConfiguration = "no-configuration"

// Config returns the configuration in force. A site without one gives an empty
// document of revision 0.
func (o *Operator) Config(ctx context.Context) (*policy.Document, error) {
	document, err := query[policy.Document](ctx, o, "/v1/config")
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusServiceUnavailable && refused.Reason == reasonNoConfiguration {
		return &policy.Document{}, nil
	}
	return &document, err
}

// ReadDocument checks everything that the document alone decides. The file name
// appears in errors only.
func ReadDocument(file string, data []byte) (*policy.Document, error) {
	document, err := policy.Parse(file, data)
	if err != nil {
		return nil, err
	}
	return document, policy.WithFile(file, policy.Validate(document))
}

// Plan is what a change of the configuration would do.
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

// NoOp reports whether the revision in force has the content already. A change
// based on another revision is never empty, because it has to end in a conflict.
func (p Plan) NoOp(current *policy.Document) bool {
	return len(p.Changes) == 0 && current.Revision != 0 && p.Base == current.Revision
}

// UnknownRevisionError reports a revision that the history does not hold.
type UnknownRevisionError struct {
	Revision policy.Revision
	Retained []policy.Revision
}

func (e *UnknownRevisionError) Error() string {
	held := make([]string, len(e.Retained))
	for i, revision := range e.Retained {
		held[i] = fmt.Sprint(revision)
	}
	return fmt.Sprintf("revision %d is not in the history, accepted: %s", e.Revision, strings.Join(held, ", "))
}

// PlanRollback returns the change that brings back the content of a revision.
func PlanRollback(current *policy.Document, history []policy.Document, revision policy.Revision, now time.Time) (Plan, error) {
	refusal := &UnknownRevisionError{Revision: revision}
	for i := range history {
		if history[i].Revision == revision {
			document := policy.Rollback(current, &history[i], "", now)
			return PlanApply(current, document, &current.Revision), nil
		}
		refusal.Retained = append(refusal.Retained, history[i].Revision)
	}
	return Plan{}, refusal
}

// LaggingError reports that a wait ended before the revision was in force everywhere.
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

// AwaitInForce waits until the revision is in force everywhere. Its error is a
// *LaggingError if the timeout passes first.
func (o *Operator) AwaitInForce(ctx context.Context, revision policy.Revision, timeout time.Duration) error {
	outcome, err := o.Client.AwaitInForce(ctx, revision, timeout)
	if err == nil && !outcome.Reached {
		err = &LaggingError{Revision: revision, Result: outcome}
	}
	return err
}
