// Package dispatch is the duty that owns a host's placement state. Calls send
// it typed messages over a bounded ring and wait for its decisions.
package dispatch
