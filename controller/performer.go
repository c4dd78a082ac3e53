package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/placement/pagecodec"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// performer runs the effects of the control loop, each on its own goroutine. The
// systems limit concurrency: at most one write per store value, one call per worker
// and a bounded number of polls are in flight.
type performer struct {
	ctx      context.Context
	post     func(context.Context, Event) error
	store    store.Store
	platform infra.Platform
	keys     node.Keys
	scope    tally.Scope
	self     node.Identity
	replies  jobReplies
	// encoders cache encoded jobs, by page. They need no lock, because at most one write
	// per page is in flight.
	encoders [placement.PageCount]pagecodec.Encoder
	running  sync.WaitGroup
}

// start runs the effect on a new goroutine and posts its result.
func (p *performer) start(effect func(context.Context) Event) {
	p.running.Go(func() {
		if event := effect(p.ctx); event != nil {
			_ = p.post(p.ctx, event) // fails only at shutdown
		}
	})
}

// flush starts the effects of a tick.
func (p *performer) flush(s *State) {
	s.Out.Claims.Drain(func(e ClaimLeader) { p.start(p.claim(e)) })
	s.Out.Releases.Drain(func(e ReleaseLeader) { p.start(p.release(e)) })
	s.Out.Loads.Drain(func(LoadState) { p.start(p.load) })
	s.Out.FleetWrites.Drain(func(e WriteFleet) { p.start(p.writeFleet(e)) })
	s.Out.ConfigWrites.Drain(func(e WriteConfig) { p.start(p.writeConfig(e)) })
	s.Out.Calls.Drain(func(e CallPlatform) { p.start(p.call(e)) })
	s.Out.WorkerPolls.Drain(func(e PollWorker) { p.start(p.pollWorker(e)) })
	s.Out.TaskLists.Drain(func(ListTasks) { p.start(p.listTasks) })
	s.Out.Responses.Drain(func(e SendResponse) { e.Reply <- e.Response })
	p.flushJobs(&s.Jobs.Out)
}

func (p *performer) claim(e ClaimLeader) func(context.Context) Event {
	return func(ctx context.Context) Event {
		data, err := json.Marshal(p.self)
		if err != nil {
			return LeaderClaimed{Err: err}
		}
		put := store.Put{Key: p.keys.Leader(), Data: data, WriteID: node.NewWriteID(), Lease: e.Lease}
		result := node.Write(ctx, p.store, put)
		return LeaderClaimed{Revision: result.Revision, Err: result.Err}
	}
}

func (p *performer) release(e ReleaseLeader) func(context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, node.StoreCallTimeout)
		defer cancel()
		_ = p.store.Delete(ctx, p.keys.Leader(), e.Revision) // if it fails, the key is deleted when the lease expires
		return nil
	}
}

// load reads the fleet document and the job pages.
func (p *performer) load(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, node.StoreCallTimeout)
	defer cancel()
	var loaded StateLoaded
	value, err := p.store.Get(ctx, p.keys.Fleet())
	if err == nil && value.Revision != 0 {
		loaded.FleetRevision = value.Revision
		loaded.Fleet, err = node.DecodeFleet(value.Data)
	}
	for index := 0; index < placement.PageCount && err == nil; index++ {
		var page placement.StoredPage
		page, err = p.readPage(ctx, index)
		loaded.Pages = append(loaded.Pages, page)
	}
	loaded.Err = err
	return loaded
}

func (p *performer) writeFleet(e WriteFleet) func(context.Context) Event {
	return func(ctx context.Context) Event {
		data, err := node.EncodeFleet(&e.Document)
		if err != nil {
			return FleetWritten{Document: e.Document, Result: node.WriteResult{Status: node.WriteConflicted, Err: err}}
		}
		put := store.Put{Key: p.keys.Fleet(), Data: data, WriteID: node.NewWriteID(), Revision: e.Revision}
		return FleetWritten{Document: e.Document, Result: node.Write(ctx, p.store, put)}
	}
}

// writeConfig records the base in the history before it stores the successor, so
// that every accepted document is always in the history or is the current one.
func (p *performer) writeConfig(e WriteConfig) func(context.Context) Event {
	return func(ctx context.Context) Event {
		data, err := policy.Encode(e.Document)
		if err == nil && e.Base.Revision != 0 {
			err = p.recordHistory(ctx, e.Base)
		}
		if err != nil {
			return ConfigWritten{Document: e.Document, Result: node.WriteResult{Status: node.WriteNotExecuted, Err: err}}
		}
		put := store.Put{Key: p.keys.Config(), Data: data, WriteID: e.Document.WriteID, Revision: e.Revision}
		result := node.Write(ctx, p.store, put)
		if result.Status == node.WriteConflicted {
			result = p.resolveConflict(ctx, e.Document, result)
		}
		return ConfigWritten{Document: e.Document, Result: result}
	}
}

// resolveConflict distinguishes a write that lost the compare-and-swap from one that
// took effect, whose response was lost and which a later change has replaced. Since
// a successor records its base first, the history holds every replaced document.
func (p *performer) resolveConflict(ctx context.Context, document *policy.Document, result node.WriteResult) node.WriteResult {
	history, err := p.history(ctx)
	if err != nil {
		result.Status, result.Err = node.WriteUnknown, errors.Join(result.Err, err)
		return result
	}
	if recorded, ok := history.Find(document.Revision); ok && recorded.WriteID == document.WriteID {
		result.Status, result.Err = node.WriteCommitted, nil
	}
	return result
}

// maxHistoryAttempts bounds the retries after conflicts with other controllers that
// record the same base.
const maxHistoryAttempts = 3

func (p *performer) recordHistory(ctx context.Context, base *policy.Document) error {
	var err error
	for range maxHistoryAttempts {
		var value store.Value
		value, err = p.getWithTimeout(ctx, p.keys.ConfigHistory())
		if err != nil {
			return err
		}
		var history policy.History
		if value.Revision != 0 {
			if history, err = policy.DecodeHistory(value.Data); err != nil {
				return err
			}
		}
		if _, recorded := history.Find(base.Revision); recorded {
			return nil
		}
		var data []byte
		if data, err = policy.EncodeHistory(history.Record(base)); err != nil {
			return err
		}
		put := store.Put{Key: p.keys.ConfigHistory(), Data: data, WriteID: node.NewWriteID(), Revision: value.Revision}
		if err = node.Write(ctx, p.store, put).Err; err == nil || !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return err
}

func (p *performer) getWithTimeout(ctx context.Context, key string) (store.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, node.StoreCallTimeout)
	defer cancel()
	return p.store.Get(ctx, key)
}

// history reads the former configuration documents.
func (p *performer) history(ctx context.Context) (policy.History, error) {
	value, err := p.getWithTimeout(ctx, p.keys.ConfigHistory())
	if err != nil || value.Revision == 0 {
		return policy.History{}, err
	}
	return policy.DecodeHistory(value.Data)
}

func (p *performer) call(e CallPlatform) func(context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := p.callPlatform(ctx, e.Call)
		rejected := errors.Is(err, infra.ErrRejected) || errors.Is(err, infra.ErrNotFound)
		return PlatformCalled{Call: e.Call, Rejected: rejected, Err: err}
	}
}

func (p *performer) callPlatform(ctx context.Context, call fleet.Call) error {
	switch call.Kind {
	case fleet.CallDrain:
		return p.platform.Drain(ctx, call.Worker, call.OperationID)
	case fleet.CallReboot:
		return p.platform.Reboot(ctx, call.Worker, call.OperationID)
	case fleet.CallUndrain:
		return p.platform.Undrain(ctx, call.Worker, call.OperationID)
	case fleet.CallAssign:
		return p.platform.Assign(ctx, call.Worker, call.Pool, call.OperationID)
	default:
		return errors.Newf("%w: unknown call %q", infra.ErrRejected, call.Kind)
	}
}

func (p *performer) pollWorker(e PollWorker) func(context.Context) Event {
	return func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		polledAt := time.Now()
		worker, err := p.platform.GetWorker(ctx, e.Worker)
		if err != nil {
			return WorkerAnswered{Worker: e.Worker, PolledAt: polledAt, Err: err}
		}
		answer := observationFrom(&worker)
		return WorkerAnswered{Worker: e.Worker, Observation: &answer, PolledAt: polledAt}
	}
}
