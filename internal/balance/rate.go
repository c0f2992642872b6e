package balance

import (
	"math"
	"time"
)

// rateWindow is the time constant of averaged rates: short compared with the ramp of a load
// peak, long compared with the interval between two calls.
const rateWindow = 800 * time.Millisecond

// pauseWindow is the time constant of the mean pause between events.
const pauseWindow = time.Second

// rateMeter measures the rate of discrete amounts as an exponentially decaying average.
type rateMeter struct {
	perSecond float64
	updatedAt time.Time
}

// add records an amount.
func (m *rateMeter) add(now time.Time, amount float64) {
	m.decay(now)
	m.perSecond += amount / rateWindow.Seconds()
}

// rate returns the rate in units per second.
func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	return m.perSecond
}

func (m *rateMeter) decay(now time.Time) {
	if !m.updatedAt.IsZero() {
		m.perSecond *= math.Exp(-float64(now.Sub(m.updatedAt)) / float64(rateWindow))
	}
	m.updatedAt = now
}

// rateEstimate is the measured rate at which the targets of a service read or fetch
// prompts.
type rateEstimate struct {
	rate    float64 // tokens per millisecond
	samples int
}

const (
	// warmUpSamples is the number of samples up to which the estimate is a plain mean;
	// after that old samples lose weight.
	warmUpSamples = 20
	// minTrustedSamples is the number of samples from which an estimate is reported to
	// other hosts, and from which a host prefers its own estimate to reported ones.
	minTrustedSamples = 10
	minRateFactor     = 0.3
	maxRateFactor     = 1.5
)

func (e *rateEstimate) add(sample float64) {
	e.samples++
	weight := max(sampleWeight/2, 1/float64(min(e.samples, warmUpSamples)+1))
	e.rate += weight * (sample - e.rate)
}

// pauseMean is the mean of the pauses between events, weighted towards the last second.
type pauseMean struct {
	sum       float64 // milliseconds
	weight    float64
	updatedAt time.Time
}

func (p *pauseMean) add(now time.Time, d time.Duration) {
	if !p.updatedAt.IsZero() {
		decay := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(pauseWindow))
		p.sum *= decay
		p.weight *= decay
	}
	p.updatedAt = now
	p.sum += milliseconds(d)
	p.weight++
}

// mean returns the mean pause, or false if there was none within pauseWindow.
func (p *pauseMean) mean(now time.Time) (time.Duration, bool) {
	if p.weight == 0 || now.Sub(p.updatedAt) > pauseWindow {
		return 0, false
	}
	return fromMilliseconds(p.sum / p.weight), true
}
