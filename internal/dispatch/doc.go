// Package dispatch owns the placement state of a host in one goroutine. Calls send
// typed messages to it over a bounded queue and wait for its decisions.
package dispatch
