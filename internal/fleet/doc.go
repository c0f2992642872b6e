// Package fleet runs a whole deployment in one process: entry hosts, and stand-ins
// for the targets, the store and the platform. They use loopback addresses and a
// simulated network whose links between regions can be cut. The demo, the
// benchmarks and the tests use it.
package fleet
