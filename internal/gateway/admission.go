package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// maxDenials is the number of denials after which a call is sent only to targets that have no
// limit.
const maxDenials = 3

// admissionQuery asks the host that a target is assigned to whether a call may be sent there.
type admissionQuery struct {
	ID       uint64 `cbor:"1,keyasint"`
	Target   string `cbor:"2,keyasint"`
	Priority int    `cbor:"3,keyasint"`
}

// admissionReply answers the admissionQuery with the same ID. If the call is denied, the target
// may have room after WaitMs.
type admissionReply struct {
	ID      uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	WaitMs  int64  `cbor:"3,keyasint,omitempty"`
}

// The results of admissions, for metrics.
const (
	admissionGranted    = "granted"
	admissionDenied     = "denied"
	admissionUnanswered = "unanswered"
)

// admit reports whether the call may be sent to a target. If the target has a limit, this host
// decides, or the host that the target is assigned to.
func (c *activeCall) admit(t catalogue.Target) bool {
	g := c.gateway
	g.mu.Lock()
	limited := g.balancer.Limited(t.ID) || g.balancer.Brittle(g.clock.Now(), t.ID)
	admission := g.balancer.Admit(g.clock.Now(), t.ID, c.work.Priority)
	g.mu.Unlock()
	if !limited {
		if !admission.Granted {
			g.metrics.add("cold_denied_sends_total", 1)
		}
		return admission.Granted
	}
	result := admissionDenied
	if admission.Owner != "" {
		var answered bool
		if admission, answered = c.queryAdmission(admission.Owner, t.ID); !answered {
			result = admissionUnanswered
		}
	}
	if admission.Granted {
		result = admissionGranted
	}
	g.metrics.add(fmt.Sprintf("limit_admissions_total{result=%q}", result), 1)
	if admission.Granted {
		return true
	}
	if len(c.diverted) == 0 {
		g.metrics.add("limit_diverted_calls_total", 1)
	}
	c.diverted = append(c.diverted, t.ID)
	return false
}

// queryAdmission asks the host that a target is assigned to for the admission of the call. It
// returns false if that host does not answer in time.
func (c *activeCall) queryAdmission(owner, target string) (balance.Admission, bool) {
	g := c.gateway
	askedAt := g.clock.Now()
	id, replies := g.admissionReplies.expect(1)
	defer g.admissionReplies.forget(id)
	g.sendMessage(peerMessage{AdmissionQuery: &admissionQuery{ID: id, Target: target, Priority: c.work.Priority}}, g.membersByName([]string{owner}))
	select {
	case r := <-replies:
		g.mu.Lock()
		defer g.mu.Unlock()
		reply := balance.Admission{Granted: r.Granted, Wait: time.Duration(r.WaitMs) * time.Millisecond}
		return g.balancer.AcceptReply(g.clock.Now(), askedAt, target, c.work.Priority, reply), true
	case <-g.clock.After(balance.AdmissionTimeout):
	case <-c.ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RecordNoAnswer(g.clock.Now(), target, c.work.Priority)
	return balance.Admission{}, false
}

// answerAdmissionQuery answers the query of another host.
func (g *Gateway) answerAdmissionQuery(host string, q admissionQuery) {
	g.mu.Lock()
	admission := g.balancer.AdmitFor(g.clock.Now(), host, q.Target, q.Priority)
	g.mu.Unlock()
	g.sendMessage(peerMessage{AdmissionReply: &admissionReply{ID: q.ID, Granted: admission.Granted, WaitMs: admission.Wait.Milliseconds()}}, g.membersByName([]string{host}))
}

// limitWait returns how long a caller should wait for room at the targets with a limit that the
// call may be sent to, 0 if there are none. The caller holds g.mu.
func (c *activeCall) limitWait(now time.Time) time.Duration {
	wait, _ := c.gateway.balancer.LimitWait(now, c.service) // 0 if there is none
	return wait
}

// countLimitRefusal counts a call that is refused because targets are at their limits.
func (c *activeCall) countLimitRefusal() {
	g := c.gateway
	g.metrics.add("limit_refused_calls_total", 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.QueueForLimit(g.clock.Now(), c.service)
}

// recordLimit records what a target says about its limit in the response to a request that was
// sent at sentAt, and tells the other hosts of the region of a change.
func (g *Gateway) recordLimit(t catalogue.Target, sentAt time.Time, s balance.LimitStatement) {
	if s.Limited {
		g.metrics.add("limit_statements_total", 1)
	}
	g.mu.Lock()
	now := g.clock.Now()
	change, changed := g.balancer.RecordLimit(now, sentAt, t.ID, t.Incarnation, s)
	if !changed {
		g.mu.Unlock()
		return
	}
	report, reported := g.balancer.LimitReportFor(now, t.ID)
	g.mu.Unlock()
	g.logLimitChange(change)
	if reported {
		g.sendMessage(peerMessage{Limit: &report}, g.regionPeers())
	}
}

// recordBrittle records what a response to a request that was sent at sentAt says about whether the
// target is brittle, and tells the other hosts of the region of a change.
func (g *Gateway) recordBrittle(t catalogue.Target, sentAt time.Time, s balance.BrittleStatement) {
	g.mu.Lock()
	report, changed := g.balancer.RecordBrittle(g.clock.Now(), sentAt, t.ID, s)
	g.mu.Unlock()
	if !changed {
		return
	}
	g.log.Info("A target states whether it is brittle.", "Target", t.Incarnation, "Brittle", s.Brittle, "Tolerated", s.Tolerated, "AgeMs", report.AgeMs)
	g.sendMessage(peerMessage{Brittle: []balance.BrittleReport{report}}, g.regionPeers())
}

// recordRefusal records that a target has turned a call away, and tells the other hosts of the region
// if it is brittle.
func (g *Gateway) recordRefusal(t catalogue.Target) {
	g.mu.Lock()
	report, brittle := g.balancer.RecordRefusal(g.clock.Now(), t.ID)
	g.mu.Unlock()
	if !brittle {
		return
	}
	g.metrics.add("brittle_refusals_total", 1)
	g.log.Info("A brittle target turned a call away.", "Target", t.Incarnation, "Tolerated", report.Tolerated)
	g.sendMessage(peerMessage{Brittle: []balance.BrittleReport{report}}, g.regionPeers())
}

// applyBrittle records the reports of another host.
func (g *Gateway) applyBrittle(host string, reports []balance.BrittleReport) {
	g.mu.Lock()
	now := g.clock.Now()
	for _, r := range reports {
		g.balancer.ApplyBrittle(now, r)
	}
	g.mu.Unlock()
	for _, r := range reports {
		g.log.Info("Another host reports a brittle target.", "Target", r.Target, "From", host, "Brittle", r.Brittle, "Tolerated", r.Tolerated, "Refused", r.Refused, "AgeMs", r.AgeMs)
	}
}

// handleLimitReport records the report of another host, whatever the order in which its messages
// arrive: reports state when they were made.
func (g *Gateway) handleLimitReport(host string, l balance.LimitReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLimitReport(g.clock.Now(), host, l)
}

// applyLimitReport records the report of another host. The caller holds g.mu.
func (g *Gateway) applyLimitReport(now time.Time, host string, l balance.LimitReport) {
	if change, changed := g.balancer.ApplyLimitReport(now, host, l); changed {
		g.logLimitChange(change)
	}
}

func (g *Gateway) logLimitChange(c balance.LimitChange) {
	g.log.Info("A target changed its limit.", "Target", c.Target, "Limited", c.Now.Limited, "PerSecond", c.Now.PerSecond,
		"WasLimited", c.Before.Limited, "WasPerSecond", c.Before.PerSecond, "AgeMs", c.Age.Milliseconds(), "From", c.From)
}

// countLimitedSend counts a request to a target that has a limit, by its kind. The caller holds
// g.mu.
func (g *Gateway) countLimitedSend(target, kind string) {
	if g.balancer.Limited(target) {
		g.metrics.add(fmt.Sprintf("limited_sends_total{kind=%q}", kind), 1)
	}
}

// lendLimits lends this host's shares of limits to the hosts that the targets are assigned to,
// until ctx is done.
func (g *Gateway) lendLimits(ctx context.Context) error {
	for {
		g.mu.Lock()
		loans, interval := g.balancer.DueLoans(g.clock.Now()), g.balancer.LendInterval()
		g.mu.Unlock()
		for host, list := range loans {
			g.sendMessage(peerMessage{Loans: list}, g.membersByName([]string{host}))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(interval):
		}
	}
}

// applyLoans records the loans of another host and acknowledges those of targets that are
// assigned to this host.
func (g *Gateway) applyLoans(host string, loans []balance.Loan) {
	var acks []balance.LimitReport
	g.mu.Lock()
	now := g.clock.Now()
	for _, loan := range loans {
		g.applyLimitReport(now, host, loan.Report)
		if ack, ok := g.balancer.ApplyLoan(now, host, loan); ok {
			acks = append(acks, ack)
		}
	}
	g.mu.Unlock()
	if len(acks) > 0 {
		g.sendMessage(peerMessage{LoanAcks: acks}, g.membersByName([]string{host}))
	}
}

// applyLoanAcks records the acknowledgements of another host.
func (g *Gateway) applyLoanAcks(host string, acks []balance.LimitReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, ack := range acks {
		g.balancer.RecordAck(now, host, ack)
		g.applyLimitReport(now, host, ack)
	}
}
