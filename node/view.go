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

// ListedWorker is the last row of the platform's list about a worker.
type ListedWorker struct {
	infra.Worker
	// StatusSince is the local time at which the list first showed this status.
	StatusSince time.Time
}

// View is what a process knows of the site. It is part of the control state of
// its role and belongs to the control goroutine.
type View struct {
	Keys Keys
	Self Identity

	Config         *policy.Document // nil until known
	ConfigRevision store.Revision   // of the store value, zero if a peer delivered the document
	Policy         *policy.Effective
	// RejectedConfigRevision is the highest revision of a document that was not valid. A
	// successor needs a higher one.
	RejectedConfigRevision policy.Revision
	nextExpiry             time.Time

	Fleet         *fleet.Document // nil until known
	FleetRevision store.Revision  // of the store value, zero if a peer delivered the document
	// WorkerStateChangedAt holds the local time at which a worker's state last changed in
	// the fleet document.
	WorkerStateChangedAt map[string]time.Time

	Homes         *idempotency.Homes // nil until known
	HomesRevision store.Revision     // zero if a peer delivered the list
	Leader        Leader

	StoreConnected   bool
	StoreConfirmedAt time.Time // the watch had seen every change at this time
	Lease            store.LeaseID
	LeaseDeadline    time.Time

	ListedWorkers table.Table[ListedWorker]
	listedIndex   table.Index[string]
	ListedAt      time.Time // moment before the last answered list call
	listFailing   bool

	Members          []Identity // as listed in the store; stale while the store is down
	MembersReadAt    time.Time
	memberTableKnown bool
	membersTold      time.Time // MembersReadAt that the peer exchange knows

	// What peers can fetch.
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

// Log queues a numbered event.
func (v *View) Log(event events.Event, fields ...events.Field) {
	v.Logs.Add(events.Record{Event: event, Fields: fields})
}

// Apply records an event.
func (v *View) Apply(tick engine.Tick, event Event) {
	switch e := event.(type) {
	case ConfigSeen:
		v.seeConfig(tick, e)
	case FleetSeen:
		v.seeFleet(tick, e)
	case HomesSeen:
		v.seeHomes(e)
	case LeaderSeen:
		v.Leader = Leader(e)
	case ValueInvalid:
		v.Log(events.StoreValueInvalid, events.F("key", e.Key), events.Err(e.Err))
	case StoreConfirmed:
		v.confirmStore(e.At)
	case StoreLost:
		v.loseStore(e.Err)
	case WorkersListed:
		v.applyList(tick, e)
	case MembersListed:
		if e.Err == nil {
			v.Members, v.MembersReadAt, v.memberTableKnown = e.Members, tick.Now, true
		}
	case LeaseChanged:
		v.Lease, v.LeaseDeadline = e.Lease, e.Deadline
	}
}

// MembersKnown reports whether the registrations were read at least once.
func (v *View) MembersKnown() bool { return v.memberTableKnown }

// seeConfig takes a valid document with a higher revision. A lower one is
// ignored, so that an accepted configuration never reverts.
func (v *View) seeConfig(tick engine.Tick, e ConfigSeen) {
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
	v.putInForce(tick, e.Document)
	v.ConfigRevision = e.Revision
}

// rejectConfig keeps the document in force. The store revision is that of the
// rejected value, because the next change has to replace it.
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

// ExpireExceptions resolves the policy anew when an exception has expired.
func (v *View) ExpireExceptions(tick engine.Tick) {
	if v.Config != nil && !v.nextExpiry.IsZero() && !tick.Now.Before(v.nextExpiry) {
		v.resolve(tick.Now)
	}
}

func (v *View) seeFleet(tick engine.Tick, e FleetSeen) {
	if v.AdoptFleet(tick, e.Document) && e.Revision != 0 {
		v.FleetRevision = e.Revision
	}
}

func (v *View) seeHomes(e HomesSeen) {
	if v.Homes == nil || e.Homes.Epoch > v.Homes.Epoch {
		v.Homes = e.Homes
	}
	if e.Homes.Epoch == v.Homes.Epoch && e.Revision != 0 {
		v.HomesRevision = e.Revision
	}
}

// AdoptConfig takes a document that this process wrote itself.
func (v *View) AdoptConfig(tick engine.Tick, doc *policy.Document, revision store.Revision) {
	if v.Config != nil && doc.Revision <= v.Config.Revision {
		return
	}
	v.putInForce(tick, doc)
	v.ConfigRevision = revision
}

func (v *View) putInForce(tick engine.Tick, doc *policy.Document) {
	v.Config = doc
	v.ConfigRevision = 0
	v.resolve(tick.Now)
	v.Log(events.ConfigInForce, events.F("revision", doc.Revision), events.F("author", doc.Author))
}

// AdoptFleet takes a document with a higher revision and reports whether it is
// the document now held.
func (v *View) AdoptFleet(tick engine.Tick, doc *fleet.Document) bool {
	if v.Fleet != nil && doc.Revision <= v.Fleet.Revision {
		return doc.Revision == v.Fleet.Revision
	}
	v.noteFleetChanges(tick.Now, doc)
	v.Fleet = doc
	return true
}

// noteFleetChanges records state changes. The first document records none, so
// that the platform's list counts against it.
func (v *View) noteFleetChanges(now time.Time, doc *fleet.Document) {
	if v.Fleet == nil {
		return
	}
	former := make(map[string]fleet.State, len(v.Fleet.Workers))
	for i := range v.Fleet.Workers {
		former[v.Fleet.Workers[i].ID] = v.Fleet.Workers[i].State
	}
	for i := range doc.Workers {
		worker := &doc.Workers[i]
		if state, ok := former[worker.ID]; !ok || state != worker.State {
			v.WorkerStateChangedAt[worker.ID] = now
		}
		delete(former, worker.ID)
	}
	for id := range former {
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

func (v *View) loseStore(err error) {
	if v.StoreConnected {
		v.StoreConnected = false
		v.Log(events.StoreWatchLost, events.Err(err))
	}
}

func (v *View) applyList(tick engine.Tick, e WorkersListed) {
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
	seen := make(map[string]bool, len(e.Workers))
	for i := range e.Workers {
		seen[e.Workers[i].ID] = true
		v.mergeListed(tick.Now, &e.Workers[i])
	}
	for id, row := range v.ListedWorkers.All() {
		if !seen[row.ID] {
			v.listedIndex.Delete(row.ID)
			v.ListedWorkers.Delete(id)
		}
	}
}

func (v *View) mergeListed(now time.Time, worker *infra.Worker) {
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

// ListedWorker returns the last listed row of a worker, or nil.
func (v *View) ListedWorker(id string) *ListedWorker {
	row, ok := v.listedIndex.Get(id)
	if !ok {
		return nil
	}
	return v.ListedWorkers.Get(row)
}

// PlatformReachable reports whether the last list call was answered.
func (v *View) PlatformReachable() bool { return !v.listFailing && !v.ListedAt.IsZero() }

// FleetConfirmedAt returns the latest time at which the store watch or the
// platform's list confirmed the view of the fleet. Peers are the caller's concern.
func (v *View) FleetConfirmedAt() time.Time {
	if v.ListedAt.After(v.StoreConfirmedAt) {
		return v.ListedAt
	}
	return v.StoreConfirmedAt
}

// AcceptsRequests reports whether a worker of the fleet document may receive new
// requests. The platform's list counts against it when it calls the worker
// leaving, or when it changed to another status after the document's last
// change of that worker; otherwise the lagging list would keep a worker that
// returned to service without requests.
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

// MemberKeyOwner returns the incarnation of a registration key, or false for
// another key.
func (v *View) MemberKeyOwner(key string) (string, bool) {
	if !strings.HasPrefix(key, v.Keys.MembersPrefix()) {
		return "", false
	}
	return v.Keys.Incarnation(key), true
}
