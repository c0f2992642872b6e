// Package catalogue keeps what a host knows of the configuration, the targets
// and the evacuated data centres. Every piece of it has a revision of the
// platform's store, which orders the pieces at all hosts, however they came.
// Nothing in it is ever replaced by something older.
package catalogue

import "time"

// State says whether a target takes new calls.
type State int

// The states.
const (
	Ready State = iota
	Draining
)

// String returns the state's name.
func (s State) String() string { return [...]string{"Ready", "Draining"}[s] }

// Report is what a target says of itself in the store.
type Report struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	State      State
	// ColdRemaining is how much longer the target is slow after its start.
	ColdRemaining time.Duration
	// RemainingLifetime is how long the target stays; zero when it has not said.
	RemainingLifetime time.Duration
	// StartUnixMs is the Unix millisecond of the target's start, 0 if it has not said.
	StartUnixMs int64
	// Sequence rises with each report since the start.
	Sequence int64
}

// saysMoreThan reports whether the report says more than that all is as it was at
// an older one. A cold target warms up, so that each of its reports does.
func (r Report) saysMoreThan(old Report) bool {
	r.Sequence = old.Sequence
	return r != old || r.ColdRemaining > 0
}

// Target is a target as the host knows it.
type Target struct {
	Report
	Region string
	// Incarnation names the target's process: its ID and its start.
	Incarnation string
	// ColdUntil is when the target is no longer cold.
	ColdUntil time.Time
	// MissingSince is when the store came back without the target's entry, zero while
	// the entry is there.
	MissingSince time.Time
}

// Kind sorts what entries of the store say.
type Kind int

// The kinds.
const (
	// Ignored is an entry that is of no concern.
	Ignored Kind = iota
	Configuration
	TargetReport
	Evacuation
)
