// Package entry implements the process that runs on every node of the operators'
// platform. It answers clients and schedules the jobs of the pools that it owns.
//
// One goroutine owns the control state and runs the systems of the decision
// packages over it (systems.go). The goroutines of the HTTP server and of
// outbound calls carry traffic: they execute effects, post the results as events
// (effects.go), and read the current manifest through an atomic pointer.
package entry
