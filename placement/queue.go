package placement

import (
	"container/heap"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// pendingSet is a set of keys in order of insertion, so that the systems that process
// it are deterministic.
type pendingSet[K comparable] struct {
	keys []K
	seen map[K]struct{}
}

func (c *pendingSet[K]) add(key K) {
	if _, ok := c.seen[key]; ok {
		return
	}
	if c.seen == nil {
		c.seen = map[K]struct{}{}
	}
	c.seen[key] = struct{}{}
	c.keys = append(c.keys, key)
}

// take returns the keys and empties the set.
func (c *pendingSet[K]) take() []K {
	keys := c.keys
	c.keys = nil
	clear(c.seen)
	return keys
}

type timerKind uint8

const (
	timerRetention timerKind = iota + 1 // job row: its retention ends
	timerAttempt                        // attempt row: its status must be checked
	timerStop                           // attempt row: the stop of its task must be retried
	timerWorker                         // worker row
)

type timer struct {
	at    time.Time
	order uint64
	kind  timerKind
	row   table.ID
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// timerQueue orders timers by time. Timers are never cancelled: when an obsolete one
// fires, its row no longer exists or the system has nothing to do.
type timerQueue struct {
	heap  timerHeap
	order uint64
}

func (q *timerQueue) add(at time.Time, kind timerKind, row table.ID) {
	q.order++
	heap.Push(&q.heap, timer{at, q.order, kind, row})
}

func (q *timerQueue) due(now time.Time) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

func (q *timerQueue) next() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].at
}
