// Package member decides which hosts of the fleet are in use. Each host sends
// heartbeats to a few successors on a ring of its data centre; a successor that
// misses them suspects the host, which is out of use from then on and may
// refute. Delegates carry the facts between data centres. The package does no
// I/O.
package member
