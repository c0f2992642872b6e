package balance

import "time"

const (
	// coldShare is the part of a cold target's rate that its one sender uses. Two
	// hosts that both take themselves for the sender stay within the rate.
	coldShare = 0.75
	// minColdGap bounds the pause between two calls to a cold target from below.
	minColdGap = 100 * time.Millisecond
)

// coldBudget spaces out the calls to a cold target.
type coldBudget struct{ next time.Time }

// allows reports whether a call may go to the cold target now.
func (c *coldBudget) allows(now time.Time) bool { return !now.Before(c.next) }

func (c *coldBudget) spend(now time.Time, perSecond float64) {
	gap := minColdGap
	if perSecond > 0 {
		gap = max(gap, time.Duration(float64(time.Second)/(perSecond*coldShare)))
	}
	c.next = now.Add(gap)
}
