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
	queueSize    = 4096
	pollInterval = 25 * time.Millisecond
	retryBurst   = 10
	hedgeBurst   = 2
)

// message is a request or notification that Run applies to the state.
type message interface {
	apply(d *Dispatcher, now time.Time)
}

// Dispatcher owns the placement state. Run is its background task; the other methods
// may be called from any goroutine.
type Dispatcher struct {
	clock clock.Clock
	queue *ring.Queue[message]

	scheduler *placement.Scheduler
	predictor *length.Predictor
	registry  *quarantine.Registry
	retries   *retry.Budget
	hedges    *retry.Budget
	waiting   map[uint64]chan<- placement.Decision // queued calls, by ID
	lastID    uint64
}

// New returns a Dispatcher.
func New(c clock.Clock, options placement.Options, seed uint64) *Dispatcher {
	options.Random = rand.New(rand.NewPCG(seed, seed))
	limits := config.DefaultLimits()
	return &Dispatcher{
		clock: c, queue: ring.New[message](queueSize),
		scheduler: placement.NewScheduler(options),
		predictor: length.NewPredictor(),
		registry:  quarantine.NewRegistry(),
		retries:   retry.NewBudget(limits.RetryShare, retryBurst),
		hedges:    retry.NewBudget(limits.HedgeShare, hedgeBurst),
		waiting:   map[uint64]chan<- placement.Decision{},
	}
}

// Run applies the messages and polls the queued calls until ctx ends. No other
// goroutine accesses the state.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := d.clock.After(pollInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-d.queue.Items():
			m.apply(d, d.clock.Now())
		case <-tick:
			d.poll(d.clock.Now())
			tick = d.clock.After(pollInterval)
		}
	}
}

// poll delivers the decisions on queued calls that have become possible.
func (d *Dispatcher) poll(now time.Time) {
	for _, decision := range d.scheduler.Poll(now) {
		if reply, ok := d.waiting[decision.ID]; ok {
			delete(d.waiting, decision.ID)
			reply <- decision
		}
	}
}

// send queues a message and waits while the queue is full, until ctx ends.
func (d *Dispatcher) send(ctx context.Context, m message) { _ = d.queue.Put(ctx, m) }

// Request is a request for a target, for one attempt of a call.
type Request struct {
	Service   string
	Workspace string
	// MaxTokens is the limit of the output that the request sets, zero for none.
	MaxTokens int
	// LongTokens is the expected output in tokens from which a call is long, zero for the
	// default.
	LongTokens int
	// Digest identifies the request in crash reports.
	Digest string
	Call   placement.Call
	// Kind is the kind of the attempt. Budgets limit the retries and hedges.
	Kind AttemptKind
}

// AttemptKind is the kind of an attempt.
type AttemptKind int

// The kinds of attempts.
const (
	FirstAttempt AttemptKind = iota
	Retry
	Hedge
)

// Placement is a granted slot of a target. Its holder must call Release.
type Placement struct {
	ID       uint64
	Target   placement.Target
	Isolated bool // the target runs no other call meanwhile
}

type prepareResult struct {
	call    placement.Call
	refusal *core.Refusal
}

type prepareMessage struct {
	request Request
	reply   chan prepareResult
}

func (m prepareMessage) apply(d *Dispatcher, now time.Time) {
	call := m.request.Call
	if refusal := d.spendBudget(m.request.Kind); refusal != nil {
		m.reply <- prepareResult{refusal: refusal}
		return
	}
	switch d.registry.Status(now, m.request.Digest) {
	case quarantine.Quarantined:
		m.reply <- prepareResult{refusal: &core.Refusal{
			Status: statusUnprocessable, Reason: core.ReasonQuarantined, Outcome: core.NotRun,
			Message: "the request has ended two targets and is not run again",
		}}
		return
	case quarantine.Suspected:
		call.Isolated = true
	case quarantine.Clear:
	}
	prediction := d.predictor.Predict(m.request.Workspace, m.request.Service, m.request.MaxTokens, m.request.LongTokens)
	call.Service, call.Workspace = m.request.Service, m.request.Workspace
	call.Class, call.Tokens = prediction.Class, prediction.Tokens
	m.reply <- prepareResult{call: call}
}

// Prepare checks the budgets and the quarantine before a call is placed, and returns
// the call with its predicted length. A suspected request is marked as isolated.
func (d *Dispatcher) Prepare(ctx context.Context, request Request) (placement.Call, *core.Refusal) {
	reply := make(chan prepareResult, 1)
	if err := d.queue.Put(ctx, prepareMessage{request: request, reply: reply}); err != nil {
		return placement.Call{}, cancelledRefusal()
	}
	out := <-reply
	return out.call, out.refusal
}

type placeMessage struct {
	call  placement.Call
	reply chan placement.Decision
}

func (m placeMessage) apply(d *Dispatcher, now time.Time) {
	d.lastID++
	m.call.ID = d.lastID
	decision := d.scheduler.Submit(now, m.call)
	if decision.Verdict == placement.Queued {
		d.waiting[m.call.ID] = m.reply
	}
	m.reply <- decision
}

const statusUnprocessable = 422

// spendBudget counts a first attempt, or takes a retry or hedge from its budget. It
// returns a refusal if the budget is used up.
func (d *Dispatcher) spendBudget(kind AttemptKind) *core.Refusal {
	switch {
	case kind == FirstAttempt:
		d.retries.Deposit()
		d.hedges.Deposit()
	case kind == Retry && !d.retries.TryWithdraw():
		return &core.Refusal{Status: statusUnavailable, Reason: core.ReasonOverloaded, Outcome: core.NotRun, Message: "the budget of retries is used up", RetryAfter: 1}
	case kind == Hedge && !d.hedges.TryWithdraw():
		return &core.Refusal{Status: statusUnavailable, Reason: core.ReasonOverloaded, Outcome: core.NotRun, Message: "the budget of hedges is used up"}
	}
	return nil
}

const statusUnavailable = 503

type cancelMessage struct {
	service string
	id      uint64
}

// apply removes a queued call, or releases its slot if it was granted meanwhile.
func (m cancelMessage) apply(d *Dispatcher, now time.Time) {
	delete(d.waiting, m.id)
	if !d.scheduler.Cancel(m.service, m.id) {
		d.scheduler.Release(now, m.id)
		d.poll(now)
	}
}

// Place waits for a target. It returns a refusal if the scheduler refuses the call,
// as when its deadline passes, or if ctx ends.
func (d *Dispatcher) Place(ctx context.Context, call placement.Call) (Placement, *core.Refusal) {
	// A queued call gets two replies: that it is queued, and the decision.
	reply := make(chan placement.Decision, 2)
	if err := d.queue.Put(ctx, placeMessage{call: call, reply: reply}); err != nil {
		return Placement{}, cancelledRefusal()
	}
	first := <-reply
	for decision := first; ; {
		switch decision.Verdict {
		case placement.Granted:
			return Placement{ID: decision.ID, Target: decision.Target, Isolated: decision.Isolated}, nil
		case placement.Refused:
			return Placement{}, decision.Refusal
		case placement.Queued:
		}
		select {
		case decision = <-reply:
		case <-ctx.Done():
			d.send(context.WithoutCancel(ctx), cancelMessage{service: call.Service, id: first.ID})
			return Placement{}, cancelledRefusal()
		}
	}
}

func cancelledRefusal() *core.Refusal {
	const statusClientClosed = 499
	return &core.Refusal{Status: statusClientClosed, Reason: core.ReasonCallerGone, Message: "the caller has hung up", Outcome: core.NotRun}
}

type releaseMessage struct{ id uint64 }

func (m releaseMessage) apply(d *Dispatcher, now time.Time) {
	d.scheduler.Release(now, m.id)
	d.poll(now)
}

// Release frees the slot of a placement. It does so even if ctx has ended.
func (d *Dispatcher) Release(ctx context.Context, p Placement) {
	d.send(context.WithoutCancel(ctx), releaseMessage{p.ID})
}

type lengthMessage struct {
	workspace, service string
	maxTokens, tokens  int
}

func (m lengthMessage) apply(d *Dispatcher, _ time.Time) {
	d.predictor.Observe(m.workspace, m.service, m.maxTokens, m.tokens)
}

// ObserveLength records the output of a call that has ended, in tokens. It drops the
// sample if the queue is full.
func (d *Dispatcher) ObserveLength(workspace, service string, maxTokens, tokens int) {
	d.queue.TryPut(lengthMessage{workspace, service, maxTokens, tokens})
}

type speedMessage struct {
	target string
	signal straggler.Signal
	sample time.Duration
}

func (m speedMessage) apply(d *Dispatcher, now time.Time) {
	d.scheduler.ObserveSpeed(now, m.target, m.signal, m.sample)
}

// ObserveSpeed records a sample of a target's speed. It drops the sample if the queue
// is full.
func (d *Dispatcher) ObserveSpeed(target string, signal straggler.Signal, sample time.Duration) {
	d.queue.TryPut(speedMessage{target, signal, sample})
}

type loadMessage struct {
	target string
	load   placement.Load
}

func (m loadMessage) apply(d *Dispatcher, now time.Time) {
	d.scheduler.MarkUp(now, m.target)
	d.scheduler.ReportLoad(now, m.target, m.load)
	d.poll(now)
}

// ReportLoad applies a load report of a target, which also shows that the target is
// up. It drops the report if the queue is full.
func (d *Dispatcher) ReportLoad(target string, load placement.Load) {
	d.queue.TryPut(loadMessage{target, load})
}

type targetMessage struct {
	target string
	state  TargetState
}

// TargetState is a change of the state of a target.
type TargetState int

// The changes.
const (
	// TargetDown means that the target is not reachable.
	TargetDown TargetState = iota
	// TargetLeaving means that the target accepts no new calls.
	TargetLeaving
	// TargetReturned means that the target is no longer leaving.
	TargetReturned
)

func (m targetMessage) apply(d *Dispatcher, now time.Time) {
	switch m.state {
	case TargetDown:
		d.scheduler.MarkDown(now, m.target)
	case TargetLeaving:
		d.scheduler.SetLeaving(m.target, true)
	case TargetReturned:
		d.scheduler.SetLeaving(m.target, false)
	}
	d.poll(now)
}

// SetTargetState applies a change of a target, even if ctx has ended.
func (d *Dispatcher) SetTargetState(ctx context.Context, target string, state TargetState) {
	d.send(context.WithoutCancel(ctx), targetMessage{target, state})
}

type crashMessage struct{ report quarantine.CrashReport }

func (m crashMessage) apply(d *Dispatcher, now time.Time) { d.registry.Add(now, m.report) }

// AddCrashReport records that a target crashed while it ran a request, even if ctx
// has ended.
func (d *Dispatcher) AddCrashReport(ctx context.Context, report quarantine.CrashReport) {
	d.send(context.WithoutCancel(ctx), crashMessage{report})
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

// Configure replaces the targets, the options and the limits.
func (d *Dispatcher) Configure(ctx context.Context, targets []placement.Target, options placement.Options, limits config.Limits) {
	d.send(ctx, configMessage{targets, options, limits})
}

// Snapshot is the placement state at one moment.
type Snapshot struct {
	Targets     []placement.TargetState
	Services    map[string]placement.Summary
	Waiting     int // queued calls
	Quarantined int // requests with crash reports
}

type snapshotMessage struct {
	services []string
	reply    chan Snapshot
}

func (m snapshotMessage) apply(d *Dispatcher, now time.Time) {
	out := Snapshot{
		Targets: d.scheduler.Dump(now), Services: map[string]placement.Summary{},
		Waiting: len(d.waiting), Quarantined: d.registry.Len(),
	}
	for _, name := range m.services {
		out.Services[name] = d.scheduler.Summarise(now, name)
	}
	m.reply <- out
}

// Snapshot returns the state, with a summary for each of the services.
func (d *Dispatcher) Snapshot(ctx context.Context, services ...string) (Snapshot, error) {
	reply := make(chan Snapshot, 1)
	if err := d.queue.Put(ctx, snapshotMessage{services, reply}); err != nil {
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

// Summary returns the load of the targets of a service.
func (d *Dispatcher) Summary(ctx context.Context, service string) (placement.Summary, error) {
	reply := make(chan placement.Summary, 1)
	if err := d.queue.Put(ctx, summaryMessage{service, reply}); err != nil {
		return placement.Summary{}, err
	}
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return placement.Summary{}, ctx.Err()
	}
}

// TrySetTargetState applies a change of a target unless the queue is full. It doesn't
// block.
func (d *Dispatcher) TrySetTargetState(target string, state TargetState) {
	d.queue.TryPut(targetMessage{target, state})
}

// TryAddCrashReport records a crash report unless the queue is full. It doesn't block.
func (d *Dispatcher) TryAddCrashReport(report quarantine.CrashReport) {
	d.queue.TryPut(crashMessage{report})
}

type ownedMessage struct{ services map[string]bool }

func (m ownedMessage) apply(d *Dispatcher, _ time.Time) { d.scheduler.SetOwned(m.services) }

// SetOwned sets the services for which this host places the calls of its region.
func (d *Dispatcher) SetOwned(ctx context.Context, services map[string]bool) {
	d.send(ctx, ownedMessage{services})
}
