package gateway

import (
	"maps"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// defaultCoordinatorTimeout is a few times the way between the data centres of a region.
const defaultCoordinatorTimeout = 12 * time.Millisecond

// loadQuery asks the coordinator of targets what they would be like for a call.
type loadQuery struct {
	ID      uint64         `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	Rank    int            `cbor:"3,keyasint"`
	Tokens  int            `cbor:"4,keyasint"`
	Parts   []balance.Part `cbor:"5,keyasint,omitempty"`
	Targets []string       `cbor:"6,keyasint"`
}

// loadReply is the answer to a question.
type loadReply struct {
	ID    uint64                        `cbor:"1,keyasint"`
	Loads map[string]balance.TargetLoad `cbor:"2,keyasint"`
}

// askCoordinators asks the coordinators of some targets before the call is sent to one. It
// asks none in a small region.
func (c *activeCall) askCoordinators() {
	g := c.gateway
	query, own := g.prepareLoadQuery(c)
	c.work.Said = own
	if len(query.targets) == 0 {
		return
	}
	defer g.removeQuery(query.id)
	for host, targets := range query.targets {
		g.sendMessage(peerMessage{LoadQuery: &loadQuery{
			ID: query.id, Service: c.work.Service, Rank: c.work.Rank, Tokens: c.work.Tokens, Parts: c.work.Parts, Targets: targets,
		}}, g.membersByName([]string{host}))
	}
	timeout := g.clock.After(g.coordinatorTimeout)
	for range query.targets {
		select {
		case r := <-query.replies:
			maps.Copy(c.work.Said, r.Loads)
		case <-timeout:
			g.metrics.add("words_late_total", 1)
			return
		case <-c.ctx.Done():
			return
		}
	}
}

// pendingQuery is a question that waits for words.
type pendingQuery struct {
	id      uint64
	targets map[string][]string // by coordinator
	replies chan loadReply
}

// prepareLoadQuery picks the targets to ask about, and answers for those that the host
// coordinates itself.
func (g *Gateway) prepareLoadQuery(c *activeCall) (pendingQuery, map[string]balance.TargetLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := pendingQuery{targets: map[string][]string{}}
	if !g.balancer.Coordinated() {
		return out, nil
	}
	now := g.clock.Now()
	own := map[string]balance.TargetLoad{}
	for _, id := range g.balancer.Candidates(now, c.work, c.triedTargets) {
		host := g.balancer.CoordinatorOf(id)
		if host != g.settings.Host {
			out.targets[host] = append(out.targets[host], id)
		} else if load, ok := g.balancer.LoadOf(now, id, c.work); ok {
			own[id] = load
		}
	}
	if len(out.targets) > 0 {
		g.lastQueryID++
		out.id, out.replies = g.lastQueryID, make(chan loadReply, len(out.targets))
		g.pendingQueries[out.id] = out
	}
	return out, own
}

func (g *Gateway) removeQuery(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pendingQueries, id)
}

// answerLoadQuery tells a host what the targets that it asks about would be like for a call.
func (g *Gateway) answerLoadQuery(host string, q loadQuery) {
	reply := loadReply{ID: q.ID, Loads: map[string]balance.TargetLoad{}}
	work := balance.Work{Service: q.Service, Rank: q.Rank, Tokens: q.Tokens, Parts: q.Parts}
	g.mu.Lock()
	now := g.clock.Now()
	for _, id := range q.Targets {
		if load, ok := g.balancer.LoadOf(now, id, work); ok {
			reply.Loads[id] = load
		}
	}
	g.mu.Unlock()
	g.sendMessage(peerMessage{LoadReply: &reply}, g.membersByName([]string{host}))
}

// deliverLoadReply takes the answer to a question, unless nobody waits for it any more.
func (g *Gateway) deliverLoadReply(r loadReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if query, ok := g.pendingQueries[r.ID]; ok {
		select {
		case query.replies <- r:
		default: // told twice
		}
	}
}

// sendChange tells other hosts what this one has at a target now, after a call with
// the given work has begun there, or with empty work for other changes.
func (g *Gateway) sendChange(id string, w balance.Work) {
	g.reportMu.Lock()
	defer g.reportMu.Unlock()
	g.mu.Lock()
	c, ok := g.balancer.ChangeAt(g.clock.Now(), id, w)
	to := g.balancer.ToldOf(id)
	g.mu.Unlock()
	if ok {
		g.sendMessage(peerMessage{Changes: []balance.Change{c}}, g.membersByName(to))
	}
}

// resendChanges tells the coordinators of targets again what the host has there.
func (g *Gateway) resendChanges(now time.Time) {
	g.reportMu.Lock()
	defer g.reportMu.Unlock()
	to := map[string][]balance.Change{}
	g.mu.Lock()
	for _, c := range g.balancer.Repeats(now) {
		for _, host := range g.balancer.ToldOf(c.Target) {
			to[host] = append(to[host], c)
		}
	}
	g.mu.Unlock()
	for host, list := range to {
		g.sendMessage(peerMessage{Changes: list}, g.membersByName([]string{host}))
	}
}

// membersByName returns what is known of hosts.
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
