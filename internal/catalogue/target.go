// Package catalogue holds a host's copy of the configuration, the targets and the
// evacuated data centres. Every entry carries a revision of the platform's store. The
// revision orders changes in the same way at all hosts, whether a host read them from the
// store or received them from another host. An older revision never replaces a newer one.
package catalogue

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/continuation"
)

// State is whether a target accepts new calls.
type State int

// The states.
const (
	Ready State = iota
	Draining
)

// String returns the state's name.
func (s State) String() string { return [...]string{"Ready", "Draining"}[s] }

// Report is the state that a target publishes in the store.
type Report struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	State      State
	// Software is the version of the target's software: any text, without an order. What targets
	// of two versions write does not fit together.
	Software string
	// ColdRemaining is how much longer the target is slow after its start.
	ColdRemaining time.Duration
	// RemainingLifetime is how long the target keeps running; zero if unknown.
	RemainingLifetime time.Duration
	// StartUnixMs is when the target started, in Unix milliseconds; zero if unknown.
	StartUnixMs int64
	// Sequence increases with each report since the start.
	Sequence int64
}

// Version returns the software version of the target within its service.
func (r Report) Version() continuation.Version { return continuation.VersionOf(r.Service, r.Software) }

// isUpdateOf reports whether the report brings information that the older one did not
// have. Reports of a cold target always do, because its remaining cold time changes.
func (r Report) isUpdateOf(old Report) bool {
	r.Sequence = old.Sequence
	return r != old || r.ColdRemaining > 0
}

// isOlderThan reports whether the other report comes from a later start of the target, or was
// written later by the same process.
func (r Report) isOlderThan(other Report) bool {
	return r.StartUnixMs < other.StartUnixMs || (r.StartUnixMs == other.StartUnixMs && r.Sequence < other.Sequence)
}

// Target is the state of a target at this host.
type Target struct {
	Report
	Region string
	// Incarnation identifies the target's process by its ID and start time.
	Incarnation string
	// ColdUntil is when the target stops being cold.
	ColdUntil time.Time
	// coldRevision is the revision at which the end of an evacuation made the target cold. Hosts
	// may receive reports of before it later.
	coldRevision int64
	// MissingSince is when the store recovered from an outage in which the target's entry
	// expired; zero while the entry exists.
	MissingSince time.Time
}

// Kind is the kind of an entry of the store.
type Kind int

// The kinds.
const (
	// Ignored is an entry that this product does not use.
	Ignored Kind = iota
	Configuration
	TargetReport
	Evacuation
)
