package gateway

import (
	"context"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

const (
	// doubtPollInterval is the interval at which a host looks for due health checks and doubts
	// to repeat. A new doubt is handled at once.
	doubtPollInterval = 100 * time.Millisecond
	healthTimeout     = 150 * time.Millisecond
	maxHealthChecks   = 16
	maxHealthBytes    = 64 << 10
	// maxDoubtsPerMessage keeps a message below the size of a packet.
	maxDoubtsPerMessage = 32
	signRefused         = "it accepts no connection"
	signBrokenOff       = "a connection broke off"
	signExamined        = "it broke off calls and accepts no connection"
	signSlowOpen        = "a connection took long to open"
)

// doubtProcess records a sign that the process of a target has ended, and tells the host that
// checks the target's health.
func (g *Gateway) doubtProcess(t catalogue.Target, ended bool, sign string) {
	g.mu.Lock()
	doubt, checker, isNew := g.balancer.DoubtProcess(g.clock.Now(), t.ID, t.Incarnation, ended)
	g.mu.Unlock()
	if !isNew {
		return
	}
	g.metrics.add("doubts_total", 1)
	g.log.Info("The process of a target is in doubt.", "Target", t.Incarnation, "Sign", sign, "Number", doubt.Number, "Checker", checker)
	if checker == "" {
		g.wakeHealthChecks()
		return
	}
	g.sendMessage(peerMessage{Doubts: []balance.Doubt{doubt}}, g.membersByName([]string{checker}))
}

// recordSendFailure takes an exchange with a target that failed with its connection as a sign that
// the target's process has ended. A response that is too long or no HTTP is none.
func (g *Gateway) recordSendFailure(t catalogue.Target, err error) {
	kind, _ := failure.KindOf[exchange.Kind](err)
	defer g.suspectPath(t)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.doubtProcess(t, true, signRefused)
	case kind == exchange.Unsent, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		g.doubtProcess(t, false, signBrokenOff)
	}
}

func (g *Gateway) wakeHealthChecks() {
	select {
	case g.doubtsRaised <- struct{}{}:
	default:
	}
}

// checkHealth checks the health of the targets that are assigned to this host and whose process
// is in doubt, and repeats doubts to other hosts, until ctx is done.
func (g *Gateway) checkHealth(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxHealthChecks)
	for {
		g.noticeSuspension()
		g.mu.Lock()
		now := g.clock.Now()
		checks, doubts, statements := g.balancer.DueHealthChecks(now), g.balancer.DueDoubts(now), g.balancer.DueStatements()
		g.mu.Unlock()
		if len(statements) > 0 {
			g.metrics.add("doubts_refuted_total", int64(len(statements)))
			g.log.Info("Targets in doubt make progress with calls.", "Targets", len(statements), "First", statements[0].Target)
			g.sendMessage(peerMessage{Statements: statements}, g.regionPeers())
		}
		for host, list := range doubts {
			for batch := range slices.Chunk(list, maxDoubtsPerMessage) {
				g.sendMessage(peerMessage{Doubts: batch}, g.recipients(host))
			}
		}
		for _, check := range checks {
			group.TryGo(func() error { // if too many are running, the check is due again soon
				g.checkTarget(ctx, check)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-g.doubtsRaised:
		case <-g.clock.After(doubtPollInterval):
		}
	}
}

// checkTarget checks the health of one target and tells other hosts the result.
func (g *Gateway) checkTarget(ctx context.Context, check balance.HealthCheck) {
	cold, err := g.fetchHealth(ctx, check.Target)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		g.mu.Lock()
		isNew := g.balancer.RecordNoHealth(g.clock.Now(), check)
		g.mu.Unlock()
		g.metrics.add(`health_checks_total{result="failed"}`, 1)
		if isNew {
			g.log.Info("A target does not respond to a health check.", "Target", check.Target.Incarnation, "Error", err.Error())
			g.wakeHealthChecks()
		}
		return
	}
	g.mu.Lock()
	statements := g.balancer.RecordHealth(g.clock.Now(), check, cold)
	g.mu.Unlock()
	g.metrics.add(`health_checks_total{result="answered"}`, 1)
	g.log.Info("A target states whether it is cold.", "Target", check.Target.Incarnation, "ColdMs", cold.Milliseconds(), "Recipients", len(statements))
	for host, statement := range statements {
		g.sendMessage(peerMessage{Statements: []balance.Statement{statement}}, g.recipients(host))
	}
}

// recipients returns the named host, or all other hosts of the region if the name is empty.
func (g *Gateway) recipients(host string) []member.Info {
	if host == "" {
		return g.regionPeers()
	}
	return g.membersByName([]string{host})
}

// fetchHealth asks a target for how long it is cold. A target that responds without an ID says
// nothing of its process, so it counts as just started.
func (g *Gateway) fetchHealth(ctx context.Context, t catalogue.Target) (time.Duration, error) {
	service := g.catalogue.Snapshot().Service(t.Service)
	if service == nil {
		return 0, errors.New("the service is not configured")
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetHost(t.Address)
	request.Header.SetRequestURI(service.HealthPath)
	sentAt := g.clock.Now()
	response, err := g.targetPool.Do(ctx, t.Address, request)
	if err != nil {
		return 0, err
	}
	headers := g.protocol.ReadTargetResponse(&response.Header)
	if err := response.Discard(maxHealthBytes); err != nil {
		return 0, err
	}
	g.recordTargetAnswer(t, sentAt, headers.Instance)
	switch headers.Instance {
	case t.ID:
		return headers.ColdRemaining, nil
	case "":
		return max(headers.ColdRemaining, service.ColdStart), nil
	default:
		g.metrics.add("targets_found_replaced_total", 1)
		g.retireTarget(t.ID)
		return 0, errors.Errorf("target %s responds at the address", headers.Instance)
	}
}

// applyDoubts records the doubts of another host.
func (g *Gateway) applyDoubts(host string, doubts []balance.Doubt) {
	g.mu.Lock()
	now := g.clock.Now()
	var isNew []balance.Doubt
	for _, d := range doubts {
		if g.balancer.ApplyDoubt(now, host, d) {
			isNew = append(isNew, d)
		}
	}
	g.mu.Unlock()
	for _, d := range isNew {
		g.log.Info("Another host doubts the process of a target.", "Target", d.Target, "From", host, "Number", d.Number, "Ended", d.Ended)
	}
	g.wakeHealthChecks()
}

// applyStatements records what another host was told by targets.
func (g *Gateway) applyStatements(host string, statements []balance.Statement) {
	g.mu.Lock()
	now := g.clock.Now()
	var ended []balance.Statement
	for _, s := range statements {
		if g.balancer.ApplyStatement(now, s) {
			ended = append(ended, s)
		}
	}
	g.mu.Unlock()
	for _, s := range ended {
		g.log.Info("A target states whether it is cold.", "Target", s.Target, "ColdMs", s.ColdMs, "From", host)
	}
}

// awaitCatchUp waits while this host, which was paused, reads what others have told it meanwhile.
func (c *activeCall) awaitCatchUp() {
	g := c.gateway
	g.noticeSuspension()
	for {
		g.mu.Lock()
		wait := g.balancer.CatchUpTime(g.clock.Now())
		g.mu.Unlock()
		if wait == 0 {
			return
		}
		g.metrics.add("calls_after_pause_total", 1)
		select {
		case <-c.ctx.Done():
			return
		case <-g.clock.After(wait):
		}
	}
}

// checkSend reports why a call may not be sent to its target any more, after the time that it
// took to open a connection, on which peer has answered.
func (a *attempt) checkSend(peer string) error {
	g := a.call.gateway
	openTime := g.clock.Now().Sub(a.sentAt)
	if err := a.checkLocation(peer); err != nil {
		return err
	}
	if problem := a.call.keyProblem(); problem != "" {
		return errors.New(problem)
	}
	if a.call.homesChanged() {
		return errors.New("the homes of the call have changed")
	}
	now := g.clock.Now()
	g.mu.Lock()
	restricted := (!a.admittedCold && g.balancer.Restricted(now, a.choice.Target.ID)) || g.balancer.CatchUpTime(now) > 0
	bounded := g.balancer.CanBeCold(a.choice.Target.ID)
	g.mu.Unlock()
	switch {
	case restricted:
		return errors.New("the target may have restarted")
	case bounded && openTime > balance.MaxOpenTime:
		g.doubtProcess(a.choice.Target, false, signSlowOpen)
		return errors.New("the connection took too long to open")
	default:
		return nil
	}
}
