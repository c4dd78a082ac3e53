package node

import (
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// ListedWorker is a worker as last reported by the platform's worker list.
type ListedWorker struct {
	infra.Worker
	// StatusSince is the local time at which the current status was first listed.
	StatusSince time.Time
}

// View is the local view of the site: configuration, fleet, homes, members and
// the state of store and platform. It is part of the role's control state and
// must be used on the control goroutine only.
type View struct {
	Keys Keys
	Self Identity

	Config         *policy.Document // nil until known
	ConfigRevision store.Revision   // of the store value; zero if the document came from a peer
	Policy         *policy.Effective
	// RejectedConfigRevision is the highest revision of an invalid document. The
	// next document must have a higher one.
	RejectedConfigRevision policy.Revision
	nextExpiry             time.Time

	Fleet         *fleet.Document // nil until known
	FleetRevision store.Revision  // of the store value; zero if the document came from a peer
	// WorkerStateChangedAt is the local time of the last state change of each
	// worker in the fleet document.
	WorkerStateChangedAt map[string]time.Time

	Homes         *idempotency.Homes // nil until known
	HomesRevision store.Revision     // zero if the list came from a peer
	Leader        Leader

	StoreConnected   bool
	StoreConfirmedAt time.Time // time up to which the watch had delivered every change
	Lease            store.LeaseID
	LeaseDeadline    time.Time

	ListedWorkers table.Table[ListedWorker]
	listedIndex   table.Index[string]
	ListedAt      time.Time // time before the last successful list call was sent
	listFailing   bool

	Members       []Identity // as registered in the store; stale during a store outage
	MembersReadAt time.Time
	// MembersRequestedAt is the time before the read of Members. A process that has
	// registered later may be missing there.
	MembersRequestedAt time.Time
	membersKnown       bool
	membersSyncedAt    time.Time // MembersReadAt of the members last passed to the peer table

	// Documents that were last published for peers.
	publishedConfig *policy.Document
	publishedFleet  *fleet.Document
	publishedHomes  *idempotency.Homes

	Logs table.Outbound[events.Record]
}

// Leader is the active controller as recorded in the store.
type Leader struct {
	Identity Identity
	Revision store.Revision // zero if there is none
}

// NewView returns an empty view.
func NewView(site string, self Identity) *View {
	return &View{Keys: NewKeys(site), Self: self, WorkerStateChangedAt: map[string]time.Time{}}
}

// Log queues an event for the log.
func (v *View) Log(event events.Event, fields ...events.Field) {
	v.Logs.Add(events.Record{Event: event, Fields: fields})
}

// Apply updates the view with an event.
func (v *View) Apply(tick engine.Tick, event Event) {
	switch e := event.(type) {
	case ConfigSeen:
		v.applyConfig(tick, e)
	case FleetSeen:
		v.applyFleet(tick, e)
	case HomesSeen:
		v.applyHomes(e)
	case LeaderSeen:
		v.Leader = Leader(e)
	case ValueInvalid:
		v.Log(events.StoreValueInvalid, events.F("key", e.Key), events.Err(e.Err))
	case StoreConfirmed:
		v.confirmStore(e.At)
	case StoreLost:
		v.markStoreLost(e.Err)
	case WorkersListed:
		v.applyWorkerList(tick, e)
	case MembersListed:
		if e.Err == nil {
			v.Members, v.MembersReadAt, v.membersKnown = e.Members, tick.Now, true
			v.MembersRequestedAt = e.RequestedAt
		}
	case LeaseChanged:
		v.Lease, v.LeaseDeadline = e.Lease, e.Deadline
	}
}

// MembersKnown reports whether the registrations have been read successfully at
// least once.
func (v *View) MembersKnown() bool { return v.membersKnown }

// applyConfig puts a valid document with a higher revision in force. A lower
// revision is ignored, so that the configuration never reverts.
func (v *View) applyConfig(tick engine.Tick, e ConfigSeen) {
	if v.Config != nil && e.Document.Revision <= v.Config.Revision {
		if e.Document.Revision < v.Config.Revision {
			v.Log(events.ConfigOlder, events.F("revision", e.Document.Revision), events.F("in_force", v.Config.Revision))
		} else {
			v.ConfigRevision = max(v.ConfigRevision, e.Revision)
		}
		return
	}
	if err := policy.Validate(e.Document); err != nil {
		v.rejectConfig(e, err)
		return
	}
	v.activateConfig(tick, e.Document)
	v.ConfigRevision = e.Revision
}

// rejectConfig keeps the current document in force. It still records the store
// revision of the rejected value, because the next write has to replace that value.
func (v *View) rejectConfig(e ConfigSeen, err error) {
	if e.Revision != 0 {
		v.ConfigRevision = e.Revision
	}
	if e.Document.Revision <= v.RejectedConfigRevision {
		return
	}
	v.RejectedConfigRevision = e.Document.Revision
	v.Log(events.ConfigRejected, events.F("revision", e.Document.Revision), events.F("author", e.Document.Author), events.Err(err))
}

func (v *View) resolve(now time.Time) {
	v.Policy = policy.Resolve(v.Config, now)
	v.nextExpiry = v.Policy.NextExpiry(now)
}

// ExpireExceptions resolves the policy again when an exception has expired.
func (v *View) ExpireExceptions(tick engine.Tick) {
	if v.Config != nil && !v.nextExpiry.IsZero() && !tick.Now.Before(v.nextExpiry) {
		v.resolve(tick.Now)
	}
}

func (v *View) applyFleet(tick engine.Tick, e FleetSeen) {
	if v.AdoptFleet(tick, e.Document) && e.Revision != 0 {
		v.FleetRevision = e.Revision
	}
}

func (v *View) applyHomes(e HomesSeen) {
	if v.Homes == nil || e.Homes.Epoch > v.Homes.Epoch {
		v.Homes = e.Homes
	}
	if e.Homes.Epoch == v.Homes.Epoch && e.Revision != 0 {
		v.HomesRevision = e.Revision
	}
}

// AdoptConfig puts a document in force that this process wrote to the store.
func (v *View) AdoptConfig(tick engine.Tick, doc *policy.Document, revision store.Revision) {
	if v.Config != nil && doc.Revision <= v.Config.Revision {
		return
	}
	v.activateConfig(tick, doc)
	v.ConfigRevision = revision
}

func (v *View) activateConfig(tick engine.Tick, doc *policy.Document) {
	v.Config = doc
	v.ConfigRevision = 0
	v.resolve(tick.Now)
	v.Log(events.ConfigInForce, events.F("revision", doc.Revision), events.F("author", doc.Author))
}

// AdoptFleet replaces the fleet document by one with a higher revision. It reports
// whether the view now holds that revision.
func (v *View) AdoptFleet(tick engine.Tick, doc *fleet.Document) bool {
	if v.Fleet != nil && doc.Revision <= v.Fleet.Revision {
		return doc.Revision == v.Fleet.Revision
	}
	v.recordStateChanges(tick.Now, doc)
	v.Fleet = doc
	return true
}

// recordStateChanges records the time of each state change. It records none for
// the first document, so that the platform's list takes precedence over it.
func (v *View) recordStateChanges(now time.Time, doc *fleet.Document) {
	if v.Fleet == nil {
		return
	}
	previous := make(map[string]fleet.State, len(v.Fleet.Workers))
	for i := range v.Fleet.Workers {
		previous[v.Fleet.Workers[i].ID] = v.Fleet.Workers[i].State
	}
	for i := range doc.Workers {
		worker := &doc.Workers[i]
		if state, ok := previous[worker.ID]; !ok || state != worker.State {
			v.WorkerStateChangedAt[worker.ID] = now
		}
		delete(previous, worker.ID)
	}
	for id := range previous {
		delete(v.WorkerStateChangedAt, id)
	}
}

func (v *View) confirmStore(at time.Time) {
	if !v.StoreConnected {
		v.StoreConnected = true
		v.Log(events.StoreAvailable)
	}
	if at.After(v.StoreConfirmedAt) {
		v.StoreConfirmedAt = at
	}
}

func (v *View) markStoreLost(err error) {
	if v.StoreConnected {
		v.StoreConnected = false
		v.Log(events.StoreWatchLost, events.Err(err))
	}
}

func (v *View) applyWorkerList(tick engine.Tick, e WorkersListed) {
	if e.Err != nil {
		if !v.listFailing {
			v.Log(events.PlatformUnavailable, events.Err(e.Err))
		}
		v.listFailing = true
		return
	}
	if v.listFailing {
		v.Log(events.PlatformAvailable)
	}
	v.listFailing = false
	if e.RequestedAt.After(v.ListedAt) {
		v.ListedAt = e.RequestedAt
	}
	present := make(map[string]bool, len(e.Workers))
	for i := range e.Workers {
		present[e.Workers[i].ID] = true
		v.updateListedWorker(tick.Now, &e.Workers[i])
	}
	for id, row := range v.ListedWorkers.All() {
		if !present[row.ID] {
			v.listedIndex.Delete(row.ID)
			v.ListedWorkers.Delete(id)
		}
	}
}

func (v *View) updateListedWorker(now time.Time, worker *infra.Worker) {
	id, ok := v.listedIndex.Get(worker.ID)
	if !ok {
		id = v.ListedWorkers.Insert(ListedWorker{Worker: *worker, StatusSince: now})
		v.listedIndex.Put(worker.ID, id)
		return
	}
	row := v.ListedWorkers.Get(id)
	if row.Status != worker.Status {
		row.StatusSince = now
	}
	row.Worker = *worker
}

// ListedWorker returns the last listed row of a worker, or nil if the platform
// does not list it.
func (v *View) ListedWorker(id string) *ListedWorker {
	row, ok := v.listedIndex.Get(id)
	if !ok {
		return nil
	}
	return v.ListedWorkers.Get(row)
}

// PlatformReachable reports whether the last list call succeeded.
func (v *View) PlatformReachable() bool { return !v.listFailing && !v.ListedAt.IsZero() }

// FleetConfirmedAt returns the latest time at which the store watch or the
// platform's list confirmed the view of the fleet. It does not consider
// confirmations by peers; the caller has to.
func (v *View) FleetConfirmedAt() time.Time {
	if v.ListedAt.After(v.StoreConfirmedAt) {
		return v.ListedAt
	}
	return v.StoreConfirmedAt
}

// AcceptsRequests reports whether a worker of the fleet document may receive new
// requests. The platform's list rules a worker out if it lists the worker as
// leaving, or if another non-live status was first listed after the worker's last
// state change in the document. An older listed status is ignored, because the
// list lags behind and would keep a worker that has returned to service idle.
func (v *View) AcceptsRequests(worker *fleet.Worker) bool {
	if !worker.State.Available() || worker.Operation != nil {
		return false
	}
	listed := v.ListedWorker(worker.ID)
	if listed == nil || listed.Status == infra.WorkerLive || listed.BootID < worker.BootID {
		return true
	}
	if listed.Status == infra.WorkerLeaving {
		return false
	}
	return !listed.StatusSince.After(v.WorkerStateChangedAt[worker.ID])
}

// MemberKeyOwner returns the incarnation of a registration key. It reports false
// for any other key.
func (v *View) MemberKeyOwner(key string) (string, bool) {
	if !strings.HasPrefix(key, v.Keys.MembersPrefix()) {
		return "", false
	}
	return v.Keys.Incarnation(key), true
}
