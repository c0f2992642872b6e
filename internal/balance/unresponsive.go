package balance

import "time"

// An unresponsive target accepts calls but answers none of them, and a caller that waits
// for it learns of that only at its deadline. A target serves many streams at a time,
// however, and when all of them stop it is more likely unresponsive than slow.

const (
	// unresponsiveAfter is how long all streams of a target must bring no event for it to
	// count as unresponsive. It is several times the longest acceptable pause between
	// events.
	unresponsiveAfter = 800 * time.Millisecond
	// minSilentStreams is the smallest number of such streams.
	minSilentStreams = 2
)

// unresponsive reports whether all streams of this host from the target have stopped.
func (t *target) unresponsive(now time.Time) bool {
	silent := 0
	for f := range t.inFlight {
		if f.lastEventAt.IsZero() {
			continue
		}
		if now.Sub(f.lastEventAt) < unresponsiveAfter {
			return false
		}
		silent++
	}
	return silent >= minSilentStreams
}
