package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// priorityClasses is the number of priority classes that hosts report separately: priority
// 0, and all others.
const priorityClasses = 2

// priorityClass returns the class of a priority.
func priorityClass(priority int) int { return min(priority, priorityClasses-1) }

// TargetShare is the load that one host's calls put on a target.
type TargetShare struct {
	Flights int
	// Backlog is the number of prompt tokens of calls without a first event, by priority
	// class.
	Backlog [priorityClasses]int
	// PauseMs is the recent mean pause between the events of streams, 0 if there is none.
	PauseMs int
	// BackoffMs is how much longer the target has asked the host to back off.
	BackoffMs int `cbor:"SpareMs"`
}

// MarshalCBOR encodes the share as a list of integers, to keep messages short: hosts send
// shares several times per second.
func (s TargetShare) MarshalCBOR() ([]byte, error) { return cbor.Marshal(s.values()) }

// UnmarshalCBOR decodes the list of integers.
func (s *TargetShare) UnmarshalCBOR(data []byte) error {
	values, err := unmarshalValues(data, shareFields)
	if err != nil {
		return err
	}
	*s = shareOf(values)
	return nil
}

// shareFields is the number of integers in an encoded TargetShare.
const shareFields = priorityClasses + 3

func (s TargetShare) values() []int {
	return []int{s.Flights, s.Backlog[0], s.Backlog[1], s.PauseMs, s.BackoffMs}
}

func shareOf(values []int) TargetShare {
	return TargetShare{Flights: values[0], Backlog: [priorityClasses]int{values[1], values[2]}, PauseMs: values[3], BackoffMs: values[4]}
}

// unmarshalValues decodes a list of n integers, none of them negative.
func unmarshalValues(data []byte, n int) ([]int, error) {
	var values []int
	if err := cbor.Unmarshal(data, &values); err != nil {
		return nil, err
	}
	if len(values) != n || slices.Min(values) < 0 {
		return nil, errors.Errorf("expected %d non-negative integers, got %v", n, values)
	}
	return values, nil
}

func (s TargetShare) backlog(priority int) int {
	if priority == 0 {
		return s.Backlog[0]
	}
	return s.Backlog[0] + s.Backlog[1]
}

// partKey is a hash of a part's ID. If two parts have the same key, the host is wrong about
// what a target has cached.
type partKey = uint32

func keyOf(p Part) partKey { return partKey(mix(p.ID)) }

// Share is the state that one host reports to the others of its region.
type Share struct {
	// Targets is the host's share of each target. It makes up for Change messages that were
	// lost. It is nil where targets have coordinators.
	Targets map[string]TargetShare `cbor:"1,keyasint"`
	// Totals is the load of all hosts' calls at each target that the host coordinates.
	Totals map[string]TargetShare `cbor:"2,keyasint,omitempty"`
	Flows  map[string]Flows       `cbor:"3,keyasint,omitempty"`
	// ReadRates are the reading rates of targets in prompt tokens per millisecond, by
	// service.
	ReadRates map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Limits are the limits of the targets that are assigned to the host.
	Limits []LimitReport `cbor:"5,keyasint,omitempty"`
	// Doubts are about targets whose process may have ended, and Statements are what cold
	// processes have said, as far as the host knows.
	Doubts     []Doubt     `cbor:"6,keyasint,omitempty"`
	Statements []Statement `cbor:"7,keyasint,omitempty"`
	// Unreached are targets that the host has no path to. They may have crashed, so hosts that have
	// just started have their processes confirmed first.
	Unreached []string `cbor:"8,keyasint,omitempty"`
	// Paces are the measured reading rates of the targets in Totals; see PacesOf.
	Paces []int `cbor:"9,keyasint,omitempty"`
}

// Share returns the state that the host reports periodically to the others of its region,
// in addition to its changes.
func (b *Balancer) Share(now time.Time) Share {
	s := Share{Flows: map[string]Flows{}, ReadRates: b.trustedReadRates(), Limits: b.ownedLimitReports(now), Doubts: b.sharedDoubts(), Statements: b.sharedStatements(now), Unreached: b.unreached(now)}
	for service, flows := range b.ownFlows {
		s.Flows[service] = flows.rates(now).rounded()
	}
	if b.Coordinated() {
		b.expirePaces(now)
		s.Totals = b.totals(now)
		s.Paces = b.PacesOf(now, slices.Collect(maps.Keys(s.Totals)))
		return s
	}
	s.Targets = map[string]TargetShare{}
	for id, t := range b.targets {
		if len(t.inFlight) > 0 || t.backsOff(now) {
			s.Targets[id] = t.ownShare(now)
		}
	}
	return s
}

// ownShare returns the load of this host's calls at the target.
func (t *target) ownShare(now time.Time) TargetShare {
	pause, _ := t.pauses.mean(now)
	share := TargetShare{Flights: len(t.inFlight), PauseMs: int(pause.Milliseconds()), BackoffMs: millisecondsLeft(now, t.backoffUntil)}
	for f := range t.inFlight {
		if !f.firstByteSeen {
			share.Backlog[priorityClass(f.work.Priority)] += f.unread
		}
	}
	return share
}

func (b *Balancer) trustedReadRates() map[string]float64 {
	out := map[string]float64{}
	for service, estimate := range b.readRates {
		if estimate.samples >= minTrustedSamples {
			out[service] = math.Round(estimate.rate)
		}
	}
	return out
}

// Merge records the share of another host.
func (b *Balancer) Merge(now time.Time, host string, s Share) {
	for _, d := range s.Doubts {
		b.ApplyDoubt(now, host, d)
	}
	for _, statement := range s.Statements {
		b.ApplyStatement(now, statement)
	}
	b.confirmUnreached(now, s.Unreached)
	b.mergeTargets(now, host, s)
	for service, rate := range s.ReadRates {
		if estimate := b.readRate(service); estimate.samples < minTrustedSamples {
			estimate.rate = min(max(rate, minReadRate), maxReadRate)
		}
	}
	b.peerFlows[host] = hostFlows{flows: s.Flows, updatedAt: now}
}

func (b *Balancer) mergeTargets(now time.Time, host string, s Share) {
	b.ApplyPaces(now, slices.Collect(maps.Keys(s.Totals)), s.Paces)
	for id, total := range s.Totals {
		if t := b.targets[id]; t != nil {
			t.regionTotal = hostShare{TargetShare: total, at: now, ttl: shareTTL}
			t.mergeBackoff(now, total)
		}
	}
	if s.Targets == nil {
		return
	}
	for id, t := range b.targets {
		if share, ok := s.Targets[id]; ok {
			t.peerShares[host] = hostShare{TargetShare: share, at: now, ttl: shareTTL}
			t.mergeBackoff(now, share)
		} else {
			delete(t.peerShares, host)
		}
		t.updateBusyPeriod(now)
	}
}

// rounded removes fractions, which other hosts do not need.
func (f Flows) rounded() Flows {
	return Flows{Started: math.Round(f.Started), Spilled: math.Round(f.Spilled), Received: math.Round(f.Received)}
}

// TargetDump is the host's state of a target, for operators.
type TargetDump struct {
	ID      string
	Service string
	Address string
	State   string
	Cold    bool
	InDoubt bool
	Usable  bool
	// PathDown is set if the host has no path to the target.
	PathDown   bool `json:",omitempty"`
	Ejected    bool
	BackingOff bool `json:"Spared"`
	Flights    int
	Backlog    int
	Rate       float64
	FaultRate  float64
	// Limit is nil if the target has none.
	Limit *LimitDump `json:",omitempty"`
}

// LimitDump is the host's state of a target's limit.
type LimitDump struct {
	PerSecond float64
	AgeMs     int64
	// From is the host that received the statement, empty for this one.
	From string
	// Owner is the host that grants calls to the target.
	Owner string
	// OwnPerSecond is the rate at which this host may send or grant calls, of SharesOf shares
	// in all, of which it has Shares.
	OwnPerSecond     float64
	Shares, SharesOf int
}

// Dump returns the host's state of its region's targets, ordered by ID.
func (b *Balancer) Dump(now time.Time) []TargetDump {
	out := make([]TargetDump, 0, len(b.targets))
	for _, t := range b.targets {
		d := TargetDump{
			ID: t.ID, Service: t.Service, Address: t.Address, State: t.State.String(), Cold: t.cold(now), InDoubt: t.doubt.number > 0,
			Usable: b.usable(now, t), PathDown: b.pathless(now, t), Ejected: t.health.ejected(now), BackingOff: t.backsOff(now) || t.peersBackOff(now), Flights: t.flightCount(now),
			Backlog: int(t.backlog(now, priorityClasses)), Rate: t.rate(), FaultRate: t.health.failureRate(now),
		}
		if t.limit.Limited {
			d.Limit = &LimitDump{
				PerSecond: t.limit.PerSecond, AgeMs: now.Sub(t.limit.receivedAt).Milliseconds(), From: t.limit.host, Owner: t.assigned.host,
				OwnPerSecond: b.quotaRate(now, t), Shares: b.shares(now, t), SharesOf: b.sharers(),
			}
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(x, y TargetDump) int { return cmp.Compare(x.ID, y.ID) })
	return out
}
