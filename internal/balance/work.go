// Package balance decides where a call goes: to a target of the own region, to
// another region, or nowhere. It predicts the time to the first byte at each
// target from what the region's hosts have sent there and what the target has
// shown so far. The package does no I/O and reads no clock.
package balance

import "time"

// Part is a piece of a prompt that targets keep in memory.
type Part struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Work is what a call asks of a target.
type Work struct {
	Service  string
	Priority int
	// Tokens is the length of the prompt; 0 for calls without one.
	Tokens int
	// Parts are the pieces of the prompt in order.
	Parts []Part
	// Gap is the longest pause between two events that is still good, zero for
	// calls that are no streams.
	MaxGap time.Duration
	// Key differs from call to call.
	Key string
	// Pressed tells that the call is not to be held back any more.
	NoHold bool
	// Said is what coordinators have just said of targets for this call, by target.
	Loads map[string]TargetLoad
}

// Load is what a target says of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the time that work takes now over the usual time.
	Slowdown float64
}

// Limits of what is believed.
const (
	// initialRate is the prompt reading rate, in tokens per millisecond, that is
	// taken for a target before it has answered.
	initialRate = 40.0
	// initialSpan is the time of a call without a prompt before any answer.
	initialSpan = 60 * time.Millisecond
	// baseSpan is the time to a first event beyond reading the prompt.
	baseSpan = 15 * time.Millisecond
	// learnShare is the weight of a new sample in a mean.
	learnShare = 0.1
	// minSampleTokens is the shortest prompt that says something of the rate.
	minSampleTokens = 2500
	minRate         = 2.0
	maxRate         = 400.0
	// loadAge is how long a target's own report of its load is believed.
	loadAge = 400 * time.Millisecond
	// shareAge is how long the share of another host is believed.
	shareAge = 1500 * time.Millisecond
	// changeAge is how long a host's word on one target is believed that it gives to
	// the target's coordinator at each change: longer than RepeatPause, after which it
	// says it again.
	changeAge = 5 * time.Second
	// readOnShare is the most of the told prompts that a coordinator takes for read
	// since a target last showed that it reads.
	readOnShare = 0.5
	// partAge is how long a part is taken to be kept after its last use.
	partAge = 30 * time.Second
	// maxParts bounds the parts that are remembered for a target.
	maxParts = 4096
	// initialFetchRate is the tokens that one target fetches from another in a
	// millisecond before it was seen.
	initialFetchRate = 150.0
	maxFetchRate     = 2000.0
	// stallFrom and stallFull are the parts of what a target reads in the longest
	// good pause at which streams begin to stall, and surely do.
	stallFrom = 0.25
	stallFull = 0.75
)
