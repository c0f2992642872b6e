// Package fleet starts a whole deployment in one process: entry hosts, targets
// and the platform's stand-ins, on loopback addresses, joined by a network
// whose links can be cut. The demo, the bench and the tests use it.
package fleet
