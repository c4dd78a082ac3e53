// Package placement decides about jobs: admission, durable acceptance, fair
// placement on workers, preemption, cancellation, the power cap of the site,
// and quarantine of workers that fail what they start.
//
// State holds the tables. Apply records one event, and Systems run over the
// tables on each tick. Decisions leave as rows of the outbound tables in
// State.Out; the owner performs them and posts the results back as events. The
// package does no I/O and knows no encoding: Page is a domain type, and
// placement/pagecodec turns it into bytes.
package placement
