package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/fleet"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/operator"
	"github.com/sequoiarack/sequoiarack/internal/standin"
	"github.com/sequoiarack/sequoiarack/pkg/client"
)

func (s *stage) operator(host int) *operator.Client {
	return operator.NewClient(s.fleet.Hosts[host].Settings.CallerAddress, fleet.OperatorKey)
}

func budgetPatch(id string, base uint64, budget int) ledger.Patch {
	body := fmt.Appendf(nil, `{"Services":{%q:{"FirstTokenBudgetMs":%d}}}`, fleet.ModelService, budget)
	return ledger.Patch{Base: base, ID: id, Kind: config.MergePatch, Body: body, Author: "demo"}
}

const inForceLimit = 12 * time.Second

func operatorRace(ctx context.Context, s *stage) (string, error) {
	const operators = 8
	base := s.fleet.Hosts[0].Daemon.Version()
	var wait sync.WaitGroup
	var won, lost atomic.Int64
	began := time.Now()
	for i := range operators {
		wait.Go(func() {
			_, err := s.operator(i).Patch(ctx, budgetPatch(fmt.Sprintf("race-%d", i), base, 1500+i), false)
			if err == nil {
				won.Add(1)
			} else {
				lost.Add(1)
			}
		})
	}
	wait.Wait()
	if won.Load() != 1 {
		return "", errors.Errorf("%d of %d patches were accepted", won.Load(), operators)
	}
	if err := s.fleet.WaitVersion(ctx, base+1, s.fleet.Hosts); err != nil {
		return "", err
	}
	took := time.Since(began)
	if took > inForceLimit {
		return "", errors.Errorf("in force after %s", took)
	}
	return fmt.Sprintf("1 accepted, %d refused, in force at %d hosts after %s", lost.Load(), len(s.fleet.Hosts), took.Round(time.Millisecond)), nil
}

func lostReply(ctx context.Context, s *stage) (string, error) {
	base := s.fleet.Hosts[0].Daemon.Version()
	patch := budgetPatch("lost-reply", base, 1400)
	s.fleet.Store.SetFault(standin.Fault{LoseReplies: 1})
	defer s.fleet.Store.SetFault(standin.Fault{})
	first, err := s.operator(2).Patch(ctx, patch, false)
	if err != nil {
		// The reply that was lost may have been another one's.
		if first, err = s.operator(2).Patch(ctx, patch, false); err != nil {
			return "", err
		}
	}
	again, err := s.operator(7).Patch(ctx, patch, false)
	if err != nil {
		return "", err
	}
	if first.Version != base+1 || again.Version != first.Version {
		return "", errors.Errorf("accepted as version %d and %d", first.Version, again.Version)
	}
	return fmt.Sprintf("sent twice, accepted as version %d", first.Version), nil
}

// firstTokens makes short calls from several callers and returns the 99th
// percentile of their first token.
func (s *stage) firstTokens(ctx context.Context, calls, tokens int) (time.Duration, error) {
	const callers = 12
	var mu sync.Mutex
	var waits []time.Duration
	var failed error
	var wait sync.WaitGroup
	var next atomic.Int64
	for range callers {
		wait.Go(func() {
			for next.Add(1) <= int64(calls) {
				got, err := stream(ctx, s.buyer, client.Request{Path: chatPath, Body: chatBody("What is ash code 9?", tokens)}, tokens)
				mu.Lock()
				waits = append(waits, got.firstToken)
				if err != nil {
					failed = err
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	slices.Sort(waits)
	const percentile = 0.99
	return waits[int(percentile*float64(len(waits)-1))], failed
}

// passStraggler compares short calls without and with an engine that is eight
// times slower, and counts those that it gets once it can be known. It must get
// less than half of its equal share.
func passStraggler(ctx context.Context, s *stage) (string, error) {
	const calls, tokens, slowdown, warmUp = 300, 20, 8, 150
	before, err := s.firstTokens(ctx, calls, tokens)
	if err != nil {
		return "", err
	}
	engine := s.fleet.Engines[fleet.ModelService+"-celje-1"]
	engine.SetFault(standin.Fault{Slowdown: slowdown})
	defer engine.SetFault(standin.Fault{})
	if _, err = s.firstTokens(ctx, warmUp, tokens); err != nil {
		return "", err
	}
	seen := engine.RequestCounts()[chatPath]
	after, err := s.firstTokens(ctx, calls, tokens)
	if err != nil {
		return "", err
	}
	got, share := engine.RequestCounts()[chatPath]-seen, calls/s.fleet.Shape.Regions[0].Engines
	figures := fmt.Sprintf("it got %d calls (equal share %d); first token p99 %s without, %s with it",
		got, share, before.Round(time.Millisecond), after.Round(time.Millisecond))
	if 2*got >= share {
		return "", errors.New(figures)
	}
	return figures, nil
}

// leavingTarget makes an engine refuse as leaving, without any list saying so,
// and counts what is still sent to it after three seconds.
func leavingTarget(ctx context.Context, s *stage) (string, error) {
	const calls, grace = 100, 3 * time.Second
	engine := s.fleet.Engines[fleet.ModelService+"-celje-2"]
	engine.SetFault(standin.Fault{Leaving: true})
	defer engine.SetFault(standin.Fault{})
	time.Sleep(grace)
	before := engine.RequestCounts()[chatPath]
	if _, err := s.firstTokens(ctx, calls, 5); err != nil {
		return "", err
	}
	if got := engine.RequestCounts()[chatPath] - before; got > 0 {
		return "", errors.Errorf("it got %d of %d calls", got, calls)
	}
	return fmt.Sprintf("0 of %d calls after %s", calls, grace), nil
}

// cutRegion cuts koper off from both other regions, and so from the store.
func cutRegion(ctx context.Context, s *stage) (string, error) {
	const calls, bookings = 100, 10
	koper := s.fleet.Region("koper")
	for _, other := range []string{"celje", "ravne"} {
		s.fleet.Network.Cut(koper, s.fleet.Region(other))
		defer s.fleet.Network.Heal(koper, s.fleet.Region(other))
	}
	hosts := s.hostsOf("koper")
	caller := client.New(fleet.CallerKey, hosts)
	defer caller.Close()
	served := 0
	for i := range calls {
		if _, err := stream(ctx, caller, client.Request{Path: chatPath, Body: chatBody("In the cut.", 5), Host: hosts[i%len(hosts)]}, 5); err == nil {
			served++
		}
	}
	booked := 0
	for i := range bookings {
		key, _, err := caller.IssuedKey(ctx, hosts[i%len(hosts)])
		if err != nil {
			return "", err
		}
		_, err = caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{"Lot":1}`), Key: key, Host: hosts[i%len(hosts)]})
		if err == nil && s.effects(key) == 1 {
			booked++
		}
	}
	chosen := client.NewKey()
	_, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{"Lot":1}`), Key: chosen, Host: hosts[0]})
	var refused *client.Error
	if !errors.As(err, &refused) || refused.Outcome != client.NotRun || s.effects(chosen) != 0 {
		return "", errors.Errorf("a booking that cannot be claimed ended with %v and %d effects", err, s.effects(chosen))
	}
	if served != calls || booked != bookings {
		return "", errors.Errorf("%d of %d calls and %d of %d bookings were served", served, calls, booked, bookings)
	}
	return fmt.Sprintf("%d of %d calls, %d of %d bookings; one without store truly not run", served, calls, booked, bookings), nil
}

func (s *stage) hostsOf(region string) []string {
	var out []string
	for _, h := range s.fleet.Hosts {
		if h.Region == region {
			out = append(out, h.Settings.CallerAddress)
		}
	}
	return out
}

// plannedStop drains a host while streams and bookings run through it.
func plannedStop(ctx context.Context, s *stage) (string, error) {
	const streams, tokens = 20, 400
	host := s.fleet.Host("ravne-b")
	address := host.Settings.CallerAddress
	var wait sync.WaitGroup
	var whole, cut atomic.Int64
	for range streams {
		wait.Go(func() {
			_, err := stream(ctx, s.buyer, client.Request{Path: chatPath, Body: chatBody("Through the stop.", tokens), Host: address}, tokens)
			if err == nil {
				whole.Add(1)
			} else {
				cut.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	if err := host.Daemon.Drain(ctx); err != nil {
		return "", err
	}
	took := time.Since(began)
	wait.Wait()
	if cut.Load() > 0 {
		return "", errors.Errorf("%d of %d streams were cut", cut.Load(), streams)
	}
	if slices.Contains(s.buyer.Hosts(ctx), address) {
		return "", errors.New("callers are still told to use the host")
	}
	return fmt.Sprintf("%d of %d streams whole, stopped after %s", whole.Load(), streams, took.Round(time.Millisecond)), nil
}
