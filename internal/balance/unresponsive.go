package balance

import "time"

// A target that goes dark takes calls and answers none of them, and a caller that waits
// for it learns that only when its time is over. But a target serves many streams at a
// time, and when all of them go silent it is more likely dark than slow.

const (
	// darkAfter is how long nothing comes on any stream of a target that is taken for dark:
	// several times a pause between events that is still good.
	darkAfter = 800 * time.Millisecond
	// minDarkStreams is how many streams must run there.
	minDarkStreams = 2
)

// dark reports whether all streams that the host has from the target have gone silent.
func (t *target) dark(now time.Time) bool {
	silent := 0
	for f := range t.flying {
		if f.eventAt.IsZero() {
			continue
		}
		if now.Sub(f.eventAt) < darkAfter {
			return false
		}
		silent++
	}
	return silent >= minDarkStreams
}
