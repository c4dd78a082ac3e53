// Package entry is the process that runs on every machine of the operators'
// platform: it answers clients, and runs the jobs of the pools that it owns.
//
// One goroutine owns the control state and runs the systems of the decision
// packages over it (systems.go). Goroutines of the HTTP server and of outbound
// calls carry traffic; they post events and perform effects (effects.go), and
// read the manifest in force through an atomic pointer.
package entry
