// Package work holds the domain types of queued work: jobs made of steps, the
// tasks of a step, their runs on workers, the queues and pools of the
// manifest, and the durable records of all of these. It does no I/O and knows
// no encoding.
package work
