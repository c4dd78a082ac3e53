package entry

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/dispatch"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/machines"
	"github.com/waxwingbridge/waxwingbridge/ownership"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// event is a report of a traffic goroutine to the control thread.
type event interface {
	apply(s *State, tick engine.Tick)
}

// recordsChanged carries changes of the records of this system.
type recordsChanged struct {
	batch      platform.Batch
	receivedAt time.Time
}

func (e recordsChanged) apply(s *State, tick engine.Tick) {
	s.applyBatch(tick, e.batch, e.receivedAt)
	s.storeAnswered(tick.Now)
	if e.batch.Partial {
		return
	}
	s.Mirror.Revision = max(s.Mirror.Revision, e.batch.Revision)
	s.Mirror.ReadAt = e.batch.ReadAt
	s.recordsRead = s.recordsRead || e.batch.Full
	s.markSynced(tick)
}

// registryChanged carries changes of the registry of workers and of the wave statuses.
type registryChanged struct {
	batch      platform.Batch
	receivedAt time.Time
}

func (e registryChanged) apply(s *State, tick engine.Tick) {
	s.applyBatch(tick, e.batch, e.receivedAt)
	s.storeAnswered(tick.Now)
	s.registryRead = s.registryRead || e.batch.Full
	s.registryRevision = max(s.registryRevision, e.batch.Revision)
	s.markSynced(tick)
}

// markSynced lets the process take part once both reads of the store are complete.
func (s *State) markSynced(tick engine.Tick) {
	if s.recordsRead && s.registryRead && !s.Mirror.Synced {
		s.Mirror.Synced = true
		s.Ownership.MarkSynced(tick.Now)
	}
}

// operatorWrote carries changes of the operator's keys, which are watched separately.
type operatorWrote struct {
	batch      platform.Batch
	receivedAt time.Time
}

func (e operatorWrote) apply(s *State, tick engine.Tick) {
	s.applyBatch(tick, e.batch, e.receivedAt)
	s.manifestConfirmedAt = e.batch.ReadAt
}

func (s *State) applyBatch(tick engine.Tick, batch platform.Batch, receivedAt time.Time) {
	for _, err := range batch.Invalid {
		s.Logs.Add(events.Record{Event: events.StoreEntryInvalid, Fields: []events.Field{events.Err(err)}})
	}
	s.inFullBatch = batch.Full
	for i := range batch.Entries {
		s.applyEntry(tick, batch.Entries[i], receivedAt)
	}
	s.inFullBatch = false
	lost := s.Mirror.TakeLostProgress()
	if read := batch.Read; batch.Full || lost > 0 {
		s.Logs.Add(events.Record{Event: events.StoreReadInFull, Fields: []events.Field{
			events.F("full", batch.Full), events.F("keys", read.Keys), events.F("pages", read.Pages), events.F("first_revision", read.FirstRevision),
			events.F("last_revision", read.LastRevision), events.F("changed", read.Changed), events.F("revision", batch.Revision), events.F("removed", read.Removed),
			events.F("lost_progress", lost), events.F("took_ms", receivedAt.Sub(batch.ReadAt).Milliseconds()),
		}})
	}
}

// requested carries a client's request.
type requested struct{ request intake.Request }

func (e requested) apply(s *State, tick engine.Tick) { s.Intake.Receive(tick, e.request) }

// writeDone carries the result of a store write.
type writeDone struct{ result ledger.WriteResult }

func (e writeDone) apply(s *State, tick engine.Tick) {
	if e.result.Outcome == ledger.Applied || e.result.Outcome == ledger.Conflict {
		s.storeAnswered(tick.Now)
	}
	_ = s.Intake.WriteDone(tick, e.result) || s.Dispatch.WriteDone(tick, e.result) ||
		s.Ownership.WriteDone(tick.Now, e.result) || s.Machines.WriteDone(tick, e.result) || s.Quota.WriteDone(tick.Now, e.result)
}

// leaseAnswered carries the answer to a call about the store lease.
type leaseAnswered struct {
	call   ownership.LeaseCall
	lease  int64
	ttl    time.Duration
	sentAt time.Time
	gone   bool
	err    error
}

func (e leaseAnswered) apply(s *State, tick engine.Tick) {
	if e.err != nil {
		s.Intake.Admission.CallAnswered(tick.Now, false)
	} else {
		s.storeAnswered(tick.Now)
	}
	if e.err != nil || e.gone {
		s.Logs.Add(events.Record{Event: events.LeaseCallFailed, Fields: []events.Field{
			events.F("lease", e.call.Lease), events.F("gone", e.gone), events.Err(e.err),
		}})
	}
	s.Ownership.LeaseCallDone(tick.Now, e.call, e.lease, e.ttl, e.sentAt, e.gone, e.err)
}

// polled carries the answer to a poll: the worker's running and ended runs.
type polled struct {
	target  dispatch.Target
	result  dispatch.PollResult
	reading dispatch.ClockReading
	running []work.RunStatus
	ended   []work.RunEnd
}

func (e polled) apply(s *State, tick engine.Tick) {
	s.Dispatch.Polled(tick, e.target, e.result, e.reading, e.running, e.ended)
}

// started carries the answer to a start order.
type started struct {
	order   dispatch.StartOrder
	answer  dispatch.StartAnswer
	reading dispatch.ClockReading
	err     error
}

func (e started) apply(s *State, tick engine.Tick) {
	s.Dispatch.Started(tick, e.order, e.answer, e.reading, e.err)
}

// stopped carries the answer to a stop order.
type stopped struct {
	order            dispatch.StopOrder
	done             bool
	otherIncarnation bool
	reading          dispatch.ClockReading
}

func (e stopped) apply(s *State, tick engine.Tick) {
	s.Dispatch.Stopped(tick, e.order, e.done, e.otherIncarnation, e.reading)
}

// speedSet carries the answer to an order that sets the speed of a run.
type speedSet struct {
	order dispatch.SpeedOrder
	done  bool
}

func (e speedSet) apply(s *State, _ engine.Tick) { s.Dispatch.SpeedSet(e.order, e.done) }

// advised carries the answer of the advice service.
type advised struct {
	request dispatch.AdviceRequest
	tickets platform.Tickets
	err     error
}

func (e advised) apply(s *State, tick engine.Tick) {
	s.Dispatch.AdviceReceived(tick, e.request, e.tickets.ByWorker, e.tickets.Validity, e.err)
}

// lookupDone carries the stored records of a job for a client's lookup.
type lookupDone struct {
	lookup  intake.Lookup
	records []ledger.Record
	err     error
}

func (e lookupDone) apply(s *State, tick engine.Tick) {
	s.Intake.LookupDone(tick, e.lookup, e.records, e.err)
}

// machinesListed carries the machine service's list of machines.
type machinesListed struct {
	machines []work.Machine
	err      error
}

func (e machinesListed) apply(s *State, _ engine.Tick) { s.Machines.ListDone(e.machines, e.err) }

// machineCalled carries the answer to a maintenance or move order.
type machineCalled struct {
	call   machines.MachineCall
	result machines.CallResult
	reason string
	err    error
}

func (e machineCalled) apply(s *State, tick engine.Tick) {
	s.Machines.CallDone(tick, e.call, e.result, e.reason, e.err)
}

// stopRequested starts a planned shutdown.
type stopRequested struct{}

func (stopRequested) apply(s *State, tick engine.Tick) {
	if s.stoppingSince.IsZero() {
		s.stoppingSince = tick.Now
		s.Dispatch.Stopping = true
	}
}
