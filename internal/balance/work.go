// Package balance decides where a call is sent: to a target in its own region, to another
// region, or nowhere, in which case it is refused. The decision rests on the predicted time
// to the first byte at each target, which is derived from the calls that the region's hosts
// have in flight there and from the speed measured so far. The package does no I/O and
// reads no clock.
package balance

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/continuation"
)

// Part is a piece of a prompt that targets cache.
type Part struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Work describes the load that a call puts on a target.
type Work struct {
	Service  string
	Priority int
	// Urgent calls may start while streams pause for longer, like calls of priority 0: calls of an urgent route,
	// whatever the priority of their workspace.
	Urgent bool
	// Tokens is the length of the prompt; 0 for calls without one.
	Tokens int
	// Parts are the pieces of the prompt in order. All but the last may be shared with the
	// prompts of other calls.
	Parts []Part
	// MaxGap is the longest acceptable pause between two events of the stream, 0 for calls
	// whose response is not a stream.
	MaxGap time.Duration
	// Key identifies the call. The hash of it spreads calls without shared parts over
	// regions.
	Key string
	// NoHold reports that the call must not be held back any longer.
	NoHold bool
	// NoLimited reports that the call must not be sent to a target with a limit.
	NoLimited bool
	// Detour reports that the call may be passed to a host of the region that has a path to targets
	// to which this host has none.
	Detour bool
	// Version is the software version at which a stream must go on, Unknown for any.
	Version continuation.Version
	// Young are versions that not all hosts may know yet. They begin streams only if there are no
	// targets of others.
	Young []continuation.Version
	// Loads are the loads that coordinators have just reported for this call, by target.
	Loads map[string]TargetLoad
	// Queried are the targets whose coordinators were queried for this call.
	Queried []string
}

// Load is the load that a target reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the current duration of a unit of work relative to the usual one.
	Slowdown float64
}

// Initial values, bounds and lifetimes of what a host learns about targets.
const (
	// initialReadRate is the prompt reading rate, in tokens per millisecond, that is
	// assumed before any target of the service has answered.
	initialReadRate = 40.0
	// initialDuration is the assumed duration of a call without a prompt before the first
	// response.
	initialDuration = 60 * time.Millisecond
	// firstByteOverhead is the time to the first event in addition to reading the prompt.
	firstByteOverhead = 15 * time.Millisecond
	// sampleWeight is the weight of a new sample in an exponential moving average.
	sampleWeight = 0.1
	// minSampleTokens is the shortest prompt from which the reading rate is measured.
	minSampleTokens = 2500
	minReadRate     = 2.0
	maxReadRate     = 400.0
	// loadTTL is how long a target's own load report is valid.
	loadTTL = 400 * time.Millisecond
	// shareTTL is how long the share reported by another host is valid.
	shareTTL = 1500 * time.Millisecond
	// changeTTL is how long a change reported to a target's coordinator is valid. It is
	// longer than RepeatInterval, after which the host reports again.
	changeTTL = 5 * time.Second
	// maxProgressShare is the largest share of the backlog reported by other hosts that is
	// assumed to have been read since the target last showed progress.
	maxProgressShare = 0.5
	// partTTL is how long a part is assumed to stay cached after its last use.
	partTTL = 30 * time.Second
	// maxParts limits the number of cached parts that are tracked per target.
	maxParts = 4096
	// initialFetchRate is the assumed rate, in tokens per millisecond, at which one target
	// fetches cached parts from another before the rate has been measured.
	initialFetchRate = 150.0
	maxFetchRate     = 2000.0
	// stallMinShare and stallFullShare are shares of the tokens that a target can read in
	// the longest acceptable pause. Streams begin to stall when it reads the first share
	// without a break, and all of them stall at the second.
	stallMinShare  = 0.25
	stallFullShare = 0.75
)
