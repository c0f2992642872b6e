package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ranksTold is how many ranks are told apart between hosts: 0, and the others.
const ranksTold = 2

// TargetShare is what one host has at a target.
type TargetShare struct {
	Flights int
	// Backlog are the tokens of prompts without a first event, by rank.
	Backlog [ranksTold]int
	// PauseMs is the mean pause between the events of streams lately, 0 for none.
	PauseMs int
	// SpareMs is for how much longer the target wants nothing from the host.
	BackoffMs int `cbor:"SpareMs"`
}

// MarshalCBOR writes the figures as a list, as shares go out several times a second.
func (s TargetShare) MarshalCBOR() ([]byte, error) { return cbor.Marshal(s.ints()) }

// UnmarshalCBOR reads the list of figures.
func (s *TargetShare) UnmarshalCBOR(data []byte) error {
	list, err := unmarshalInts(data, shareFigures)
	if err != nil {
		return err
	}
	*s = shareOf(list)
	return nil
}

// shareFigures is how many figures a TargetShare has.
const shareFigures = ranksTold + 3

func (s TargetShare) ints() []int {
	return []int{s.Flights, s.Backlog[0], s.Backlog[1], s.PauseMs, s.BackoffMs}
}

func shareOf(list []int) TargetShare {
	return TargetShare{Flights: list[0], Backlog: [ranksTold]int{list[1], list[2]}, PauseMs: list[3], BackoffMs: list[4]}
}

// unmarshalInts reads a list of n figures, none of them negative.
func unmarshalInts(data []byte, n int) ([]int, error) {
	var list []int
	if err := cbor.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	if len(list) != n || slices.Min(list) < 0 {
		return nil, errors.Errorf("expected %d figures, got %v", n, list)
	}
	return list, nil
}

func (s TargetShare) backlog(rank int) int {
	if rank == 0 {
		return s.Backlog[0]
	}
	return s.Backlog[0] + s.Backlog[1]
}

// partKey stands for the ID of a part. Two parts with one key cost a wrong guess
// of what a target keeps.
type partKey = uint32

func keyOf(p Part) partKey { return partKey(mix(p.ID)) }

// Share is what one host tells the others of its region.
type Share struct {
	// Targets is what the host has at each target, which makes up for changes that
	// were lost. It is nil where targets have coordinators.
	Targets map[string]TargetShare `cbor:"1,keyasint"`
	// Totals is what all hosts have at the targets that the host coordinates.
	Totals map[string]TargetShare `cbor:"2,keyasint,omitempty"`
	Flows  map[string]Flows       `cbor:"3,keyasint,omitempty"`
	// Paces are the prompt tokens that targets read in a millisecond, by service.
	Paces map[string]float64 `cbor:"4,keyasint,omitempty"`
}

// Share returns what the host tells the others of its region now and then, beside
// its changes.
func (b *Balancer) Share(now time.Time) Share {
	s := Share{Flows: map[string]Flows{}, Paces: b.tellPaces()}
	for service, flows := range b.own {
		s.Flows[service] = flows.now(now).rounded()
	}
	if b.Coordinated() {
		s.Totals = b.totals(now)
		return s
	}
	s.Targets = map[string]TargetShare{}
	for id, t := range b.targets {
		if len(t.flying) > 0 || t.refuses(now) {
			s.Targets[id] = t.own(now)
		}
	}
	return s
}

// own is what the host itself has at the target.
func (t *target) own(now time.Time) TargetShare {
	pause, _ := t.pauses.mean(now)
	share := TargetShare{Flights: len(t.flying), PauseMs: int(pause.Milliseconds()), BackoffMs: millisecondsLeft(now, t.refusesUntil)}
	for f := range t.flying {
		if !f.first {
			share.Backlog[min(f.work.Priority, ranksTold-1)] += f.unread
		}
	}
	return share
}

func (b *Balancer) tellPaces() map[string]float64 {
	out := map[string]float64{}
	for service, p := range b.paces {
		if p.samples >= trustedSamples {
			out[service] = math.Round(p.rate)
		}
	}
	return out
}

// Merge takes the share of another host.
func (b *Balancer) Merge(now time.Time, host string, s Share) {
	b.mergeTargets(now, host, s)
	for service, rate := range s.Paces {
		if p := b.pace(service); p.samples < trustedSamples {
			p.rate = min(max(rate, minRate), maxRate)
		}
	}
	b.others[host] = hostFlows{flows: s.Flows, at: now}
}

func (b *Balancer) mergeTargets(now time.Time, host string, s Share) {
	for id, total := range s.Totals {
		if t := b.targets[id]; t != nil {
			t.total = hostShare{TargetShare: total, at: now, age: shareAge}
			t.takeSpare(now, total)
		}
	}
	if s.Targets == nil {
		return
	}
	for id, t := range b.targets {
		if share, ok := s.Targets[id]; ok {
			t.shares[host] = hostShare{TargetShare: share, at: now, age: shareAge}
			t.takeSpare(now, share)
		} else {
			delete(t.shares, host)
		}
		t.noteSpell(now)
	}
}

// rounded drops the fractions, which nobody needs to be told.
func (f Flows) rounded() Flows {
	return Flows{Started: math.Round(f.Started), Spilled: math.Round(f.Spilled), Received: math.Round(f.Received)}
}

// TargetDump is what a host believes of a target, for people.
type TargetDump struct {
	ID         string
	Service    string
	Address    string
	State      string
	Cold       bool
	Usable     bool
	Ejected    bool
	BackingOff bool `json:"Spared"`
	Flights    int
	Backlog    int
	Rate       float64
	FaultRate  float64
}

// Dump returns what the host believes of its region's targets.
func (b *Balancer) Dump(now time.Time) []TargetDump {
	out := make([]TargetDump, 0, len(b.targets))
	for _, t := range b.targets {
		out = append(out, TargetDump{
			ID: t.ID, Service: t.Service, Address: t.Address, State: t.State.String(), Cold: now.Before(t.ColdUntil),
			Usable: b.usable(now, t), Ejected: t.health.out(now), BackingOff: t.refuses(now) || t.spared(now), Flights: t.flights(now),
			Backlog: int(t.backlog(now, ranksTold)), Rate: t.rate(), FaultRate: t.health.share(now),
		})
	}
	slices.SortFunc(out, func(x, y TargetDump) int { return cmp.Compare(x.ID, y.ID) })
	return out
}
