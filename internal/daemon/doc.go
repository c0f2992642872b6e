// Package daemon assembles one host: the HTTP servers for callers and for peers,
// the path of a request, and the background tasks. It does the I/O; the decisions
// are made in the packages that it uses.
package daemon
