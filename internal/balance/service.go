package balance

import (
	"slices"
	"time"
)

// readRate returns the estimated rate at which a service's targets read prompts.
func (b *Balancer) readRate(service string) *rateEstimate {
	return estimateFor(b.readRates, service, initialReadRate)
}

// fetchRate returns the estimated rate at which a service's targets fetch cached parts from
// one another.
func (b *Balancer) fetchRate(service string) *rateEstimate {
	return estimateFor(b.fetchRates, service, initialFetchRate)
}

func estimateFor(estimates map[string]*rateEstimate, service string, initial float64) *rateEstimate {
	estimate := estimates[service]
	if estimate == nil {
		estimate = &rateEstimate{rate: initial}
		estimates[service] = estimate
	}
	return estimate
}

func (b *Balancer) flows(service string) *serviceFlows {
	f := b.ownFlows[service]
	if f == nil {
		f = &serviceFlows{}
		b.ownFlows[service] = f
	}
	return f
}

// regionFlows returns the sum of the flows of all hosts of the region.
func (b *Balancer) regionFlows(now time.Time, service string) Flows {
	sum := b.flows(service).rates(now)
	for _, o := range b.peerFlows {
		if now.Sub(o.updatedAt) < shareTTL {
			sum = sum.plus(o.flows[service])
		}
	}
	return sum
}

// CountSpilled records a call that was sent to another region for lack of capacity.
func (b *Balancer) CountSpilled(now time.Time, w Work) {
	b.flows(w.Service).spilled.add(now, b.estimateWork(w))
}

// CountReceived records a call that another region sent for lack of capacity.
func (b *Balancer) CountReceived(now time.Time, w Work) {
	b.flows(w.Service).received.add(now, b.estimateWork(w))
}

// estimateWork returns the work of a call before its target is known, in the units of
// Flows: tokens to read for calls with a prompt, else milliseconds.
func (b *Balancer) estimateWork(w Work) float64 {
	if w.Tokens > 0 {
		return float64(w.Tokens) * typicalUnreadShare
	}
	return milliseconds(initialDuration)
}

// typicalUnreadShare is the share of a prompt that targets usually have to read.
const typicalUnreadShare = 0.7

// fullSlotsLevel is the share of its capacity that a region is assumed to use when all
// slots of its targets are taken. Streams occupy slots long after their prompts have been
// read.
const fullSlotsLevel = 0.5

// RegionLoad returns the region's demand and capacity for a service.
func (b *Balancer) RegionLoad(now time.Time, service string) RegionLoad {
	flows := b.regionFlows(now, service)
	out := RegionLoad{Region: b.region, Demand: flows.Demand()}
	flights, slots := 0, 0
	for _, t := range b.services[service] {
		switch {
		case !b.available(now, t):
		case t.limit.Limited:
			out.Capacity += b.limitedCapacity(t)
		default:
			out.Capacity += t.capacity()
			out.Targets++
			flights += t.flightCount(now)
			slots += max(1, t.Slots)
		}
	}
	if slotLoad := fullSlotsLevel * out.Capacity * float64(flights) / float64(max(1, slots)); flows.Started > 0 && slotLoad > flows.Started {
		out.Demand *= slotLoad / flows.Started
	}
	return out
}

// ServiceState is a region's load and capacity for a service, as reported to other regions.
type ServiceState struct {
	Targets int `cbor:"1,keyasint"`
	// WaitMs are the waits for calls of priority 0 and for all others.
	WaitMs [2]int `cbor:"2,keyasint"`
	// Rate is the reading rate of all targets together, in prompt tokens per millisecond.
	Rate int `cbor:"3,keyasint"`
	// DurationMs is the mean duration of a call without a prompt.
	DurationMs int `cbor:"4,keyasint"`
	// PauseMs is the mean pause between the events of streams.
	PauseMs int `cbor:"5,keyasint"`
	// Demand and Capacity are in units of work per second.
	Demand   int `cbor:"6,keyasint"`
	Capacity int `cbor:"7,keyasint"`
}

// States returns the state of each service in the region. Targets with a limit contribute to
// its capacity; they count as targets only where no others are in service.
func (b *Balancer) States(now time.Time) map[string]ServiceState {
	services, limited := map[string][]*target{}, map[string][]*target{}
	for _, t := range b.targets {
		switch {
		case !b.available(now, t):
		case t.limit.Limited:
			limited[t.Service] = append(limited[t.Service], t)
		default:
			services[t.Service] = append(services[t.Service], t)
		}
	}
	for name, list := range limited {
		if len(services[name]) == 0 {
			services[name] = list
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
	var totalDuration time.Duration
	rate := 0.0
	for _, t := range list {
		totalDuration += t.duration
		rate += t.ownRate() / t.slowdown(now)
	}
	s.PauseMs = int(meanPause(now, list).Milliseconds())
	for priority := range s.WaitMs {
		waits := make([]time.Duration, 0, len(list))
		for _, t := range list {
			wait := t.candidate(now, Work{Priority: priority, Tokens: 1}).predict(now, Work{Priority: priority, Tokens: 1}).Wait
			waits = append(waits, max(wait, b.limitWait(now, t, priority)))
		}
		slices.Sort(waits)
		s.WaitMs[priority] = int(waits[(len(waits)-1)/3].Milliseconds())
	}
	load := b.RegionLoad(now, list[0].Service)
	s.Demand, s.Capacity = int(load.Demand), int(load.Capacity)
	s.Rate = int(rate)
	s.DurationMs = int((totalDuration / time.Duration(len(list))).Milliseconds())
	return s
}
