// Package soak is the fault-injection soak test of waxwing-entry. It runs the
// production binary as separate processes against the platform stand-in and
// injects faults from outside the processes: signals, and proxies that delay,
// close, reset or drop the data of connections. It checks the answers that
// clients received against the tasks that workers started, and reports violations
// that the stand-in saw during the run. All code is in the test files. CI runs a
// short soak with fixed seeds, and
//
//	make soak SEEDS=50
//
// runs more seeds. SEED is the first seed; 0 derives it from the current time.
package soak
