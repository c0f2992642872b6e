// Package exchange performs HTTP/1.1 exchanges over pooled connections. The kind of
// an error states whether any byte of the request may have reached the peer; a call
// counts as not run only if none was sent. A connection is reused only after a
// complete response was read from it, and never after a cancellation, so that a late
// response can't be delivered to the next caller.
package exchange
