package balance

import (
	"math"
	"slices"
	"time"
)

// In a large region, all hosts have the same reports on the loads of targets. If each queried the
// targets that were least loaded at the last report, all would send to these few until the next one.
// Hosts therefore sample the targets that they query, with weights that fall with the predicted time:
// steeply if the report is new, hardly if it is old. While a report ages, the wait at a target
// may fall or rise by as much as its age.

// maxSampleAge is the age of reports from which their further age makes no difference: by then the
// queues that they describe have been read.
const maxSampleAge = 300 * time.Millisecond

// sampledCost returns a cost with which the targets of the lowest costs are a sample of all.
func (b *Balancer) sampledCost(now time.Time, t *target, cost time.Duration) time.Duration {
	if b.policy.SampleSpread == 0 || !b.Coordinated() {
		return b.jitter(cost)
	}
	age := maxSampleAge
	if t.regionTotal.valid(now) {
		age = min(age, now.Sub(t.regionTotal.at))
	}
	// The differences of Gumbel-distributed terms select with weights of exp(-cost/spread).
	return b.jitter(cost) + Scale(age, b.policy.SampleSpread*math.Log(b.random.ExpFloat64()))
}

// refusalMemory is how long a target that has refused a call is assumed to refuse when it is full.
const refusalMemory = 10 * time.Second

// recordRefusal records that a target of a service has refused a call.
func (b *Balancer) recordRefusal(now time.Time, service string) { b.refusedAt[service] = now }

// avoidsFull reports whether the targets of a service refuse calls beyond their slots.
func (b *Balancer) avoidsFull(now time.Time, service string) bool {
	at, ok := b.refusedAt[service]
	return ok && b.policy.AvoidFull && now.Sub(at) < refusalMemory
}

// unanswered returns the queried targets as estimated by this host, which are its choice if no coordinator
// has replied in time. As they are a sample, hosts do not all choose the best of the same report.
func (b *Balancer) unanswered(now time.Time, w Work, targets []*target) []candidate {
	var out []candidate
	for _, t := range targets {
		if b.policy.SampleSpread > 0 && slices.Contains(w.Queried, t.ID) {
			out = append(out, t.candidate(now, w))
		}
	}
	return out
}

// withoutFull returns the candidates that are not full, and the number of the others, if targets of the
// service refuse calls when they are full. While half of the candidates are full, the region is overloaded:
// then the prompt parts that full targets have cached are worth more than the attempts that are refused.
func (b *Balancer) withoutFull(now time.Time, w Work, list []candidate) ([]candidate, int) {
	if !b.avoidsFull(now, w.Service) {
		return list, 0
	}
	free := slices.DeleteFunc(slices.Clone(list), candidate.full)
	if 2*len(free) <= len(list) {
		return list, 0
	}
	return free, len(list) - len(free)
}

// full reports whether all slots of the target are taken.
func (c candidate) full() bool { return c.Slots > 0 && c.flights >= c.Slots }
