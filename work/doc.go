// Package work defines the domain types of queued work: jobs and their steps,
// the tasks of a step and their runs on workers, the queues and pools of the
// manifest, and the durable records of these. It does no I/O and implements no
// encoding.
package work
