package placer

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/ring"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

const (
	silentAfter    = 500 * time.Millisecond // without an answer to an ask
	silenceLasts   = time.Second            // in which the host is not asked again
	settleInterval = 20 * time.Millisecond
	settleRing     = 8192
	settleTimeout  = time.Second
	settleFor      = 30 * time.Second // of trying to tell a host of an end
	sampleInterval = 250 * time.Millisecond
	summaryMaxAge  = 3 * time.Second
)

// Ask sends a body to a peer and reads its JSON answer into v, which may be nil.
type Ask func(ctx context.Context, address, path string, body, v any) error

// Owner returns the placing host of a service, and whether that is this host.
type Owner func(service string) (host member.Info, self bool)

// Grant is a granted target. Its holder must Release it.
type Grant struct {
	dispatch.Placement
	id      string // at another host
	address string // of that host, empty for this one
}

// Client is every host's side. It is safe for concurrent use.
type Client struct {
	self       string
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	ask        Ask
	owner      Owner
	serial     atomic.Uint64
	ends       *ring.Queue[end]

	mu        sync.Mutex
	silent    map[string]time.Time
	summaries map[string]seenSummary
	samples   map[sampleKey]*mean

	// Asked counts targets asked of other hosts, Alone those placed here for
	// want of an answer.
	Asked atomic.Int64
	Alone atomic.Int64
}

// end is a call that has ended, of which its placing host is to be told.
type end struct {
	address, id string
	until       time.Time
}

type seenSummary struct {
	summary placement.Summary
	at      time.Time
}

type sampleKey struct {
	address string
	target  string
	signal  straggler.Signal
}

type mean struct {
	sum time.Duration
	n   int
}

// NewClient returns a Client of the host named self. Names must be unique among
// processes, so self includes the incarnation.
func NewClient(self string, d *dispatch.Dispatcher, c clock.Clock, ask Ask, owner Owner) *Client {
	return &Client{
		self: self, dispatcher: d, clock: c, ask: ask, owner: owner, ends: ring.New[end](settleRing),
		silent: map[string]time.Time{}, summaries: map[string]seenSummary{}, samples: map[sampleKey]*mean{},
	}
}

// Acquire waits for a target, from the placing host if it answers.
func (c *Client) Acquire(ctx context.Context, host string, request dispatch.Request) (Grant, *core.Refusal) {
	ask, refusal := c.dispatcher.Prepare(ctx, request)
	if refusal != nil {
		return Grant{}, refusal
	}
	if owner, self := c.owner(request.Service); !self && !c.isSilent(owner.PeerAddress) {
		grant, refusal, answered := c.remote(ctx, host, owner, ask)
		if answered {
			return grant, refusal
		}
		c.Alone.Add(1)
	}
	placed, refusal := c.dispatcher.Place(ctx, ask)
	return Grant{Placement: placed}, refusal
}

// remote asks the placing host until it has decided. answered is false when it
// went silent.
func (c *Client) remote(ctx context.Context, host string, owner member.Info, ask placement.Ask) (grant Grant, refusal *core.Refusal, answered bool) {
	c.Asked.Add(1)
	id := c.self + "-" + strconv.FormatUint(c.serial.Add(1), 36)
	address := owner.PeerAddress
	for {
		var answer answerBody
		within, cancel := context.WithTimeout(ctx, silentAfter)
		err := c.ask(within, address, PathPlace, newAskBody(id, host, ask, ask.Deadline.Sub(c.clock.Now())), &answer)
		cancel()
		switch {
		case ctx.Err() != nil:
			c.settle(address, id)
			return Grant{}, gone(), true
		case err != nil:
			c.settle(address, id)
			c.setSilent(address)
			return Grant{}, nil, false //nolint:nilerr // the caller places the call itself
		}
		c.saw(ask.Service, answer.Summary)
		switch {
		case answer.Target != nil:
			return Grant{Placement: dispatch.Placement{Target: *answer.Target, Alone: answer.Alone}, id: id, address: address}, nil, true
		case answer.Refusal != nil:
			return Grant{}, answer.Refusal, true
		}
	}
}

func gone() *core.Refusal {
	const statusClientClosed = 499
	return &core.Refusal{Status: statusClientClosed, Reason: core.ReasonCallerGone, Message: "the caller has hung up or its time is over", Outcome: core.NotRun}
}

func (c *Client) isSilent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Before(c.silent[address])
}

func (c *Client) setSilent(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[address] = c.clock.Now().Add(silenceLasts)
}

func (c *Client) saw(service string, summary placement.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summaries[service] = seenSummary{summary, c.clock.Now()}
}

// Seen returns what the placing host last said of a service's targets, and
// whether that is fresh.
func (c *Client) Seen(service string) (placement.Summary, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen, ok := c.summaries[service]
	return seen.summary, ok && c.clock.Now().Sub(seen.at) < summaryMaxAge
}

// Release frees a grant.
func (c *Client) Release(ctx context.Context, g Grant) {
	if g.address == "" {
		c.dispatcher.Release(ctx, g.Placement)
		return
	}
	c.settle(g.address, g.id)
}

func (c *Client) settle(address, id string) {
	c.ends.TryPut(end{address, id, c.clock.Now().Add(settleFor)})
}

// ObserveSpeed notes what a call saw of a target's speed, here and at the host
// that placed the call.
func (c *Client) ObserveSpeed(g Grant, signal straggler.Signal, d time.Duration) {
	c.dispatcher.ObserveSpeed(g.Target.Name, signal, d)
	if g.address == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := sampleKey{g.address, g.Target.Name, signal}
	m := c.samples[key]
	if m == nil {
		m = &mean{}
		c.samples[key] = m
	}
	m.sum += d
	m.n++
}

// Run is the duty that tells placing hosts of calls that have ended, and of
// speeds.
func (c *Client) Run(ctx context.Context) error {
	sampled := c.clock.Now()
	for {
		bodies, ends := map[string]*settleBody{}, map[string][]end{}
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.ends.Items():
			<-c.clock.After(settleInterval)
			c.collect(bodies, ends, first)
		case <-c.clock.After(sampleInterval):
		}
		if now := c.clock.Now(); now.Sub(sampled) >= sampleInterval {
			sampled = now
			c.collectSamples(bodies)
		}
		for address, body := range bodies {
			c.tell(ctx, address, ends[address], body)
		}
	}
}

func bodyFor(bodies map[string]*settleBody, address string) *settleBody {
	if bodies[address] == nil {
		bodies[address] = &settleBody{}
	}
	return bodies[address]
}

func (c *Client) collect(bodies map[string]*settleBody, ends map[string][]end, first end) {
	for e := first; ; {
		ends[e.address] = append(ends[e.address], e)
		body := bodyFor(bodies, e.address)
		body.Ended = append(body.Ended, e.id)
		select {
		case e = <-c.ends.Items():
		default:
			return
		}
	}
}

func (c *Client) collectSamples(bodies map[string]*settleBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, m := range c.samples {
		body := bodyFor(bodies, key.address)
		body.Samples = append(body.Samples, sample{key.target, key.signal, (m.sum / time.Duration(m.n)).Microseconds()})
	}
	clear(c.samples)
}

// tell sends what a placing host should know. Ends that do not arrive are put
// back until the host must have been declared gone, since a host that was only
// silent would hold the slots for ever.
func (c *Client) tell(ctx context.Context, address string, ends []end, body *settleBody) {
	within, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if c.ask(within, address, PathSettle, body, nil) == nil {
		return
	}
	now := c.clock.Now()
	for _, e := range ends {
		if now.Before(e.until) {
			c.ends.TryPut(e)
		}
	}
}
