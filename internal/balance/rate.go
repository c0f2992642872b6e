package balance

import (
	"math"
	"time"
)

// rateSpan is the time over which a flow is averaged: short against the ramps of
// a peak, long against the pause between two calls.
const rateSpan = 800 * time.Millisecond

// pauseSpan is the time over which the pauses between events are averaged.
const pauseSpan = time.Second

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

// pauses is the mean of the pauses between events, weighted towards the last
// second.
type pauses struct {
	sum    float64 // milliseconds
	weight float64
	at     time.Time
}

func (p *pauses) add(now time.Time, d time.Duration) {
	if !p.at.IsZero() {
		fade := math.Exp(-float64(now.Sub(p.at)) / float64(pauseSpan))
		p.sum *= fade
		p.weight *= fade
	}
	p.at = now
	p.sum += milliseconds(d)
	p.weight++
}

// mean returns the mean pause, and false when there was none lately.
func (p *pauses) mean(now time.Time) (time.Duration, bool) {
	if p.weight == 0 || now.Sub(p.at) > pauseSpan {
		return 0, false
	}
	return fromMilliseconds(p.sum / p.weight), true
}
