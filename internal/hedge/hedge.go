// Package hedge decides when a call whose first token is late is also sent to a
// second target. The package does no I/O.
package hedge

import (
	"math"
	"time"
)

const (
	minSampleWeight = 0.02 // of a new sample in mean and variance
	lateDeviations  = 4.0  // standard deviations above the mean from which a first token is late
	minSamples      = 30   // before the estimate is used
)

// Estimator estimates the distribution of a service's time to first token. It is not
// safe for concurrent use.
type Estimator struct {
	mean     float64 // seconds
	variance float64 // seconds squared
	samples  int
}

// Observe records the time to first token of a call.
func (e *Estimator) Observe(d time.Duration) {
	sample := d.Seconds()
	if e.samples == 0 {
		e.mean = sample
	}
	e.samples++
	weight := max(minSampleWeight, 1/float64(e.samples))
	difference := sample - e.mean
	e.mean += weight * difference
	e.variance = (1 - weight) * (e.variance + weight*difference*difference)
}

// Delay returns how long to wait for the first token before a call is sent to a second
// target: lateDeviations above the mean, but at most half of the budget.
func (e *Estimator) Delay(budget time.Duration) time.Duration {
	const half = 2
	limit := budget / half
	if e.samples < minSamples {
		return limit
	}
	late := time.Duration((e.mean + lateDeviations*math.Sqrt(e.variance)) * float64(time.Second))
	return min(late, limit)
}
