package daemon

import (
	"expvar"
	"sync"
	"sync/atomic"
)

// metrics holds the counters of a host, which /debug/vars serves. The first host of
// a process also publishes them as the expvar variable "sequoiarack".
type metrics struct {
	vars     *expvar.Map
	outcomes *expvar.Map
	reasons  *expvar.Map
	forwards atomic.Uint64 // selects the host for the next forwarded call
}

var publishOnce sync.Once

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), reasons: new(expvar.Map).Init()}
	m.vars.Set("Outcomes", m.outcomes)
	m.vars.Set("Refusals", m.reasons)
	publishOnce.Do(func() { expvar.Publish("sequoiarack", m.vars) })
	return m
}

func (m *metrics) add(name string, n int64) { m.vars.Add(name, n) }

// Names of the counters.
const (
	countCalls     = "Calls"
	countForwarded = "ForwardedCalls"
	countReceived  = "ReceivedCalls"
	countRetries   = "Retries"
	countHedges    = "Hedges"
	countHedgeWins = "HedgeWins"
	countResumes   = "ResumedStreams"
	countBroken    = "BrokenStreams"
	countHangUps   = "HangUps"
	countEvents    = "StreamEvents"
	countReplays   = "ReplayedAnswers"
	countMalformed = "MalformedResponses"

	countMemoryRefusals = "MemoryRefusals"
	countEndedUploads   = "EndedUploads"
	countClosedConns    = "ClosedConnections"
)
