package balance

import (
	"math"
	"time"
)

// rateSpan is the time over which a flow is averaged: short against the ramps of
// a peak, long against the pause between two calls.
const rateSpan = 800 * time.Millisecond

// readSpan is the time over which the reading of one target is averaged: several
// prompts of the usual length.
const readSpan = 2 * time.Second

// flow is the rate of something that comes in portions, as a mean that forgets
// exponentially.
type flow struct {
	span      time.Duration // over which it is averaged; zero stands for rateSpan
	perSecond float64
	at        time.Time
}

func (f *flow) over() time.Duration {
	if f.span > 0 {
		return f.span
	}
	return rateSpan
}

// add counts a portion.
func (f *flow) add(now time.Time, amount float64) {
	f.decay(now)
	f.perSecond += amount / f.over().Seconds()
}

// rate returns the flow in units a second.
func (f *flow) rate(now time.Time) float64 {
	f.decay(now)
	return f.perSecond
}

func (f *flow) decay(now time.Time) {
	if !f.at.IsZero() {
		f.perSecond *= math.Exp(-float64(now.Sub(f.at)) / float64(f.over()))
	}
	f.at = now
}

// pace is how fast the targets of a service read prompts, as the host has seen.
type pace struct {
	rate    float64 // tokens in a millisecond
	samples int
}

const (
	// quickSamples is how many samples a pace is the plain mean of, before it
	// begins to forget.
	quickSamples = 20
	// trustedSamples is how many samples make a pace worth telling, and one's own
	// better than what others tell.
	trustedSamples = 10
	minFactor      = 0.3
	maxFactor      = 1.5
)

func (p *pace) learn(sample float64) {
	p.samples++
	weight := max(learnShare/2, 1/float64(min(p.samples, quickSamples)+1))
	p.rate += weight * (sample - p.rate)
}
