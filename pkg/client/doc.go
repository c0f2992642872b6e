// Package client is a caller's side of the gateway. It learns which hosts to
// use, nearest first, and sends a call on to another host only while the call
// is known not to have run. A call that may not be repeated keeps its
// idempotency key through all of this.
package client
