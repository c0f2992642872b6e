// Package client is the Go client of the gateway for callers. It discovers the
// hosts of a fleet, nearest first, and retries a call at another host only if the
// call is known not to have run. All attempts of a call carry the same
// idempotency key.
package client
