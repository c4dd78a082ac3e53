package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/dispatch"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/machines"
	"github.com/waxwingbridge/waxwingbridge/ownership"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/quota"
)

// flush starts a goroutine for each outbound call of the tick and publishes the
// state that the traffic goroutines read. It must not block.
func (p *Process) flush(s *State, tick engine.Tick) {
	s.Intake.Replies.Drain(p.deliverReply)
	s.Intake.Admission.Load.Waits.Drain(p.teamWaits.record)
	s.Intake.Writes.Drain(p.write(s))
	s.Ownership.Writes.Drain(p.write(s))
	s.Dispatch.Out.Writes.Drain(p.write(s))
	s.Machines.Writes.Drain(p.write(s))
	s.Quota.Writes.Drain(p.write(s))
	s.Ownership.LeaseCalls.Drain(func(c ownership.LeaseCall) {
		p.callAsync(func(ctx context.Context) event { return p.callLease(ctx, c) })
	})
	s.Intake.Lookups.Drain(func(l intake.Lookup) { p.callAsync(func(ctx context.Context) event { return p.lookup(ctx, l) }) })
	out := &s.Dispatch.Out
	out.Starts.Drain(func(o dispatch.StartOrder) { p.callAsync(func(ctx context.Context) event { return p.start(ctx, o) }) })
	out.Stops.Drain(func(o dispatch.StopOrder) { p.callAsync(func(ctx context.Context) event { return p.stop(ctx, o) }) })
	out.Speeds.Drain(func(o dispatch.SpeedOrder) {
		p.callAsync(func(ctx context.Context) event { return p.setSpeed(ctx, o) })
	})
	out.Polls.Drain(func(o dispatch.PollOrder) { p.callAsync(func(ctx context.Context) event { return p.poll(ctx, o) }) })
	out.Advice.Drain(func(r dispatch.AdviceRequest) {
		p.callAsync(func(ctx context.Context) event { return p.requestTickets(ctx, r) })
	})
	s.Machines.Lists.Drain(func(struct{}) { p.callAsync(p.listMachines) })
	s.Machines.Calls.Drain(func(c machines.MachineCall) {
		p.callAsync(func(ctx context.Context) event { return p.orderMachine(ctx, c) })
	})

	for _, logs := range []interface{ Drain(func(events.Record)) }{&s.Logs, &s.Intake.Logs, &out.Logs, &s.Machines.Logs, &s.Quota.Logs} {
		logs.Drain(func(r events.Record) { p.limiter.write(tick.Now, r) })
	}
	s.Quota.Counters.Drain(func(c quota.CounterIncrement) { p.counters.add(c.Name, c.Delta) })
	out.Counters.Drain(func(c dispatch.CounterIncrement) { p.counters.add(c.Name, c.Delta) })
	p.publish(s, tick)
}

// callAsync runs a call on its own goroutine and posts the result as an event.
func (p *Process) callAsync(call func(context.Context) event) {
	p.calls.Add(1)
	go func() {
		defer p.calls.Done()
		result := call(p.ctx)
		if err := p.loop.Post(p.ctx, result); err != nil && p.ctx.Err() == nil {
			p.log.Log(events.InvariantBroken, events.Err(err))
		}
	}()
}

// beforeDeadline reports whether an order may still be sent. The check runs just
// before the call, on a clock that also advances while the machine is suspended,
// so that a process that was paused detects here that an order has expired.
func beforeDeadline(notAfter time.Time) bool { return notAfter.IsZero() || now().Before(notAfter) }

func (p *Process) write(s *State) func(ledger.Write) {
	lease := s.Ownership.Lease
	return func(w ledger.Write) {
		p.callAsync(func(ctx context.Context) event { return writeDone{p.commit(ctx, w, lease)} })
	}
}

func (p *Process) commit(ctx context.Context, w ledger.Write, lease int64) ledger.WriteResult {
	result := ledger.WriteResult{ID: w.ID, Outcome: ledger.Refused}
	txn, err := encodeWrite(w, lease)
	if err != nil {
		result.Err = err
		return result
	}
	if !beforeDeadline(w.NotAfter) {
		result.Err = errors.New("the write deadline passed before the write was sent")
		return result
	}
	begin := now()
	answer, err := p.store.Commit(ctx, txn)
	p.timers.record("store_commit", now().Sub(begin))
	switch {
	case errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrNotSent):
		result.Err = err
	case err != nil:
		result.Outcome, result.Err = ledger.Unknown, err
	case answer.LeaseNotFound:
		result.Outcome = ledger.LeaseGone
	case answer.Applied:
		result.Outcome, result.Revision = ledger.Applied, answer.Revision
	default:
		result.Outcome = ledger.Conflict
		result.Current, result.Err = currentRecords(answer.Current)
	}
	return result
}

// currentRecords decodes the items that caused a write conflict. Items that cannot be decoded
// are returned as an error. Those whose writers need nothing but the revision are returned
// without content as well, so that no unreadable item refuses their writes for good.
func currentRecords(items []platform.Item) ([]ledger.Record, error) {
	var all []ledger.Record
	var failed error
	for _, item := range items {
		item.Deleted = item.Deleted || item.Revision == 0
		record, err := recordFromStore(item)
		failed = errors.CombineErrors(failed, err)
		switch record.Key.Kind {
		case 0:
			continue
		case ledger.KindDemand, ledger.KindWaveStatus, ledger.KindPeer:
		default:
			if err != nil {
				continue
			}
		}
		if err != nil {
			record.Content = nil
		}
		all = append(all, record)
	}
	return all, failed
}

// recordFromStore decodes an item with its full key. A record with an error has no content, and
// one of an unknown kind has no key.
func recordFromStore(item platform.Item) (ledger.Record, error) {
	entry, used, err := platform.DecodeEntry(item)
	switch {
	case !used:
		return ledger.Record{}, errors.Newf("store key %s is of no record", item.Key)
	case entry.Kind == platform.EntryRecord:
		return recordFromItem(entry.Name, entry.Record, item.Revision, item.CreateRevision, item.Deleted)
	case entry.Kind != platform.EntryWaveStatus:
		return ledger.Record{}, err
	}
	record := ledger.Record{Key: ledger.Key{Kind: ledger.KindWaveStatus, Name: entry.Name}, Revision: item.Revision, Deleted: item.Deleted}
	if err == nil && !item.Deleted {
		record.Content = entry.Completed
	}
	return record, err
}

func (p *Process) callLease(ctx context.Context, call ownership.LeaseCall) event {
	answer := leaseAnswered{call: call, sentAt: now(), ttl: ownership.LeaseTTL}
	switch call.Verb {
	case ownership.LeaseGrant:
		answer.lease, answer.ttl, answer.err = p.store.Grant(ctx, ownership.LeaseTTL)
	case ownership.LeaseRenew:
		answer.err = p.store.Renew(ctx, call.Lease)
		if errors.Is(answer.err, platform.ErrLeaseNotFound) {
			answer.gone, answer.err = true, nil
		}
	case ownership.LeaseRelease:
		answer.err = p.store.Release(ctx, call.Lease)
	}
	return answer
}

// lookup reads the records of a job. The job record is read last: all records are removed
// in one transaction, so if it exists, the others were not removed before they were read.
func (p *Process) lookup(ctx context.Context, l intake.Lookup) event {
	result := lookupDone{lookup: l}
	for _, kind := range []ledger.Kind{ledger.KindProgress, ledger.KindCancel, ledger.KindJob} {
		key := ledger.Key{Kind: kind, Name: l.Job}
		item, err := p.store.Get(ctx, storeKey(key))
		if err != nil {
			result.err = err
			return result
		}
		if item.Deleted {
			if kind == ledger.KindJob {
				result.records = nil
			}
			continue
		}
		record, err := recordFromItem(item.Key[len(platform.RecordPrefix):], item.Value, item.Revision, item.CreateRevision, false)
		if err != nil {
			result.err = err
			return result
		}
		result.records = append(result.records, record)
	}
	return result
}

// clockReading returns the worker's clock in an answer with the time of arrival.
func clockReading(a platform.WorkerAnswer) dispatch.ClockReading {
	return dispatch.ClockReading{Clock: a.Clock, Incarnation: a.Incarnation, At: now()}
}

func workerRef(t dispatch.Target) platform.WorkerRef {
	return platform.WorkerRef{ID: t.ID, Address: t.Address}
}

var startAnswers = map[platform.OrderResult]dispatch.StartAnswer{
	platform.OrderDone: dispatch.StartAccepted, platform.OrderFenced: dispatch.StartFenced, platform.OrderOld: dispatch.StartOld,
	platform.OrderLate: dispatch.StartLate, platform.OrderNoRoom: dispatch.StartNoRoom, platform.OrderNoTicket: dispatch.StartNoTicket,
	platform.OrderInvalid: dispatch.StartInvalid, platform.OrderUnhealthy: dispatch.StartUnhealthy,
	platform.OrderOtherIncarnation: dispatch.StartOtherIncarnation, platform.OrderUnanswered: dispatch.StartUnanswered,
	platform.OrderNotSent: dispatch.StartNotSent,
}

func (p *Process) start(ctx context.Context, o dispatch.StartOrder) event {
	if !beforeDeadline(o.Target.NotAfter) {
		return started{order: o, answer: dispatch.StartNotSent}
	}
	begin := now()
	a := p.workers.Start(ctx, workerRef(o.Target), platform.StartRequest{
		Task: o.Task, Run: o.Number, Payload: o.Payload, LeaseUntil: o.LeaseUntil, Token: o.Target.Token,
		Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	})
	p.timers.record("worker_start", now().Sub(begin))
	return started{order: o, answer: startAnswers[a.Result], reading: clockReading(a), err: a.Err}
}

func (p *Process) stop(ctx context.Context, o dispatch.StopOrder) event {
	if !beforeDeadline(o.Target.NotAfter) {
		return stopped{order: o}
	}
	a := p.workers.Stop(ctx, workerRef(o.Target), o.Task, o.Number, o.Target.Token)
	return stopped{order: o, done: a.Result == platform.OrderDone, otherIncarnation: a.Result == platform.OrderOtherIncarnation, reading: clockReading(a)}
}

func (p *Process) setSpeed(ctx context.Context, o dispatch.SpeedOrder) event {
	if !beforeDeadline(o.Target.NotAfter) {
		return speedSet{order: o}
	}
	a := p.workers.SetSpeed(ctx, workerRef(o.Target), o.Task, o.Number, o.Percent, o.Target.Token)
	return speedSet{order: o, done: a.Result == platform.OrderDone}
}

func (p *Process) poll(ctx context.Context, o dispatch.PollOrder) event {
	result := polled{target: o.Target, result: dispatch.PollFailed}
	if !beforeDeadline(o.Target.NotAfter) {
		return result
	}
	a := p.workers.Poll(ctx, workerRef(o.Target), platform.PollRequest{
		LeaseUntil: o.LeaseUntil, Token: o.Target.Token, Acknowledged: o.Acknowledged, Wait: o.Wait,
	})
	result.reading, result.running, result.ended = clockReading(a.WorkerAnswer), a.Running, a.Ended
	switch a.Result {
	case platform.OrderDone:
		result.result = dispatch.PollAnswered
	case platform.OrderFenced:
		result.result = dispatch.PollFenced
	case platform.OrderOtherIncarnation:
		result.result = dispatch.PollOtherIncarnation
	default:
		p.log.Log(events.WorkerUnreachable, events.F("worker", o.Target.ID), events.F("answer", a.Result.String()), events.Err(a.Err))
	}
	return result
}

func (p *Process) requestTickets(ctx context.Context, r dispatch.AdviceRequest) event {
	tickets, err := p.advice.RequestTickets(ctx, r.Name, r.Workers, r.Expected)
	return advised{request: r, tickets: tickets, err: err}
}

func (p *Process) listMachines(ctx context.Context) event {
	machines, err := p.machines.List(ctx)
	return machinesListed{machines: machines, err: err}
}

func (p *Process) orderMachine(ctx context.Context, c machines.MachineCall) event {
	answer := machineCalled{call: c, result: machines.CallRetry, reason: "not-sent"}
	if !beforeDeadline(c.NotAfter) {
		return answer
	}
	by := platform.Holder{Name: p.settings.Node, Token: c.Token}
	var result platform.MachineResult
	var err error
	if c.Target != "" {
		result, err = p.machines.Move(ctx, by, c.Machine, c.Target)
	} else {
		result, err = p.machines.Maintain(ctx, by, c.Machine, c.Wave)
	}
	answer.err, answer.reason = err, result.String()
	switch result {
	case platform.MachineAccepted:
		answer.result = machines.CallAccepted
	case platform.MachineNotInWave, platform.MachineRefused:
		answer.result = machines.CallRefused
	}
	return answer
}
