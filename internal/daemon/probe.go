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
	probeInterval   = time.Second
	probeTimeout    = 800 * time.Millisecond
	probersOfTarget = 2
	maxProbeAnswer  = 16 << 10
)

// probe is the duty that reads the load of the targets this host is one of the
// probers of.
func (d *Daemon) probe(ctx context.Context) error {
	leaving := map[string]bool{}
	return duty.Every(ctx, d.clock, probeInterval, func(ctx context.Context) {
		var wait sync.WaitGroup
		var mu sync.Mutex
		for _, t := range d.targetsToProbe() {
			wait.Go(func() {
				left, ok := d.probeTarget(ctx, t)
				mu.Lock()
				defer mu.Unlock()
				if ok && left != leaving[t.Name] {
					leaving[t.Name] = left
					d.noteLeaving(ctx, t.Name, left)
				}
			})
		}
		wait.Wait()
	})
}

// targetsToProbe picks the targets of the own data centre for which this host
// ranks among the first of its data centre's hosts in use.
func (d *Daemon) targetsToProbe() []config.NamedTarget {
	x := d.index()
	mates := d.matesInUse()
	var out []config.NamedTarget
	for service := range x.Document.Services {
		for _, t := range x.TargetsOf(service) {
			if t.DataCentre == d.settings.DataCentre && d.ranksFor(t.Name, mates) {
				out = append(out, t)
			}
		}
	}
	return out
}

func (d *Daemon) matesInUse() []member.Info {
	return d.gossip.View().Filter(func(m member.Info) bool { return m.DataCentre == d.settings.DataCentre && m.InUse() })
}

// ranksFor reports whether this host is one of the first for a name by
// rendezvous hashing.
func (d *Daemon) ranksFor(name string, mates []member.Info) bool {
	slices.SortFunc(mates, byHash(name))
	first := mates[:min(len(mates), probersOfTarget)]
	return slices.ContainsFunc(first, func(m member.Info) bool { return m.Host == d.settings.Host })
}

// probeTarget reads a target's load and reports whether it says that it is
// leaving. The second result is false when it did not answer.
func (d *Daemon) probeTarget(ctx context.Context, t config.NamedTarget) (left, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + t.Address + "/load")
	response, err := d.pool.Do(ctx, t.Address, request)
	if err != nil {
		if kind, _ := failure.KindOf[exchange.Kind](err); kind == exchange.Unsent {
			d.dispatcher.SetTarget(ctx, t.Name, dispatch.TargetDown)
		}
		return false, false
	}
	body, err := response.ReadAll(maxProbeAnswer)
	if err != nil || response.Status() != fasthttp.StatusOK {
		return false, false
	}
	var load placement.Load
	if json.Unmarshal(body, &load) == nil {
		d.dispatcher.ReportLoad(t.Name, load)
	}
	return response.Get(core.HeaderLeaving) != "", true
}

func (d *Daemon) noteLeaving(ctx context.Context, target string, left bool) {
	state := dispatch.TargetReturned
	if left {
		state = dispatch.TargetLeaving
	}
	d.dispatcher.SetTarget(ctx, target, state)
	d.postLeaving(leavingFact{Target: target, Leaving: left})
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
