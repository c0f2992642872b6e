package balance

import (
	"math"
	"time"
)

const (
	// firstEjection is how long a target is left out after its first failure in a
	// row; each further one doubles it.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// toleratedFaults is how many failures in a row a target that still answers
	// may have.
	toleratedFaults = 2
	// faultCost is added to the predicted time for a target that always fails.
	faultCost = 1500 * time.Millisecond
	// faultyShare is the part of its calls from which a target that fails them is
	// at fault itself.
	faultyShare = 0.3
	// faultSpan is the time in which a target that gets no calls is forgiven most
	// of its failures.
	faultSpan = 3 * time.Second
)

// Result is how a call at a target ended.
type Result int

// The results.
const (
	// Answered is a whole answer.
	Answered Result = iota
	// Failed is an answer that tells of a failure in the target.
	Failed
	// Refused is a refusal without running the call.
	Refused
	// Deferred is a refusal for a time that the target named.
	Deferred
	// Unreached means that no connection was made.
	Unreached
	// Silent means that the call was sent and no whole answer came.
	Silent
	// Abandoned means that the caller left, or the host gave up; it says nothing
	// of the target.
	Abandoned
)

// String returns the result's name.
func (r Result) String() string {
	return [...]string{"Answered", "Failed", "Refused", "Deferred", "Unreached", "Silent", "Abandoned"}[r]
}

// health is what the ends of calls say of a target.
type health struct {
	faults       float64 // share of calls that failed, as a running mean
	at           time.Time
	inRow        int
	ejectedUntil time.Time
	ejections    int
}

func (h *health) note(now time.Time, r Result) {
	if r == Abandoned || r == Deferred {
		return
	}
	h.faults, h.at = h.share(now), now
	switch r {
	case Answered:
		h.faults -= learnShare * h.faults
		h.inRow, h.ejections = 0, 0
		h.ejectedUntil = time.Time{}
		return
	case Abandoned, Deferred, Failed, Refused, Unreached, Silent:
	}
	h.faults += learnShare * (1 - h.faults)
	h.inRow++
	if r == Unreached || h.inRow > toleratedFaults {
		h.eject(now)
	}
}

// eject leaves the target out for a while, each time for twice as long.
func (h *health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 8), maxEjection))
	h.ejections++
}

func (h *health) out(now time.Time) bool { return now.Before(h.ejectedUntil) }

// share is the part of the target's calls that failed lately.
func (h *health) share(now time.Time) float64 {
	return h.faults * math.Exp(-float64(now.Sub(h.at))/float64(faultSpan))
}

// cost is added to the predicted time of a target that fails calls.
func (h *health) cost(now time.Time) time.Duration { return Scale(faultCost, h.share(now)) }
