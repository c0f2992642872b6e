package balance

import (
	"slices"
	"time"
)

// pace returns how fast a service's targets read prompts.
func (b *Balancer) pace(service string) *pace { return paceOf(b.paces, service, initialRate) }

// fetchPace returns how fast a service's targets fetch from one another what they keep.
func (b *Balancer) fetchPace(service string) *pace {
	return paceOf(b.fetches, service, initialFetchRate)
}

func paceOf(paces map[string]*pace, service string, initial float64) *pace {
	p := paces[service]
	if p == nil {
		p = &pace{rate: initial}
		paces[service] = p
	}
	return p
}

func (b *Balancer) flows(service string) *serviceFlows {
	f := b.own[service]
	if f == nil {
		f = &serviceFlows{}
		b.own[service] = f
	}
	return f
}

// regionFlows sums the flows of all hosts of the region.
func (b *Balancer) regionFlows(now time.Time, service string) Flows {
	sum := b.flows(service).now(now)
	for _, o := range b.others {
		if now.Sub(o.at) < shareAge {
			sum = sum.plus(o.flows[service])
		}
	}
	return sum
}

// Spilled counts a call that was sent away for want of capacity, Received one
// that came for that reason.
func (b *Balancer) CountSpilled(now time.Time, w Work) {
	b.flows(w.Service).spilled.add(now, b.size(w))
}

// Received counts a call that came from another region for want of capacity.
func (b *Balancer) CountReceived(now time.Time, w Work) {
	b.flows(w.Service).received.add(now, b.size(w))
}

// size is the work of a call before its target is known, in the units of the
// flows: tokens to read, or milliseconds.
func (b *Balancer) size(w Work) float64 {
	if w.Tokens > 0 {
		return float64(w.Tokens) * unreadShare
	}
	return milliseconds(initialSpan)
}

// unreadShare is the part of a prompt that targets usually have to read.
const unreadShare = 0.7

// slotLevel is the part of its capacity that a region is taken to use whose targets have
// all their slots in use. Streams hold slots long after their prompts are read.
const slotLevel = 0.5

// Basin returns the region's demand and capacity for a service.
func (b *Balancer) RegionLoad(now time.Time, service string) RegionLoad {
	flows := b.regionFlows(now, service)
	out := RegionLoad{Region: b.region, Demand: flows.Demand()}
	flights, slots := 0, 0
	for _, t := range b.services[service] {
		if b.usable(now, t) && !t.health.out(now) {
			out.Capacity += t.capacity()
			out.Targets++
			flights += t.flights(now)
			slots += max(1, t.Slots)
		}
	}
	if used := slotLevel * out.Capacity * float64(flights) / float64(max(1, slots)); flows.Started > 0 && used > flows.Started {
		out.Demand *= used / flows.Started
	}
	return out
}

// ServiceState is what a region can do for a service.
type ServiceState struct {
	Targets int `cbor:"1,keyasint"`
	// WaitMs are the waits for calls of rank 0 and of the others.
	WaitMs [2]int `cbor:"2,keyasint"`
	// Rate is the prompt tokens that all targets read in a millisecond.
	Rate int `cbor:"3,keyasint"`
	// SpanMs is the time of a call without a prompt.
	DurationMs int `cbor:"4,keyasint"`
	// PauseMs is the mean pause between the events of streams.
	PauseMs int `cbor:"5,keyasint"`
	// Demand and Capacity are in units of work a second.
	Demand   int `cbor:"6,keyasint"`
	Capacity int `cbor:"7,keyasint"`
}

// States returns what the region can do for each service.
func (b *Balancer) States(now time.Time) map[string]ServiceState {
	services := map[string][]*target{}
	for _, t := range b.targets {
		if b.usable(now, t) && !t.health.out(now) {
			services[t.Service] = append(services[t.Service], t)
		}
	}
	out := map[string]ServiceState{}
	for name, list := range services {
		out[name] = b.state(now, list)
	}
	return out
}

func (b *Balancer) state(now time.Time, list []*target) ServiceState {
	s := ServiceState{Targets: len(list)}
	var spans time.Duration
	rate := 0.0
	for _, t := range list {
		spans += t.span
		rate += t.effectiveRate(now)
	}
	s.PauseMs = int(meanPause(now, list).Milliseconds())
	for rank := range s.WaitMs {
		waits := make([]time.Duration, 0, len(list))
		for _, t := range list {
			waits = append(waits, t.view(now, Work{Priority: rank, Tokens: 1}).predict(now, Work{Priority: rank, Tokens: 1}).Wait)
		}
		slices.Sort(waits)
		s.WaitMs[rank] = int(waits[(len(waits)-1)/3].Milliseconds())
	}
	basin := b.RegionLoad(now, list[0].Service)
	s.Demand, s.Capacity = int(basin.Demand), int(basin.Capacity)
	s.Rate = int(rate)
	s.DurationMs = int((spans / time.Duration(len(list))).Milliseconds())
	return s
}
