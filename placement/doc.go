// Package placement schedules jobs onto workers. It covers admission, durable
// acceptance, fair-share placement, preemption, cancellation, the power cap of
// the site, and the quarantine of workers on which jobs keep failing.
//
// State holds the tables. Apply records one event, and Systems run over the
// tables on each tick. Decisions leave as rows of the outbound tables in
// State.Out; the owner executes them and feeds the results back as events. The
// package does no I/O and knows no encoding: Page is a domain type, which
// placement/pagecodec encodes.
package placement
