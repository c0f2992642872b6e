package gateway

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/permission"
)

// defaultReuseTime is how long an address stays free after its target has ended, unless the settings say.
const defaultReuseTime = 2 * time.Second

// minReuseSeconds leaves a host time to ask who is at an address.
const minReuseSeconds = 0.5

// targetAnswer is the last request that a target has answered, by when it was sent.
type targetAnswer struct {
	address string
	askedAt time.Time
}

// recordTargetAnswer records that a target answered a request that was sent to its address at sentAt. A response of
// another target shows nothing.
func (g *Gateway) recordTargetAnswer(t catalogue.Target, sentAt time.Time, responder string) {
	if responder != t.ID {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.targetAnswers[t.ID]; known.address != t.Address || sentAt.After(known.askedAt) {
		g.targetAnswers[t.ID] = targetAnswer{address: t.Address, askedAt: sentAt}
	}
}

// location returns what shows that a target is at its address, where a connection is open on which peer has answered.
func (g *Gateway) location(t catalogue.Target, peer string) permission.Location {
	g.noticeSuspension()
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.targetAnswers[t.ID]
	age := g.clock.Now().Sub(known.askedAt)
	switch {
	case peer == t.ID:
		return permission.Location{Witness: permission.Connected, Age: age}
	case known.address == t.Address && !known.askedAt.IsZero():
		return permission.Location{Witness: permission.Answered, Age: age}
	default:
		return permission.Location{}
	}
}

// checkLocation reports why the body of the call may not be sent on a connection on which peer has answered. If nothing
// shows that the target is there, it is asked first, without the body.
func (a *attempt) checkLocation(peer string) error {
	c, g, t := a.call, a.call.gateway, a.choice.Target
	homes, reuse := c.route.Homes(), g.settings.reuseTime()
	if !homes.Restricted() {
		return nil
	}
	l := g.location(t, peer)
	if !l.Admits(homes, reuse) {
		if err := g.locateTarget(a.ctx, t); err != nil {
			c.addStep("target %s is not shown to be at its address: %v", t.ID, err)
			return err
		}
		l = g.location(t, peer)
	}
	c.located = l
	if !l.Admits(homes, reuse) {
		return errors.New("the target is not shown to be at its address")
	}
	g.metrics.add(fmt.Sprintf("target_proofs_total{witness=%q}", l.Witness), 1)
	return nil
}

// locateTarget asks a target for its ID at its address. Calls that need it at once share the answer.
func (g *Gateway) locateTarget(ctx context.Context, t catalogue.Target) error {
	ended := g.locationQueries.DoChan(t.Incarnation+" "+t.Address, func() (any, error) {
		_, err := g.fetchHealth(context.WithoutCancel(ctx), t) // whose wait is bounded
		result := "answered"
		if err != nil {
			result = "failed"
			if _, ok := failure.KindOf[exchange.Kind](err); ok {
				g.recordSendFailure(t, err)
			}
			g.log.Info("A target is not shown to be at its address.", "Target", t.Incarnation, "Address", t.Address, "Error", err.Error())
		}
		g.metrics.add(fmt.Sprintf("target_location_queries_total{result=%q}", result), 1)
		return nil, err
	})
	select {
	case r := <-ended:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// forgetTargetAnswers forgets the answers of targets that have left.
func (g *Gateway) forgetTargetAnswers(known func(id string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.targetAnswers, func(id string, _ targetAnswer) bool { return !known(id) })
}

// responder returns the ID of the target that gave a response: the one that it states, or else the one that the request
// names, as any other target refuses such a request. It is empty if neither does.
func (g *Gateway) responder(request *fasthttp.RequestHeader, response *fasthttp.ResponseHeader) string {
	stated := g.protocol.ReadTargetResponse(response).Instance
	if stated != "" || response.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return stated
	}
	return g.protocol.ExpectedInstance(request)
}
