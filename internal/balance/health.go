package balance

import (
	"math"
	"time"
)

const (
	// firstEjection is how long a target is ejected at first. Each further consecutive
	// ejection doubles the time.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// toleratedFailures is the number of consecutive failures that a reachable target may
	// have before it is ejected.
	toleratedFailures = 2
	// failurePenalty is added to the predicted time of a target that fails all calls.
	failurePenalty = 1500 * time.Millisecond
	// faultyFailureRate is the share of failed calls above which the target itself is
	// considered at fault.
	faultyFailureRate = 0.3
	// failureWindow is the time constant with which the failure rate of a target without
	// calls decays.
	failureWindow = 3 * time.Second
)

// Result is how a call at a target ended.
type Result int

// The results.
const (
	// Answered is a complete response.
	Answered Result = iota
	// Failed is a response that reports a failure of the target.
	Failed
	// Refused is a refusal without running the call.
	Refused
	// Deferred is a refusal with a time for which the target asks the host to back off.
	Deferred
	// Unreached means that no connection was made. It counts against the path to the target.
	Unreached
	// Silent means that the call was sent but no complete response arrived.
	Silent
	// Abandoned means that the caller disconnected or the host gave up. It does not count
	// for or against the target.
	Abandoned
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"Answered", "Failed", "Refused", "Deferred", "Unreached", "Silent", "Abandoned"}[r]
}

// health tracks the failures of a target.
type health struct {
	failedShare  float64 // share of failed calls at updatedAt, as an exponential moving average
	updatedAt    time.Time
	consecutive  int
	ejectedUntil time.Time
	ejections    int
}

func (h *health) record(now time.Time, r Result) {
	if r == Abandoned || r == Deferred || r == Unreached {
		return
	}
	h.failedShare, h.updatedAt = h.failureRate(now), now
	switch r {
	case Answered:
		h.failedShare -= sampleWeight * h.failedShare
		h.consecutive, h.ejections = 0, 0
		h.ejectedUntil = time.Time{}
		return
	case Abandoned, Deferred, Failed, Refused, Unreached, Silent:
	}
	h.failedShare += sampleWeight * (1 - h.failedShare)
	h.consecutive++
	if h.consecutive > toleratedFailures {
		h.eject(now)
	}
}

// eject excludes the target for a time that doubles with each ejection.
func (h *health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// failureRate returns the share of the target's recent calls that failed.
func (h *health) failureRate(now time.Time) float64 {
	return h.failedShare * math.Exp(-float64(now.Sub(h.updatedAt))/float64(failureWindow))
}

// penalty returns the time that is added to the prediction of a target that fails calls.
func (h *health) penalty(now time.Time) time.Duration {
	return Scale(failurePenalty, h.failureRate(now))
}
