package placement

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/affinity"
	"github.com/sequoiarack/sequoiarack/internal/core"
)

// Target is a replica that calls can be placed on.
type Target struct {
	Name       string
	Service    string
	DataCentre string
	Address    string
	Slots      int
	Leaving    bool
}

// Call is a call that wants a target.
type Call struct {
	ID        uint64
	Service   string
	Workspace string
	Class     core.Class
	Tokens    float64 // expected output
	Prefix    affinity.Prefix
	Arrived   time.Time
	Deadline  time.Time // of the wait
	Avoid     []string  // targets that the call was at before
	Isolated  bool      // the call is suspected of ending targets
}

// Verdict is the kind of a Decision.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	Queued
	Refused
)

// Decision answers an Ask. A Queued one is followed by a Granted or Refused one.
type Decision struct {
	ID      uint64
	Verdict Verdict
	Target  Target
	// Isolated is set when nothing else is placed on the target meanwhile.
	Isolated bool
	Refusal  *core.Refusal
}

// Load is a target's report of itself.
type Load struct {
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	Slots   int `json:"Slots"`
}

// Summary tells how busy the targets of a service are.
type Summary struct {
	Slots  int `json:"Slots"`
	Busy   int `json:"Busy"`
	Queued int `json:"Queued"`
	// WaitMs is the wait that a short call can expect now.
	WaitMs int `json:"WaitMs"`
	Usable int `json:"Usable"`
}

// Sharing is the way in which several hosts use the same targets.
type Sharing int

// The ways of sharing.
const (
	// TwoChoices compares two random targets by reported load and own calls.
	TwoChoices Sharing = iota
	// Exclusive takes the host's own calls for all there are, as they are
	// where one host places the calls of its data centre.
	Exclusive
	// Slices gives each host an equal part of each target's slots.
	Slices
)
