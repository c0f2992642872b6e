// Package hedge decides when a call whose first token is late is tried at a
// second target. The package does no I/O.
package hedge

import (
	"math"
	"time"
)

const (
	decay      = 0.02
	deviations = 4.0 // above the mean, for a first token to be late
	minSamples = 30
)

// Estimator learns how long first tokens of a service take. Its owner is one
// goroutine.
type Estimator struct {
	mean     float64 // seconds
	variance float64
	samples  int
}

// Observe takes the time to a first token.
func (e *Estimator) Observe(d time.Duration) {
	sample := d.Seconds()
	if e.samples == 0 {
		e.mean = sample
	}
	e.samples++
	weight := max(decay, 1/float64(e.samples))
	difference := sample - e.mean
	e.mean += weight * difference
	e.variance = (1 - weight) * (e.variance + weight*difference*difference)
}

// Delay returns how long to wait for a first token before the call is tried
// elsewhere: until it is clearly late, and never beyond half of the budget.
func (e *Estimator) Delay(budget time.Duration) time.Duration {
	const half = 2
	limit := budget / half
	if e.samples < minSamples {
		return limit
	}
	late := time.Duration((e.mean + deviations*math.Sqrt(e.variance)) * float64(time.Second))
	return min(late, limit)
}
