package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// pathPollInterval is the interval at which a host looks for due probes. After a failed
	// connection it looks at once.
	pathPollInterval = 100 * time.Millisecond
	// probeTimeout is many round trips within a region.
	probeTimeout        = 200 * time.Millisecond
	maxConcurrentPaths  = 32
	reachKeyPrefix      = "reach/"
	reachTTLSeconds     = 60
	reachRepeatInterval = 20 * time.Second
	// pathlessPause is how long no call is passed to a host that has just refused one because it
	// has no path: about the time until it has told so.
	pathlessPause = 300 * time.Millisecond
)

// reachReport tells the fleet how many targets of its region a host has a path to.
type reachReport struct {
	Host        string
	Incarnation int64
	Reach       balance.Reach
}

// knownReach is the last report of another host.
type knownReach struct {
	reachReport
	at time.Time
}

// probePaths finds out to which targets this host has a path, and tells the fleet, until ctx is done.
func (g *Gateway) probePaths(ctx context.Context) error {
	postedAt := time.Time{}
	for {
		g.mu.Lock()
		due := g.balancer.DueProbes(g.clock.Now())
		g.mu.Unlock()
		if len(due) > 0 {
			g.probe(ctx, due)
		}
		g.mu.Lock()
		now := g.clock.Now()
		changed := g.balancer.UpdateReach(now)
		reach := g.balancer.Reach()
		g.mu.Unlock()
		if changed {
			g.metrics.add("reach_changes_total", 1)
			g.log.Info("The host's paths to targets have changed.", "Reach", reach.String(), "Probed", len(due))
			g.updateHosts()
			g.wakeHealthChecks()
		}
		if changed || reach != balance.ReachMost && now.Sub(postedAt) > reachRepeatInterval {
			postedAt = now
			g.postReach(reach)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.pathsSuspected:
		case <-g.clock.After(pathPollInterval):
		}
	}
}

// probe opens connections to targets, and tells the hosts that check their health of processes that
// may be others than before their paths were lost.
func (g *Gateway) probe(ctx context.Context, targets []catalogue.Target) {
	opened := make([]bool, len(targets))
	var group errgroup.Group
	group.SetLimit(maxConcurrentPaths)
	for i, t := range targets {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			err := g.targetPool.Open(ctx, t.Address)
			opened[i] = err == nil
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	doubts := map[string][]balance.Doubt{}
	g.mu.Lock()
	now := g.clock.Now()
	for i, t := range targets {
		if doubt, checker, ok := g.balancer.RecordProbe(now, t, opened[i]); ok {
			doubts[checker] = append(doubts[checker], doubt)
		}
	}
	g.mu.Unlock()
	g.metrics.add(`path_probes_total{result="opened"}`, int64(count(opened)))
	g.metrics.add(`path_probes_total{result="failed"}`, int64(len(opened)-count(opened)))
	for checker, list := range doubts {
		g.log.Info("Paths to targets failed or are back; their processes are in doubt.", "Targets", len(list), "First", list[0].Target, "Checker", checker)
		if checker == "" {
			g.wakeHealthChecks()
			continue
		}
		for batch := range slices.Chunk(list, maxDoubtsPerMessage) {
			g.sendMessage(peerMessage{Doubts: batch}, g.membersByName([]string{checker}))
		}
	}
}

func count(list []bool) int {
	n := 0
	for _, ok := range list {
		if ok {
			n++
		}
	}
	return n
}

func (g *Gateway) wakePathProbes() {
	select {
	case g.pathsSuspected <- struct{}{}:
	default:
	}
}

// postReach tells the fleet how many targets this host has a path to.
func (g *Gateway) postReach(reach balance.Reach) {
	g.postProcessItem(strings.TrimSuffix(reachKeyPrefix, "/"), reachTTLSeconds, reachReport{Host: g.settings.Host, Incarnation: g.started.UnixMilli(), Reach: reach})
}

// applyReach records the report of another host.
func (g *Gateway) applyReach(r reachReport) {
	if r.Host == g.settings.Host {
		return
	}
	g.mu.Lock()
	known, wasLimited := g.reaches[r.Host]
	if r.Reach == balance.ReachMost {
		delete(g.reaches, r.Host)
	} else {
		g.reaches[r.Host] = knownReach{reachReport: r, at: g.clock.Now()}
	}
	g.mu.Unlock()
	if known.reachReport != r && (wasLimited || r.Reach != balance.ReachMost) {
		g.log.Info("Another host's paths to targets have changed.", "From", r.Host, "Reach", r.Reach.String())
	}
	g.updateHosts()
}

// reachOf returns how many targets of its region a host has a path to, by its last report. The
// caller holds g.mu.
func (g *Gateway) reachOf(m member.Info) balance.Reach {
	if m.Host == g.settings.Host {
		return g.balancer.Reach()
	}
	r, ok := g.reaches[m.Host]
	if !ok || r.Incarnation != m.Incarnation || g.clock.Now().Sub(r.at) > reachTTLSeconds*time.Second {
		return balance.ReachMost
	}
	return r.Reach
}

// pickHost returns a random host among those that satisfy a condition, may get calls and reach the
// most targets, or false if none reaches any. For a call with homes it prefers hosts that need not be asked where
// they are.
func (c *activeCall) pickHost(condition func(member.Info) bool) (member.Info, bool) {
	g := c.gateway
	view, seen := g.gossip.View(), g.moment()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	best := balance.ReachFew
	var out []member.Info
	for _, m := range view.Members {
		if m.Host == g.settings.Host || !m.InUse() || !now.After(g.avoidUntil[m.Host]) || !condition(m) || isReplaced(m, view.Members) {
			continue
		}
		reach := g.reachOf(m)
		if reach > best {
			best, out = reach, nil
		}
		if reach == best {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return member.Info{}, false
	}
	if c.route.Homes().Restricted() {
		located := slices.DeleteFunc(slices.Clone(out), func(m member.Info) bool {
			_, ok := g.hostLocationAgeAt(seen, m)
			return !ok
		})
		if len(located) > 0 {
			out = located
		}
	}
	return out[g.rng.IntN(len(out))], true
}

// isReplaced reports whether a process in use that started later under another name has the addresses of a host.
func isReplaced(m member.Info, members []member.Info) bool {
	return slices.ContainsFunc(members, func(other member.Info) bool {
		return other.Incarnation > m.Incarnation && other.InUse() && other.Host != m.Host && (other.PeerAddress == m.PeerAddress || other.CallerAddress == m.CallerAddress)
	})
}

// isDetached reports whether the host has no path to any target.
func (g *Gateway) isDetached() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Detached()
}

// lacksPaths reports whether the host has no path to some target.
func (g *Gateway) lacksPaths() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.LacksPaths()
}

// suspectPath takes a connection that broke off as a sign that there may be no path to the target.
func (g *Gateway) suspectPath(t catalogue.Target) {
	g.mu.Lock()
	g.balancer.SuspectPath(g.clock.Now(), t.ID)
	g.mu.Unlock()
	g.wakePathProbes()
}

// servingRegions returns those of the given regions in which a host has a path to targets.
func (g *Gateway) servingRegions(regions []string) map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	for _, region := range regions {
		out[region] = g.regionServes(region)
	}
	return out
}

// regionServes reports whether a host of a region that may get calls has a path to targets. The caller
// holds g.mu.
func (g *Gateway) regionServes(region string) bool {
	if len(g.reaches) == 0 && !g.balancer.Detached() {
		return true
	}
	return slices.ContainsFunc(g.gossip.View().Members, func(m member.Info) bool {
		return m.Region == region && m.InUse() && g.reachOf(m) != balance.ReachNone
	})
}

// neighbour returns a host of the own region to which the call may be passed.
func (c *activeCall) neighbour() (member.Info, bool) {
	if c.fromPeer || !c.gateway.lacksPaths() || len(c.triedNeighbours) >= maxNeighboursPerCall || !c.mayRun() {
		return member.Info{}, false
	}
	return c.pickHost(func(m member.Info) bool {
		return m.Region == c.gateway.settings.Region && !slices.Contains(c.triedNeighbours, m.Host) && c.understands(m)
	})
}

// maxNeighboursPerCall bounds the other hosts of the region that one call is passed to.
const maxNeighboursPerCall = 2

// sendToNeighbour passes the call to another host of the region, as this one has no path to the
// targets.
func (c *activeCall) sendToNeighbour() (*upstreamResponse, result) {
	host, ok := c.neighbour()
	if !ok {
		c.triedNeighbours = append(c.triedNeighbours, "") // do not look for one again
		return nil, unsentResult("no host of the region has a path")
	}
	c.triedNeighbours = append(c.triedNeighbours, host.Host)
	c.gateway.metrics.add("calls_passed_to_neighbours_total", 1)
	return c.forward(host)
}
