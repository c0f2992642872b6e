package balance

import "time"

const (
	// coldRateShare is the share of a cold target's rate that its one sender uses. The
	// margin is for times at which two hosts both consider themselves the sender.
	coldRateShare = 0.75
	// minColdInterval is the shortest interval between two calls to a cold target.
	minColdInterval = 100 * time.Millisecond
)

// coldLimiter limits the rate of calls to a cold target.
type coldLimiter struct{ nextAt time.Time }

// allows reports whether a call may be sent to the cold target now.
func (l *coldLimiter) allows(now time.Time) bool { return !now.Before(l.nextAt) }

func (l *coldLimiter) record(now time.Time, perSecond float64) {
	interval := minColdInterval
	if perSecond > 0 {
		interval = max(interval, time.Duration(float64(time.Second)/(perSecond*coldRateShare)))
	}
	l.nextAt = now.Add(interval)
}
