// Package member decides which hosts of the fleet are in use. Each host sends heartbeats to
// a few successors on a hash ring of its data centre. A successor that misses them marks the
// host as suspect, which takes it out of use until it refutes the suspicion. Delegates exchange
// membership records between data centres. The package does no I/O.
package member
