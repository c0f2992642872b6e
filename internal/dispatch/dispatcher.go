package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/length"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
	"github.com/sequoiarack/sequoiarack/internal/retry"
	"github.com/sequoiarack/sequoiarack/internal/ring"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

const (
	ringSize     = 4096
	pollInterval = 25 * time.Millisecond
	retryBurst   = 10
	hedgeBurst   = 2
)

// message is what the duty is told or asked.
type message interface {
	apply(d *Dispatcher, now time.Time)
}

// Dispatcher is the duty. Its methods may be called from any goroutine.
type Dispatcher struct {
	clock clock.Clock
	ring  *ring.Queue[message]

	scheduler *placement.Scheduler
	predictor *length.Predictor
	register  *quarantine.Register
	retries   *retry.Budget
	hedges    *retry.Budget
	waiting   map[uint64]chan<- placement.Decision
	lastID    uint64
}

// New returns a Dispatcher.
func New(c clock.Clock, options placement.Options, seed uint64) *Dispatcher {
	options.Random = rand.New(rand.NewPCG(seed, seed))
	limits := config.DefaultLimits()
	return &Dispatcher{
		clock: c, ring: ring.New[message](ringSize),
		scheduler: placement.NewScheduler(options),
		predictor: length.NewPredictor(),
		register:  quarantine.NewRegister(),
		retries:   retry.NewBudget(limits.RetryShare, retryBurst),
		hedges:    retry.NewBudget(limits.HedgeShare, hedgeBurst),
		waiting:   map[uint64]chan<- placement.Decision{},
	}
}

// Run owns the state until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := d.clock.After(pollInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-d.ring.Items():
			m.apply(d, d.clock.Now())
		case <-tick:
			d.poll(d.clock.Now())
			tick = d.clock.After(pollInterval)
		}
	}
}

func (d *Dispatcher) poll(now time.Time) {
	for _, decision := range d.scheduler.Poll(now) {
		if reply, ok := d.waiting[decision.ID]; ok {
			delete(d.waiting, decision.ID)
			reply <- decision
		}
	}
}

func (d *Dispatcher) tell(ctx context.Context, m message) { _ = d.ring.Put(ctx, m) }

// Request is a call that asks for a target.
type Request struct {
	Service   string
	Workspace string
	// Limit is the largest output that the request allows, zero for none.
	Limit   int
	LongCut int
	Digest  string
	Ask     placement.Ask
	// Extra marks a retry or hedge, which the budgets bound.
	Extra Extra
}

// Extra tells why a call asks for another target.
type Extra int

// The kinds of extra attempts.
const (
	FirstAttempt Extra = iota
	Retry
	Hedge
)

// Placement is a granted target. The holder must Release it.
type Placement struct {
	ID     uint64
	Target placement.Target
	Alone  bool
}

type prepared struct {
	ask     placement.Ask
	refusal *core.Refusal
}

type prepareMessage struct {
	request Request
	reply   chan prepared
}

func (m prepareMessage) apply(d *Dispatcher, now time.Time) {
	ask := m.request.Ask
	if refusal := d.budget(m.request.Extra); refusal != nil {
		m.reply <- prepared{refusal: refusal}
		return
	}
	switch d.register.Judge(now, m.request.Digest) {
	case quarantine.Quarantined:
		m.reply <- prepared{refusal: &core.Refusal{
			Status: statusUnprocessable, Reason: core.ReasonQuarantined, Outcome: core.NotRun,
			Message: "the request has ended two targets and is not run again",
		}}
		return
	case quarantine.Suspected:
		ask.Alone = true
	case quarantine.Innocent:
	}
	prediction := d.predictor.Predict(m.request.Workspace, m.request.Service, m.request.Limit, m.request.LongCut)
	ask.Service, ask.Workspace = m.request.Service, m.request.Workspace
	ask.Class, ask.Tokens = prediction.Class, prediction.Tokens
	m.reply <- prepared{ask: ask}
}

// Prepare judges a call before it is placed: budgets, quarantine, and its
// expected length.
func (d *Dispatcher) Prepare(ctx context.Context, request Request) (placement.Ask, *core.Refusal) {
	reply := make(chan prepared, 1)
	if err := d.ring.Put(ctx, prepareMessage{request: request, reply: reply}); err != nil {
		return placement.Ask{}, cancelled()
	}
	out := <-reply
	return out.ask, out.refusal
}

type askMessage struct {
	ask   placement.Ask
	reply chan placement.Decision
}

func (m askMessage) apply(d *Dispatcher, now time.Time) {
	d.lastID++
	m.ask.ID = d.lastID
	decision := d.scheduler.Submit(now, m.ask)
	if decision.Verdict == placement.Queued {
		d.waiting[m.ask.ID] = m.reply
	}
	m.reply <- decision
}

const statusUnprocessable = 422

func (d *Dispatcher) budget(extra Extra) *core.Refusal {
	switch {
	case extra == FirstAttempt:
		d.retries.Call()
		d.hedges.Call()
	case extra == Retry && !d.retries.Take():
		return &core.Refusal{Status: statusUnavailable, Reason: core.ReasonOverloaded, Outcome: core.NotRun, Message: "the budget of retries is used up", RetryAfter: 1}
	case extra == Hedge && !d.hedges.Take():
		return &core.Refusal{Status: statusUnavailable, Reason: core.ReasonOverloaded, Outcome: core.NotRun, Message: "the budget of hedges is used up"}
	}
	return nil
}

const statusUnavailable = 503

type cancelMessage struct {
	service string
	id      uint64
}

func (m cancelMessage) apply(d *Dispatcher, now time.Time) {
	delete(d.waiting, m.id)
	if !d.scheduler.Cancel(m.service, m.id) {
		d.scheduler.Release(now, m.id)
		d.poll(now)
	}
}

// Place waits for a target. It returns a refusal when there is none in time.
func (d *Dispatcher) Place(ctx context.Context, ask placement.Ask) (Placement, *core.Refusal) {
	reply := make(chan placement.Decision, 2)
	if err := d.ring.Put(ctx, askMessage{ask: ask, reply: reply}); err != nil {
		return Placement{}, cancelled()
	}
	first := <-reply
	for decision := first; ; {
		switch decision.Verdict {
		case placement.Granted:
			return Placement{ID: decision.ID, Target: decision.Target, Alone: decision.Alone}, nil
		case placement.Refused:
			return Placement{}, decision.Refusal
		case placement.Queued:
		}
		select {
		case decision = <-reply:
		case <-ctx.Done():
			d.tell(context.WithoutCancel(ctx), cancelMessage{service: ask.Service, id: first.ID})
			return Placement{}, cancelled()
		}
	}
}

func cancelled() *core.Refusal {
	const statusClientClosed = 499
	return &core.Refusal{Status: statusClientClosed, Reason: core.ReasonCallerGone, Message: "the caller has hung up", Outcome: core.NotRun}
}

type releaseMessage struct{ id uint64 }

func (m releaseMessage) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Release(now, m.id)
	d.poll(now)
}

// Release frees the slot of a placement.
func (d *Dispatcher) Release(ctx context.Context, p Placement) {
	d.tell(context.WithoutCancel(ctx), releaseMessage{p.ID})
}

type lengthMessage struct {
	workspace, service string
	limit, tokens      int
}

func (m lengthMessage) apply(d *Dispatcher, _ time.Time) {
	d.predictor.Observe(m.workspace, m.service, m.limit, m.tokens)
}

// ObserveLength notes the output of a call that has ended.
func (d *Dispatcher) ObserveLength(workspace, service string, limit, tokens int) {
	d.ring.TryPut(lengthMessage{workspace, service, limit, tokens})
}

type speedMessage struct {
	target string
	signal straggler.Signal
	sample time.Duration
}

func (m speedMessage) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Observe(now, m.target, m.signal, m.sample)
}

// ObserveSpeed notes what a call saw of a target's speed.
func (d *Dispatcher) ObserveSpeed(target string, signal straggler.Signal, sample time.Duration) {
	d.ring.TryPut(speedMessage{target, signal, sample})
}

type loadMessage struct {
	target string
	load   placement.Load
}

func (m loadMessage) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Up(now, m.target)
	d.scheduler.Report(now, m.target, m.load)
	d.poll(now)
}

// ReportLoad notes a load report.
func (d *Dispatcher) ReportLoad(target string, load placement.Load) {
	d.ring.TryPut(loadMessage{target, load})
}

type targetMessage struct {
	target string
	state  TargetState
}

// TargetState is a change of a target that a host has seen.
type TargetState int

// The changes.
const (
	TargetDown TargetState = iota
	TargetLeaving
	TargetReturned
)

func (m targetMessage) apply(d *Dispatcher, now time.Time) {
	switch m.state {
	case TargetDown:
		d.scheduler.Down(now, m.target)
	case TargetLeaving:
		d.scheduler.Left(m.target, true)
	case TargetReturned:
		d.scheduler.Left(m.target, false)
	}
	d.poll(now)
}

// SetTarget notes a change of a target.
func (d *Dispatcher) SetTarget(ctx context.Context, target string, state TargetState) {
	d.tell(context.WithoutCancel(ctx), targetMessage{target, state})
}

type evidenceMessage struct{ evidence quarantine.Evidence }

func (m evidenceMessage) apply(d *Dispatcher, now time.Time) { d.register.Add(now, m.evidence) }

// AddEvidence notes that a target died while it ran a request.
func (d *Dispatcher) AddEvidence(ctx context.Context, e quarantine.Evidence) {
	d.tell(context.WithoutCancel(ctx), evidenceMessage{e})
}

type configMessage struct {
	targets []placement.Target
	options placement.Options
	limits  config.Limits
}

func (m configMessage) apply(d *Dispatcher, now time.Time) {
	d.scheduler.SetOptions(m.options)
	d.scheduler.SetTargets(m.targets)
	d.retries.SetShare(m.limits.RetryShare)
	d.hedges.SetShare(m.limits.HedgeShare)
	d.poll(now)
}

// Configure puts targets and limits in force.
func (d *Dispatcher) Configure(ctx context.Context, targets []placement.Target, options placement.Options, limits config.Limits) {
	d.tell(ctx, configMessage{targets, options, limits})
}

// Snapshot is the state of the duty at one moment.
type Snapshot struct {
	Targets     []placement.TargetState
	Services    map[string]placement.Summary
	Waiting     int
	Quarantined int
}

type snapshotMessage struct {
	services []string
	reply    chan Snapshot
}

func (m snapshotMessage) apply(d *Dispatcher, now time.Time) {
	out := Snapshot{
		Targets: d.scheduler.Dump(now), Services: map[string]placement.Summary{},
		Waiting: len(d.waiting), Quarantined: d.register.Len(),
	}
	for _, name := range m.services {
		out.Services[name] = d.scheduler.Summarise(now, name)
	}
	m.reply <- out
}

// Snapshot returns the state, with a summary for each of the services.
func (d *Dispatcher) Snapshot(ctx context.Context, services ...string) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	if err := d.ring.Put(ctx, snapshotMessage{services, reply}); err != nil {
		return Snapshot{}, err
	}
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

type summaryMessage struct {
	service string
	reply   chan placement.Summary
}

func (m summaryMessage) apply(d *Dispatcher, now time.Time) {
	m.reply <- d.scheduler.Summarise(now, m.service)
}

// Summary tells how busy the targets of a service are.
func (d *Dispatcher) Summary(ctx context.Context, service string) (placement.Summary, error) {
	reply := make(chan placement.Summary, 1)
	if err := d.ring.Put(ctx, summaryMessage{service, reply}); err != nil {
		return placement.Summary{}, err
	}
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return placement.Summary{}, ctx.Err()
	}
}

// Offer notes a change of a target unless the ring is full.
func (d *Dispatcher) Offer(target string, state TargetState) {
	d.ring.TryPut(targetMessage{target, state})
}

// OfferEvidence notes evidence against a request unless the ring is full.
func (d *Dispatcher) OfferEvidence(e quarantine.Evidence) { d.ring.TryPut(evidenceMessage{e}) }

type ownMessage struct{ services map[string]bool }

func (m ownMessage) apply(d *Dispatcher, _ time.Time) { d.scheduler.SetOwned(m.services) }

// SetOwned names the services that this host places calls of for its region.
func (d *Dispatcher) SetOwned(ctx context.Context, services map[string]bool) {
	d.tell(ctx, ownMessage{services})
}
