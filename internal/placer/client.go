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
	placeTimeout         = 500 * time.Millisecond // of one poll of a placement request
	unresponsiveDuration = time.Second            // in which no requests go to a host that did not respond
	settleInterval       = 20 * time.Millisecond  // to collect ended calls into one request
	settleQueueSize      = 8192
	settleTimeout        = time.Second
	settleRetryPeriod    = 30 * time.Second // in which the end of a call is sent again
	sampleInterval       = 250 * time.Millisecond
	summaryMaxAge        = 3 * time.Second
)

// PostFunc sends body to a peer as JSON and decodes the JSON response into v, which
// may be nil.
type PostFunc func(ctx context.Context, address, path string, body, v any) error

// OwnerFunc returns the placing host of a service and whether it is this host.
type OwnerFunc func(service string) (host member.Info, self bool)

// Grant is a target granted to a call. It must be passed to Client.Release.
type Grant struct {
	dispatch.Placement
	id      string // of the placement request, empty for a local placement
	address string // of the placing host, empty for a local placement
}

// Client acquires targets from placing hosts. It is safe for concurrent use.
type Client struct {
	self       string
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	post       PostFunc
	owner      OwnerFunc
	lastID     atomic.Uint64
	ended      *ring.Queue[endedCall]

	mu                sync.Mutex
	unresponsiveUntil map[string]time.Time
	summaries         map[string]cachedSummary
	samples           map[sampleKey]*mean

	// RemoteRequests counts the placement requests to other hosts.
	RemoteRequests atomic.Int64
	// LocalPlacements counts the calls placed by this host because their placing host
	// did not respond.
	LocalPlacements atomic.Int64
}

// endedCall is the end of a call that its placing host has to be sent.
type endedCall struct {
	address, id string
	retryUntil  time.Time
}

type cachedSummary struct {
	summary    placement.Summary
	receivedAt time.Time
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

// NewClient returns a Client that prefixes the IDs of its requests with self. To be
// unique among processes, self includes the host's name and incarnation.
func NewClient(self string, d *dispatch.Dispatcher, c clock.Clock, post PostFunc, owner OwnerFunc) *Client {
	return &Client{
		self: self, dispatcher: d, clock: c, post: post, owner: owner, ended: ring.New[endedCall](settleQueueSize),
		unresponsiveUntil: map[string]time.Time{}, summaries: map[string]cachedSummary{}, samples: map[sampleKey]*mean{},
	}
}

// Acquire waits for a target. It requests one from the placing host of the service
// and places the call locally if that host does not respond. host is the name of this
// host.
func (c *Client) Acquire(ctx context.Context, host string, request dispatch.Request) (Grant, *core.Refusal) {
	call, refusal := c.dispatcher.Prepare(ctx, request)
	if refusal != nil {
		return Grant{}, refusal
	}
	if owner, self := c.owner(request.Service); !self && !c.isUnresponsive(owner.PeerAddress) {
		grant, refusal, responded := c.acquireRemote(ctx, host, owner, call)
		if responded {
			return grant, refusal
		}
		c.LocalPlacements.Add(1)
	}
	placed, refusal := c.dispatcher.Place(ctx, call)
	return Grant{Placement: placed}, refusal
}

// acquireRemote polls the placing host until it grants a target or refuses the call.
// responded is false if a poll failed or timed out.
func (c *Client) acquireRemote(ctx context.Context, host string, owner member.Info, call placement.Call) (grant Grant, refusal *core.Refusal, responded bool) {
	c.RemoteRequests.Add(1)
	id := c.self + "-" + strconv.FormatUint(c.lastID.Add(1), 36)
	address := owner.PeerAddress
	for {
		var response placeResponse
		placeCtx, cancel := context.WithTimeout(ctx, placeTimeout)
		err := c.post(placeCtx, address, PathPlace, newPlaceRequest(id, host, call, call.Deadline.Sub(c.clock.Now())), &response)
		cancel()
		switch {
		case ctx.Err() != nil:
			c.settle(address, id)
			return Grant{}, callerGone(), true
		case err != nil:
			c.settle(address, id)
			c.markUnresponsive(address)
			return Grant{}, nil, false //nolint:nilerr // Acquire places the call locally instead
		}
		c.cacheSummary(call.Service, response.Summary)
		switch {
		case response.Target != nil:
			return Grant{Placement: dispatch.Placement{Target: *response.Target, Isolated: response.Alone}, id: id, address: address}, nil, true
		case response.Refusal != nil:
			return Grant{}, response.Refusal, true
		}
	}
}

func callerGone() *core.Refusal {
	const statusClientClosed = 499
	return &core.Refusal{Status: statusClientClosed, Reason: core.ReasonCallerGone, Message: "the caller has hung up or its time is over", Outcome: core.NotRun}
}

func (c *Client) isUnresponsive(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Before(c.unresponsiveUntil[address])
}

func (c *Client) markUnresponsive(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsiveUntil[address] = c.clock.Now().Add(unresponsiveDuration)
}

func (c *Client) cacheSummary(service string, summary placement.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summaries[service] = cachedSummary{summary, c.clock.Now()}
}

// CachedSummary returns the load of a service's targets from the last response of the
// placing host, and whether it is no older than summaryMaxAge.
func (c *Client) CachedSummary(service string) (placement.Summary, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.summaries[service]
	return cached.summary, ok && c.clock.Now().Sub(cached.receivedAt) < summaryMaxAge
}

// Release frees the slot of a grant. For a remote grant it queues the end of the call
// for the placing host.
func (c *Client) Release(ctx context.Context, g Grant) {
	if g.address == "" {
		c.dispatcher.Release(ctx, g.Placement)
		return
	}
	c.settle(g.address, g.id)
}

// settle queues the end of a placement request for the placing host.
func (c *Client) settle(address, id string) {
	c.ended.TryPut(endedCall{address, id, c.clock.Now().Add(settleRetryPeriod)})
}

// ObserveSpeed records a measured latency of a target on this host and queues it for
// the host that placed the call.
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

// Run is a background task that sends ended calls and mean latencies to the placing
// hosts until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	samplesSentAt := c.clock.Now()
	for {
		requests, ended := map[string]*settleRequest{}, map[string][]endedCall{}
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.ended.Items():
			<-c.clock.After(settleInterval)
			c.collectEnded(requests, ended, first)
		case <-c.clock.After(sampleInterval):
		}
		if now := c.clock.Now(); now.Sub(samplesSentAt) >= sampleInterval {
			samplesSentAt = now
			c.collectSamples(requests)
		}
		for address, request := range requests {
			c.sendSettle(ctx, address, ended[address], request)
		}
	}
}

func requestFor(requests map[string]*settleRequest, address string) *settleRequest {
	if requests[address] == nil {
		requests[address] = &settleRequest{}
	}
	return requests[address]
}

func (c *Client) collectEnded(requests map[string]*settleRequest, ended map[string][]endedCall, first endedCall) {
	for e := first; ; {
		ended[e.address] = append(ended[e.address], e)
		request := requestFor(requests, e.address)
		request.Ended = append(request.Ended, e.id)
		select {
		case e = <-c.ended.Items():
		default:
			return
		}
	}
}

func (c *Client) collectSamples(requests map[string]*settleRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, m := range c.samples {
		request := requestFor(requests, key.address)
		request.Samples = append(request.Samples, latencySample{key.target, key.signal, (m.sum / time.Duration(m.n)).Microseconds()})
	}
	clear(c.samples)
}

// sendSettle sends ended calls and latencies to a placing host. Ended calls that it
// did not confirm are queued again, since a host that was only unresponsive for a while
// would otherwise never free their slots. After settleRetryPeriod the host must have
// been declared gone.
func (c *Client) sendSettle(ctx context.Context, address string, ended []endedCall, request *settleRequest) {
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if c.post(settleCtx, address, PathSettle, request, nil) == nil {
		return
	}
	now := c.clock.Now()
	for _, e := range ended {
		if now.Before(e.retryUntil) {
			c.ended.TryPut(e)
		}
	}
}
