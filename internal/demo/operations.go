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

// operator returns a client of the operator API of a host.
func (s *session) operator(host int) *operator.Client {
	return operator.NewClient(s.fleet.Hosts[host].Settings.CallerAddress, fleet.OperatorKey)
}

// budgetPatch returns a patch that sets the first token budget, in milliseconds.
func budgetPatch(id string, base uint64, budgetMs int) ledger.Patch {
	body := fmt.Appendf(nil, `{"Services":{%q:{"FirstTokenBudgetMs":%d}}}`, fleet.ModelService, budgetMs)
	return ledger.Patch{Base: base, ID: id, Kind: config.MergePatch, Body: body, Author: "demo"}
}

// propagationLimit is the time within which a patch must be in force at all hosts.
const propagationLimit = 12 * time.Second

// checkConcurrentPatches sends patches with the same base version at once and checks
// that exactly one is accepted.
func checkConcurrentPatches(ctx context.Context, s *session) (string, error) {
	const operators = 8
	base := s.fleet.Hosts[0].Daemon.Version()
	var wait sync.WaitGroup
	var accepted, refused atomic.Int64
	started := time.Now()
	for i := range operators {
		wait.Go(func() {
			_, err := s.operator(i).Patch(ctx, budgetPatch(fmt.Sprintf("race-%d", i), base, 1500+i), false)
			if err == nil {
				accepted.Add(1)
			} else {
				refused.Add(1)
			}
		})
	}
	wait.Wait()
	if accepted.Load() != 1 {
		return "", errors.Errorf("%d of %d patches were accepted", accepted.Load(), operators)
	}
	if err := s.fleet.WaitVersion(ctx, base+1, s.fleet.Hosts); err != nil {
		return "", err
	}
	took := time.Since(started)
	if took > propagationLimit {
		return "", errors.Errorf("in force after %s", took)
	}
	return fmt.Sprintf("1 accepted, %d refused, in force at %d hosts after %s", refused.Load(), len(s.fleet.Hosts), took.Round(time.Millisecond)), nil
}

// checkLostReply loses a reply of the store and checks that a resent patch is
// accepted only once.
func checkLostReply(ctx context.Context, s *session) (string, error) {
	base := s.fleet.Hosts[0].Daemon.Version()
	patch := budgetPatch("lost-reply", base, 1400)
	s.fleet.Store.SetFault(standin.Fault{LoseReplies: 1})
	defer s.fleet.Store.SetFault(standin.Fault{})
	first, err := s.operator(2).Patch(ctx, patch, false)
	if err != nil {
		// The store may have lost the reply to another request.
		if first, err = s.operator(2).Patch(ctx, patch, false); err != nil {
			return "", err
		}
	}
	second, err := s.operator(7).Patch(ctx, patch, false)
	if err != nil {
		return "", err
	}
	if first.Version != base+1 || second.Version != first.Version {
		return "", errors.Errorf("accepted as version %d and again as version %d", first.Version, second.Version)
	}
	return fmt.Sprintf("sent twice, accepted as version %d", first.Version), nil
}

// firstTokenP99 sends short calls from several callers and returns the 99th
// percentile of the time to the first token.
func (s *session) firstTokenP99(ctx context.Context, calls, tokens int) (time.Duration, error) {
	const callers = 12
	var mu sync.Mutex
	var latencies []time.Duration
	var callErr error
	var wait sync.WaitGroup
	var next atomic.Int64
	for range callers {
		wait.Go(func() {
			for next.Add(1) <= int64(calls) {
				got, err := stream(ctx, s.caller, client.Request{Path: chatPath, Body: chatBody("What is ash code 9?", tokens)}, tokens)
				mu.Lock()
				latencies = append(latencies, got.firstToken)
				if err != nil {
					callErr = err
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	slices.Sort(latencies)
	const percentile = 0.99
	return latencies[int(percentile*float64(len(latencies)-1))], callErr
}

// checkStraggler compares the latency of short calls without and with an engine that
// is eight times slower. After a warm-up in which the gateway can detect the engine,
// it must get less than half of its equal share of the calls.
func checkStraggler(ctx context.Context, s *session) (string, error) {
	const calls, tokens, slowdown, warmUp = 300, 20, 8, 150
	before, err := s.firstTokenP99(ctx, calls, tokens)
	if err != nil {
		return "", err
	}
	engine := s.fleet.Engines[fleet.ModelService+"-celje-1"]
	engine.SetFault(standin.Fault{Slowdown: slowdown})
	defer engine.SetFault(standin.Fault{})
	if _, err = s.firstTokenP99(ctx, warmUp, tokens); err != nil {
		return "", err
	}
	warmUpCalls := engine.RequestCounts()[chatPath]
	after, err := s.firstTokenP99(ctx, calls, tokens)
	if err != nil {
		return "", err
	}
	got, share := engine.RequestCounts()[chatPath]-warmUpCalls, calls/s.fleet.Spec.Regions[0].Engines
	details := fmt.Sprintf("it got %d calls (equal share %d); first token p99 %s without, %s with it",
		got, share, before.Round(time.Millisecond), after.Round(time.Millisecond))
	if 2*got >= share {
		return "", errors.New(details)
	}
	return details, nil
}

// checkLeavingTarget makes an engine refuse calls as leaving, while the configuration
// doesn't mark it so, and checks that it gets no calls after three seconds.
func checkLeavingTarget(ctx context.Context, s *session) (string, error) {
	const calls, grace = 100, 3 * time.Second
	engine := s.fleet.Engines[fleet.ModelService+"-celje-2"]
	engine.SetFault(standin.Fault{Leaving: true})
	defer engine.SetFault(standin.Fault{})
	time.Sleep(grace)
	before := engine.RequestCounts()[chatPath]
	if _, err := s.firstTokenP99(ctx, calls, 5); err != nil {
		return "", err
	}
	if got := engine.RequestCounts()[chatPath] - before; got > 0 {
		return "", errors.Errorf("it got %d of %d calls", got, calls)
	}
	return fmt.Sprintf("0 of %d calls after %s", calls, grace), nil
}

// checkPartition cuts koper off from both other regions, and so from the store.
// Calls and bookings with issued keys must succeed there; a booking with a key that
// needs the store must be refused as NotRun.
func checkPartition(ctx context.Context, s *session) (string, error) {
	const calls, bookings = 100, 10
	koper := s.fleet.RegionNumber("koper")
	for _, other := range []string{"celje", "ravne"} {
		s.fleet.Network.Cut(koper, s.fleet.RegionNumber(other))
		defer s.fleet.Network.Restore(koper, s.fleet.RegionNumber(other))
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
		key, _, err := caller.IssueKey(ctx, hosts[i%len(hosts)])
		if err != nil {
			return "", err
		}
		_, err = caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{"Lot":1}`), Key: key, Host: hosts[i%len(hosts)]})
		if err == nil && s.effects(key) == 1 {
			booked++
		}
	}
	callerKey := client.NewKey()
	_, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{"Lot":1}`), Key: callerKey, Host: hosts[0]})
	var refused *client.Error
	if !errors.As(err, &refused) || refused.Outcome != client.NotRun || s.effects(callerKey) != 0 {
		return "", errors.Errorf("a booking whose key cannot be claimed ended with %v and %d effects", err, s.effects(callerKey))
	}
	if served != calls || booked != bookings {
		return "", errors.Errorf("%d of %d calls and %d of %d bookings were served", served, calls, booked, bookings)
	}
	return fmt.Sprintf("%d of %d calls, %d of %d bookings; one without store truly not run", served, calls, booked, bookings), nil
}

func (s *session) hostsOf(region string) []string {
	var out []string
	for _, h := range s.fleet.Hosts {
		if h.Region == region {
			out = append(out, h.Settings.CallerAddress)
		}
	}
	return out
}

// checkDrain drains a host while streams run through it. All streams must be whole,
// and the host must no longer be in the list of hosts for callers.
func checkDrain(ctx context.Context, s *session) (string, error) {
	const streams, tokens = 20, 400
	host := s.fleet.Host("ravne-b")
	address := host.Settings.CallerAddress
	var wait sync.WaitGroup
	var whole, cut atomic.Int64
	for range streams {
		wait.Go(func() {
			_, err := stream(ctx, s.caller, client.Request{Path: chatPath, Body: chatBody("Through the stop.", tokens), Host: address}, tokens)
			if err == nil {
				whole.Add(1)
			} else {
				cut.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	started := time.Now()
	if err := host.Daemon.Drain(ctx); err != nil {
		return "", err
	}
	took := time.Since(started)
	wait.Wait()
	if cut.Load() > 0 {
		return "", errors.Errorf("%d of %d streams were cut", cut.Load(), streams)
	}
	if slices.Contains(s.caller.Hosts(ctx), address) {
		return "", errors.New("the host is still in the list of hosts for callers")
	}
	return fmt.Sprintf("%d of %d streams whole, stopped after %s", whole.Load(), streams, took.Round(time.Millisecond)), nil
}
