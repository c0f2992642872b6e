// Package placement decides which target runs a call, and when. A Scheduler
// keeps one host's view of the targets in its region: the calls that the host
// has placed itself, the delayed load reports of the targets, and the latencies
// measured by calls. Its methods get values and the current time and return
// typed decisions. It does no I/O, reads no clock and uses only the random
// source passed in its Options.
package placement
