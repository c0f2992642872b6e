// Package placement decides which target runs a call, and when. A Scheduler
// holds what one host knows of the targets of its region: the calls that it has
// placed itself, the targets' late load reports, and what calls have seen of
// their speed. It takes values and the time and returns typed decisions; it
// does no I/O, reads no clock and uses only the random source that it is given.
package placement
