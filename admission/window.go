package admission

import "time"

const (
	// sentWindow is the window over which the jobs that a team sends are counted. A team
	// of weight 1 may send four jobs at once; a rise of the load lasts 4 to 6 s.
	sentWindow = 4 * time.Second
	// sentIntervals divides the window.
	sentIntervals = 16
	sentInterval  = sentWindow / sentIntervals
)

// window counts the jobs of the last sentWindow.
type window struct {
	counts [sentIntervals]int32
	total  int
	last   int64 // number of the newest interval
}

func intervalOf(now time.Time) int64 { return now.UnixNano() / int64(sentInterval) }

// advance forgets the intervals that have left the window.
func (w *window) advance(now time.Time) {
	current := intervalOf(now)
	if current-w.last >= sentIntervals {
		*w = window{last: current}
	}
	for w.last < current {
		w.last++
		slot := &w.counts[w.last%sentIntervals]
		w.total -= int(*slot)
		*slot = 0
	}
}

// add counts a job and returns the number of its interval.
func (w *window) add(now time.Time) int64 {
	w.advance(now)
	w.counts[w.last%sentIntervals]++
	w.total++
	return w.last
}

// remove takes a job back that was counted in an interval.
func (w *window) remove(now time.Time, interval int64) {
	w.advance(now)
	if interval > w.last-sentIntervals {
		w.counts[interval%sentIntervals]--
		w.total--
	}
}

// until returns how long it takes until at most limit jobs are in the window, if no
// more are sent.
func (w *window) until(now time.Time, limit float64) time.Duration {
	w.advance(now)
	total := w.total
	for n := range int64(sentIntervals) {
		if float64(total) <= limit {
			return time.Duration(n) * sentInterval
		}
		total -= int(w.counts[(w.last+1+n)%sentIntervals])
	}
	return sentWindow
}
