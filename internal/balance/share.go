package balance

import (
	"math"
	"slices"
	"time"
)

// ranksTold is how many ranks are told apart between hosts: 0, and the others.
const ranksTold = 2

// TargetShare is what one host has at a target.
type TargetShare struct {
	Flights int `json:"F"`
	// Backlog are the tokens of prompts without a first event, by rank.
	Backlog [ranksTold]int `json:"B"`
	// PauseMs is the mean pause between the events of streams lately, 0 for none.
	PauseMs int `json:"P,omitempty"`
}

func (s TargetShare) backlog(rank int) int {
	if rank == 0 {
		return s.Backlog[0]
	}
	return s.Backlog[0] + s.Backlog[1]
}

// PartNote tells that a target has read a part of a prompt.
type PartNote struct {
	Target string `json:"T"`
	Part   uint64 `json:"P,string"`
}

// Share is what one host tells the others of its region.
type Share struct {
	Targets map[string]TargetShare `json:"Targets"`
	Parts   []PartNote             `json:"Parts,omitempty"`
	Flows   map[string]Flows       `json:"Flows,omitempty"`
	// Paces are the prompt tokens that targets read in a millisecond, by service.
	Paces map[string]float64 `json:"Paces,omitempty"`
}

// maxNotes bounds the parts that are told in one share.
const maxNotes = 24

// tell notes shared parts for the other hosts.
func (b *Book) tell(id string, w Work) {
	for i, p := range w.Parts {
		if i == len(w.Parts)-1 || len(b.fresh) >= maxNotes {
			return
		}
		note := PartNote{Target: id, Part: p.ID}
		if !slices.Contains(b.fresh, note) {
			b.fresh = append(b.fresh, note)
		}
	}
}

// Share returns what the host tells the others of its region, and forgets the
// parts that it told.
func (b *Book) Share(now time.Time) Share {
	s := Share{Targets: map[string]TargetShare{}, Parts: b.fresh, Flows: map[string]Flows{}}
	b.fresh = nil
	s.Paces = b.tellPaces()
	for service, flows := range b.own {
		s.Flows[service] = flows.now(now).rounded()
	}
	for id, t := range b.targets {
		if len(t.flying) == 0 {
			continue
		}
		pause, _ := t.pauses.mean(now)
		share := TargetShare{Flights: len(t.flying), PauseMs: int(pause.Milliseconds())}
		for f := range t.flying {
			if !f.first {
				share.Backlog[min(f.work.Rank, ranksTold-1)] += f.unread
			}
		}
		s.Targets[id] = share
	}
	return s
}

func (b *Book) tellPaces() map[string]float64 {
	out := map[string]float64{}
	for service, p := range b.paces {
		if p.samples >= trustedSamples {
			out[service] = math.Round(p.rate)
		}
	}
	return out
}

// Merge takes the share of another host.
func (b *Book) Merge(now time.Time, host string, s Share) {
	for id, t := range b.targets {
		if share, ok := s.Targets[id]; ok {
			t.shares[host] = hostShare{TargetShare: share, at: now}
		} else {
			delete(t.shares, host)
		}
	}
	for service, rate := range s.Paces {
		if p := b.pace(service); p.samples < trustedSamples {
			p.rate = min(max(rate, minRate), maxRate)
		}
	}
	b.others[host] = hostFlows{flows: s.Flows, at: now}
	for _, note := range s.Parts {
		if t := b.targets[note.Target]; t != nil && len(t.parts) < maxParts {
			t.parts[note.Part] = now
		}
	}
}

// Forget drops the share of a host that is no longer there.
func (b *Book) Forget(host string) {
	delete(b.others, host)
	for _, t := range b.targets {
		delete(t.shares, host)
	}
}

// rounded drops the fractions, which nobody needs to be told.
func (f Flows) rounded() Flows {
	return Flows{Begun: math.Round(f.Begun), Spilled: math.Round(f.Spilled), Received: math.Round(f.Received)}
}

// TargetDump is what a host believes of a target, for people.
type TargetDump struct {
	ID        string
	Service   string
	Address   string
	State     string
	Cold      bool
	Usable    bool
	Ejected   bool
	Flights   int
	Backlog   int
	Rate      float64
	FaultRate float64
}

// Dump returns what the host believes of its region's targets.
func (b *Book) Dump(now time.Time) []TargetDump {
	out := make([]TargetDump, 0, len(b.targets))
	for _, t := range b.targets {
		out = append(out, TargetDump{
			ID: t.ID, Service: t.Service, Address: t.Address, State: t.State.String(), Cold: now.Before(t.ColdUntil),
			Usable: b.usable(now, t), Ejected: t.health.out(now), Flights: t.flights(now),
			Backlog: int(t.backlog(now, ranksTold)), Rate: t.rate(), FaultRate: t.health.share(now),
		})
	}
	slices.SortFunc(out, func(x, y TargetDump) int { return compareText(x.ID, y.ID) })
	return out
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
