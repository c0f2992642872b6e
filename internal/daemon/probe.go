package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/duty"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/placement"
)

const (
	probeInterval         = time.Second
	probeTimeout          = 800 * time.Millisecond
	probersPerTarget      = 2
	maxProbeResponseBytes = 16 << 10
)

// probe is the background task that reads the load of the targets for which this
// host is one of the probers, and announces when they start or stop leaving.
func (d *Daemon) probe(ctx context.Context) error {
	known := map[string]bool{}
	return duty.Every(ctx, d.clock, probeInterval, func(ctx context.Context) {
		var wait sync.WaitGroup
		var mu sync.Mutex
		for _, t := range d.targetsToProbe() {
			wait.Go(func() {
				leaving, ok := d.probeTarget(ctx, t)
				mu.Lock()
				defer mu.Unlock()
				if ok && leaving != known[t.Name] {
					known[t.Name] = leaving
					d.setTargetLeaving(ctx, t.Name, leaving)
				}
			})
		}
		wait.Wait()
	})
}

// targetsToProbe returns the targets of this data centre for which this host is one
// of the probersPerTarget hosts that probe them.
func (d *Daemon) targetsToProbe() []config.NamedTarget {
	x := d.index()
	hosts := d.dataCentreHostsInUse()
	var out []config.NamedTarget
	for service := range x.Document.Services {
		for _, t := range x.TargetsOf(service) {
			if t.DataCentre == d.settings.DataCentre && d.ranksFirstFor(t.Name, hosts) {
				out = append(out, t)
			}
		}
	}
	return out
}

func (d *Daemon) dataCentreHostsInUse() []member.Info {
	return d.gossip.View().Filter(func(m member.Info) bool { return m.DataCentre == d.settings.DataCentre && m.InUse() })
}

// ranksFirstFor reports whether this host is one of the first probersPerTarget hosts
// for a name, by rendezvous hashing. It sorts hosts.
func (d *Daemon) ranksFirstFor(name string, hosts []member.Info) bool {
	slices.SortFunc(hosts, compareByHash(name))
	top := hosts[:min(len(hosts), probersPerTarget)]
	return slices.ContainsFunc(top, func(m member.Info) bool { return m.Host == d.settings.Host })
}

// probeTarget reads a target's load and reports whether the target is leaving. ok is
// false if it didn't respond as expected.
func (d *Daemon) probeTarget(ctx context.Context, t config.NamedTarget) (leaving, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + t.Address + "/load")
	response, err := d.targetPool.Do(ctx, t.Address, request)
	if err != nil {
		if kind, _ := failure.KindOf[exchange.Kind](err); kind == exchange.Unsent {
			d.dispatcher.SetTargetState(ctx, t.Name, dispatch.TargetDown)
		}
		return false, false
	}
	body, err := response.ReadAll(maxProbeResponseBytes)
	if err != nil || response.Status() != fasthttp.StatusOK {
		return false, false
	}
	var load placement.Load
	if json.Unmarshal(body, &load) == nil {
		d.dispatcher.ReportLoad(t.Name, load)
	}
	return response.Get(core.HeaderLeaving) != "", true
}

func (d *Daemon) setTargetLeaving(ctx context.Context, target string, leaving bool) {
	state := dispatch.TargetReturned
	if leaving {
		state = dispatch.TargetLeaving
	}
	d.dispatcher.SetTargetState(ctx, target, state)
	d.postLeaving(leavingItem{Target: target, Leaving: leaving})
}

// reachable reports whether a target accepts connections.
func (d *Daemon) reachable(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := d.network.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
