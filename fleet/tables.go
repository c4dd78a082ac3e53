package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// WorkerRow is a worker in the tables. Its operation is a row of the operations
// table; the Operation field of the embedded document row stays nil.
type WorkerRow struct {
	Worker
	OperationID table.ID // zero without an operation
	// ChangeRevision is the document revision that carries the last change.
	ChangeRevision uint64
	// MissingSince is the first poll whose list lacked the worker. It is not
	// persisted: after a takeover the period starts again.
	MissingSince time.Time
}

// Available reports whether the worker counts towards the budget of its pool.
// An intended operation makes it unavailable.
func (w *WorkerRow) Available() bool { return w.State.Available() && w.OperationID == 0 }

// PoolRow is a pool that has or had workers.
type PoolRow struct {
	Name     string
	Borrowed int // spare workers that moved in and have not been replaced in the spare pool yet
}

// RackKey identifies a rack of the site.
type RackKey struct{ AvailabilityZone, Rack string }

// RackRow is a rack that has or had workers.
type RackRow struct{ RackKey }

// OperationRow is an operation in progress on one worker.
type OperationRow struct {
	Operation
	Worker table.ID
}

// Tables is the state of fleet control. The control goroutine owns it.
type Tables struct {
	Epoch      uint64
	Revision   uint64 // last revision known to be in the store
	Workers    table.Table[WorkerRow]
	Pools      table.Table[PoolRow]
	Racks      table.Table[RackRow]
	Operations table.Table[OperationRow]
	Wave       *Wave

	writeRevision uint64 // revision of the write in progress, zero if there is none
	dirty         bool
	workersByID   table.Index[string]
	poolsByName   table.Index[string]
	racksByKey    table.Index[RackKey]
	workersByPool table.MultiIndex[string]
	workersByRack table.MultiIndex[RackKey]
}

// Load fills new tables from a document of the store.
func Load(doc *Document) *Tables {
	t := &Tables{Epoch: doc.Epoch, Revision: doc.Revision}
	for i := range doc.Workers {
		t.insert(doc.Workers[i], doc.Revision)
	}
	for name, count := range doc.Borrowed {
		t.ensurePool(name).Borrowed = count
	}
	if doc.Wave != nil {
		t.Wave = cloneWave(doc.Wave)
	}
	return t
}

func cloneWave(wave *Wave) *Wave {
	clone := *wave
	clone.Pools = slices.Clone(wave.Pools)
	clone.FailedWorkers = slices.Clone(wave.FailedWorkers)
	return &clone
}

// insert adds a row. Rows that are loaded carry the revision of their document.
func (t *Tables) insert(worker Worker, revision uint64) *WorkerRow {
	operation := worker.Operation
	worker.Operation = nil
	id := t.Workers.Insert(WorkerRow{Worker: worker, ChangeRevision: revision})
	t.workersByID.Put(worker.ID, id)
	t.ensurePool(worker.Pool)
	t.workersByPool.Add(worker.Pool, id)
	key := RackKey{worker.AvailabilityZone, worker.Rack}
	if _, ok := t.racksByKey.Get(key); !ok {
		t.racksByKey.Put(key, t.Racks.Insert(RackRow{key}))
	}
	t.workersByRack.Add(key, id)
	row := t.Workers.Get(id)
	if operation != nil {
		row.OperationID = t.Operations.Insert(OperationRow{Operation: *operation, Worker: id})
	}
	return row
}

func (t *Tables) ensurePool(name string) *PoolRow {
	id, ok := t.poolsByName.Get(name)
	if !ok {
		id = t.Pools.Insert(PoolRow{Name: name})
		t.poolsByName.Put(name, id)
	}
	return t.Pools.Get(id)
}

// Document returns the tables as a document with workers ordered by ID.
func (t *Tables) Document() Document {
	doc := Document{Epoch: t.Epoch, Revision: t.Revision, Workers: make([]Worker, 0, t.Workers.Len())}
	for id := range t.Workers.All() {
		doc.Workers = append(doc.Workers, t.documentWorker(id))
	}
	slices.SortFunc(doc.Workers, func(a, b Worker) int { return strings.Compare(a.ID, b.ID) })
	for _, pool := range t.Pools.All() {
		if pool.Borrowed == 0 {
			continue
		}
		if doc.Borrowed == nil {
			doc.Borrowed = map[string]int{}
		}
		doc.Borrowed[pool.Name] = pool.Borrowed
	}
	if t.Wave != nil {
		doc.Wave = cloneWave(t.Wave)
	}
	return doc
}

func (t *Tables) documentWorker(id table.ID) Worker {
	row := t.Workers.Get(id)
	worker := row.Worker
	if operation := t.Operations.Get(row.OperationID); operation != nil {
		clone := operation.Operation
		worker.Operation = &clone
	}
	return worker
}

// Worker returns the row of a worker, or nil if the fleet has no such worker.
// The pointer is valid until the next worker is added.
func (t *Tables) Worker(id string) *WorkerRow {
	rowID, ok := t.workersByID.Get(id)
	if !ok {
		return nil
	}
	return t.Workers.Get(rowID)
}

// Operation returns the operation in progress on the worker, or nil.
func (t *Tables) Operation(row *WorkerRow) *OperationRow { return t.Operations.Get(row.OperationID) }

// WorkersOfPool returns the IDs of the pool's workers. The caller must not keep
// or modify the slice.
func (t *Tables) WorkersOfPool(pool string) []table.ID { return t.workersByPool.Get(pool) }

// WorkersOfRack returns the IDs of the rack's workers. The caller must not keep
// or modify the slice.
func (t *Tables) WorkersOfRack(key RackKey) []table.ID { return t.workersByRack.Get(key) }

// Borrowed returns the number of spare workers that the pool has borrowed and not
// given back.
func (t *Tables) Borrowed(pool string) int {
	if id, ok := t.poolsByName.Get(pool); ok {
		return t.Pools.Get(id).Borrowed
	}
	return 0
}

// remove deletes the worker with its operation.
func (t *Tables) remove(row *WorkerRow) {
	id, _ := t.workersByID.Get(row.ID)
	t.Operations.Delete(row.OperationID)
	t.workersByID.Delete(row.ID)
	t.workersByPool.Remove(row.Pool, id)
	t.workersByRack.Remove(RackKey{row.AvailabilityZone, row.Rack}, id)
	t.Workers.Delete(id)
	t.dirty = true
}

// setPool moves the row to another pool.
func (t *Tables) setPool(row *WorkerRow, pool string) {
	id, _ := t.workersByID.Get(row.ID)
	t.workersByPool.Remove(row.Pool, id)
	row.Pool = pool
	t.ensurePool(pool)
	t.workersByPool.Add(pool, id)
}

// NextRevision is the revision of the write that will carry changes made now.
func (t *Tables) NextRevision() uint64 { return max(t.Revision, t.writeRevision) + 1 }

// MarkDirty marks the document as changed, so that the next write stores it.
func (t *Tables) MarkDirty() { t.dirty = true }

func (t *Tables) markRowDirty(row *WorkerRow) {
	row.ChangeRevision = t.NextRevision()
	t.dirty = true
}

// Durable reports whether the last change of the row is in the store.
func (t *Tables) Durable(row *WorkerRow) bool { return row.ChangeRevision <= t.Revision }

// BeginCommit returns the document to write, or false if nothing changed or a
// write is in progress. Changes made until EndCommit go into the next write.
func (t *Tables) BeginCommit() (Document, bool) {
	if !t.dirty || t.writeRevision != 0 {
		return Document{}, false
	}
	t.writeRevision = t.NextRevision()
	t.dirty = false
	doc := t.Document()
	doc.Revision = t.writeRevision
	return doc, true
}

// EndCommit records the result of the write in progress. A write that is known to
// have failed is repeated with the changes made since. After a write conflict, or
// while the result is unknown, the caller loads the stored document instead.
func (t *Tables) EndCommit(written bool) {
	if written {
		t.Revision = t.writeRevision
	} else {
		t.dirty = true
	}
	t.writeRevision = 0
}
