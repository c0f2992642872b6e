package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// defaultCoordinatorTimeout is several times the latency between data centres of a region.
const defaultCoordinatorTimeout = 12 * time.Millisecond

// loadQuery asks a coordinator for the load of targets, as it concerns one call.
type loadQuery struct {
	ID       uint64         `cbor:"1,keyasint"`
	Service  string         `cbor:"2,keyasint"`
	Priority int            `cbor:"3,keyasint"`
	Tokens   int            `cbor:"4,keyasint"`
	Parts    []balance.Part `cbor:"5,keyasint,omitempty"`
	Targets  []string       `cbor:"6,keyasint"`
}

// loadReply answers the loadQuery with the same ID. Loads are by target.
type loadReply struct {
	ID    uint64                        `cbor:"1,keyasint"`
	Loads map[string]balance.TargetLoad `cbor:"2,keyasint"`
	// Paces are the measured reading rates of the targets in Loads; see balance.Balancer.PacesOf.
	Paces []int `cbor:"3,keyasint,omitempty"`
}

// queryCoordinators queries the coordinators of the candidate targets for the call and sets
// the loads received in time. In a small region, targets have no coordinators.
func (c *activeCall) queryCoordinators() {
	g := c.gateway
	targetsByHost, ownLoads := g.coordinators(c)
	c.work.Loads = ownLoads
	defer g.countUnanswered(c)
	if len(targetsByHost) == 0 {
		return
	}
	id, loads := g.loadReplies.expect(len(targetsByHost))
	defer g.loadReplies.forget(id)
	for host, targets := range targetsByHost {
		g.sendMessage(peerMessage{LoadQuery: &loadQuery{
			ID: id, Service: c.work.Service, Priority: c.work.Priority, Tokens: c.work.Tokens, Parts: c.work.Parts, Targets: targets,
		}}, g.membersByName([]string{host}))
	}
	timeout := g.clock.After(g.coordinatorTimeout)
	for range targetsByHost {
		select {
		case r := <-loads:
			maps.Copy(c.work.Loads, r.Loads)
			g.mu.Lock()
			g.balancer.ApplyPaces(g.clock.Now(), slices.Collect(maps.Keys(r.Loads)), r.Paces)
			g.mu.Unlock()
		case <-timeout:
			g.metrics.add("words_late_total", 1)
			return
		case <-c.ctx.Done():
			return
		}
	}
}

// countUnanswered counts the targets that are chosen by this host's own estimate because their
// coordinators have not replied in time.
func (g *Gateway) countUnanswered(c *activeCall) {
	if n := len(c.work.Queried) - len(c.work.Loads); n > 0 {
		g.metrics.add("load_queries_unanswered_total", int64(n))
	}
	g.metrics.add("load_queries_total", int64(len(c.work.Queried)))
}

// coordinators returns the candidate targets of a call by their coordinators, and the loads of
// those that this host coordinates itself.
func (g *Gateway) coordinators(c *activeCall) (map[string][]string, map[string]balance.TargetLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.balancer.Coordinated() {
		return nil, nil
	}
	now := g.clock.Now()
	targets, ownLoads := map[string][]string{}, map[string]balance.TargetLoad{}
	c.work.Queried = g.balancer.Candidates(now, c.work, c.triedTargets)
	for _, id := range c.work.Queried {
		host := g.balancer.CoordinatorOf(id)
		if host != g.settings.Host {
			targets[host] = append(targets[host], id)
		} else if load, ok := g.balancer.LoadOf(now, id, c.work); ok {
			ownLoads[id] = load
		}
	}
	return targets, ownLoads
}

// answerLoadQuery sends a host the loads of the targets in its query.
func (g *Gateway) answerLoadQuery(host string, q loadQuery) {
	reply := loadReply{ID: q.ID, Loads: map[string]balance.TargetLoad{}}
	work := balance.Work{Service: q.Service, Priority: q.Priority, Tokens: q.Tokens, Parts: q.Parts}
	g.mu.Lock()
	now := g.clock.Now()
	for _, id := range q.Targets {
		if load, ok := g.balancer.LoadOf(now, id, work); ok {
			reply.Loads[id] = load
		}
	}
	reply.Paces = g.balancer.PacesOf(now, slices.Collect(maps.Keys(reply.Loads)))
	g.mu.Unlock()
	g.sendMessage(peerMessage{LoadReply: &reply}, g.membersByName([]string{host}))
}

// sendChange sends this host's load at a target to the hosts that track it: after a call
// with the given work has started there, or with empty work after any other change.
func (g *Gateway) sendChange(id string, w balance.Work) {
	g.reportMu.Lock()
	defer g.reportMu.Unlock()
	g.mu.Lock()
	change, ok := g.balancer.ChangeFor(g.clock.Now(), id, w)
	recipients := g.balancer.ChangeRecipients(id)
	g.mu.Unlock()
	if ok {
		g.sendMessage(peerMessage{Changes: []balance.Change{change}}, g.membersByName(recipients))
	}
}

// resendChanges repeats this host's loads to the coordinators of the targets.
func (g *Gateway) resendChanges(now time.Time) {
	g.reportMu.Lock()
	defer g.reportMu.Unlock()
	byHost := map[string][]balance.Change{}
	g.mu.Lock()
	for _, change := range g.balancer.DueRepeats(now) {
		for _, host := range g.balancer.ChangeRecipients(change.Target) {
			byHost[host] = append(byHost[host], change)
		}
	}
	g.mu.Unlock()
	for host, changes := range byHost {
		g.sendMessage(peerMessage{Changes: changes}, g.membersByName([]string{host}))
	}
}

// membersByName returns the member records of the named hosts that are known.
func (g *Gateway) membersByName(hosts []string) []member.Info {
	view := g.gossip.View()
	out := make([]member.Info, 0, len(hosts))
	for _, host := range hosts {
		if info, ok := view.Find(host); ok {
			out = append(out, info)
		}
	}
	return out
}
