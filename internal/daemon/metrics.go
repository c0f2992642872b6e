package daemon

import (
	"expvar"
	"sync"
	"sync/atomic"
)

// metrics counts what a host does. They are read at /debug/vars of the host
// and, for a process with one host, in the variable "sequoiarack".
type metrics struct {
	vars     *expvar.Map
	outcomes *expvar.Map
	reasons  *expvar.Map
	forwards atomic.Uint64 // spreads forwarded calls over hosts
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
)
