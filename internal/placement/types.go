package placement

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/affinity"
	"github.com/sequoiarack/sequoiarack/internal/core"
)

// Target is a model engine or an instance of a plain service, on which calls can be placed.
type Target struct {
	Name       string
	Service    string
	DataCentre string
	Address    string
	Slots      int
	Leaving    bool
}

// Call is a call to be placed on a target.
type Call struct {
	ID        uint64
	Service   string
	Workspace string
	Class     core.Class
	Tokens    float64 // expected length of the output
	Prefix    affinity.Prefix
	Arrived   time.Time
	Deadline  time.Time // latest time to be placed
	Avoid     []string  // names of targets that were tried before
	Isolated  bool      // suspected of crashing targets, so placed on an idle target without other calls
}

// Verdict is the kind of a Decision.
type Verdict int

// Verdicts of a Decision.
const (
	Granted Verdict = iota
	Queued
	Refused
)

// Decision is the outcome of placing a Call. A Queued decision is followed by a
// Granted or Refused one from Poll, unless the call is cancelled.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Target  Target
	// Isolated is set when no other call is placed on the target while this one runs.
	Isolated bool
	Refusal  *core.Refusal
}

// Load is a target's load report.
type Load struct {
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	Slots   int `json:"Slots"`
}

// Summary is the load of all usable targets of a service.
type Summary struct {
	Slots  int `json:"Slots"`
	Busy   int `json:"Busy"`
	Queued int `json:"Queued"`
	// WaitMs is the estimated time until all queued calls are placed.
	WaitMs int `json:"WaitMs"`
	Usable int `json:"Usable"`
}

// Sharing selects how several hosts share the slots of the same targets.
type Sharing int

// Sharing modes.
const (
	// TwoChoices compares two random targets by the host's own calls and the load reports.
	TwoChoices Sharing = iota
	// Exclusive counts the host's own calls, and only those calls of other hosts that
	// all recent load reports show. It suits a placing host, which places all calls
	// of a service in its region.
	Exclusive
	// Slices assigns each host an equal part of each target's slots.
	Slices
)
