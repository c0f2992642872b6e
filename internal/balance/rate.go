package balance

import (
	"math"
	"time"
)

// rateSpan is the time over which a flow is averaged: short against the ramps of
// a peak, long against the pause between two calls.
const rateSpan = 800 * time.Millisecond

// flow is the rate of something that comes in portions, as a mean that forgets
// exponentially.
type flow struct {
	perSecond float64
	at        time.Time
}

// add counts a portion.
func (f *flow) add(now time.Time, amount float64) {
	f.decay(now)
	f.perSecond += amount / rateSpan.Seconds()
}

// rate returns the flow in units a second.
func (f *flow) rate(now time.Time) float64 {
	f.decay(now)
	return f.perSecond
}

func (f *flow) decay(now time.Time) {
	if !f.at.IsZero() {
		f.perSecond *= math.Exp(-float64(now.Sub(f.at)) / float64(rateSpan))
	}
	f.at = now
}
