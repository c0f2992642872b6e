// Package exchange performs HTTP/1.1 exchanges over pooled connections and
// knows how far each one got. Errors tell whether a byte of the request may
// have reached the peer, which decides if a call was not run. A connection is
// used again only after a whole answer was read from it, and never after a
// cancellation, so that a late answer cannot reach the next caller.
package exchange
