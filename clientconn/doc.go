// Package clientconn applies the limits of package clientlimit to the connections of
// clients: it wraps listeners and connections of net/http servers, counts what they
// hold and closes them.
package clientconn
