// Package clientlimit decides how much clients may make a process hold and which of
// their connections are closed when that is too much. It does no I/O.
//
// Budget is an atomic counter of bytes from which the traffic goroutines take before
// they use memory. State is a table of the connections, owned by one goroutine, whose
// systems choose what is closed.
package clientlimit
