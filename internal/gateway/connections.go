package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/duty"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// The names of the servers for callers and for other hosts, in logs and metrics.
const (
	callerServer = "caller server"
	peerServer   = "peer server"
)

const (
	// The shares of the process's descriptors that each kind of connection may use. The rest is for
	// connections in use to targets, hosts and the store, for sockets and for files.
	callerShare      = 0.5
	peerShare        = 0.15
	directoryShare   = 0.05
	otherServerShare = 0.02
	idleTargetShare  = 0.15

	// minDescriptors leaves each server some connections.
	minDescriptors = 256
	// connectionSweepInterval is the interval at which unused connections are closed.
	connectionSweepInterval = time.Second
	// exhaustionLogInterval bounds the log lines on a lack of descriptors or memory.
	exhaustionLogInterval = time.Second
	// A dial that fails for want of a descriptor is tried again after reclaimPause, once another
	// connection has been closed.
	reclaimPause    = 2 * time.Millisecond
	maxReclaimDials = 3
)

// newLimiter returns a limiter for a share of the process's descriptors.
func (g *Gateway) newLimiter(name string, share float64, options ...link.LimiterOption) *link.Limiter {
	return link.NewLimiter(g.clock, append(options, link.WithMaxConns(int(share*float64(link.Descriptors(g.settings.MaxDescriptors)))), link.WithIdleTimeout(idleTimeout),
		link.WithOnEvent(func(e link.Event) {
			g.metrics.add(`connections_closed_total{server="`+name+`",reason="`+e.String()+`"}`, 1)
		}))...)
}

// reclaimingNetwork opens connections, and makes room for them when the process has no free descriptor.
type reclaimingNetwork struct {
	link.Network
	gateway *Gateway
}

// DialContext opens a connection.
func (n reclaimingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	for dials := 1; ; dials++ {
		c, err := n.Network.DialContext(ctx, network, address)
		if err == nil || !link.IsExhausted(err) {
			return c, err
		}
		n.gateway.recordExhaustion("connection to "+address, err)
		if dials >= maxReclaimDials || !n.gateway.makeRoom() {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(reclaimPause):
		}
	}
}

// makeRoom closes a connection that is not in use: one to a target, or else that of the caller that has
// been idle for the longest time.
func (g *Gateway) makeRoom() bool { return g.targetPool.CloseOldest() || g.callers.MakeRoom() }

// recordExhaustion counts and logs an error that passes.
func (g *Gateway) recordExhaustion(what string, err error) {
	g.metrics.add("passing_errors_total", 1)
	now := g.clock.Now().UnixNano()
	last := g.exhaustionLoggedAt.Load()
	if now-last < int64(exhaustionLogInterval) || !g.exhaustionLoggedAt.CompareAndSwap(last, now) {
		return
	}
	g.log.Error(err, "An operation failed for now.", "What", what, "Callers", g.callers.Open(), "IdleToTargets", g.targetPool.Idle())
}

// retryAccept makes a server go on after an error that passes.
func (g *Gateway) retryAccept(name string, l net.Listener) net.Listener {
	return link.RetryAccept(l, func(err error) {
		g.recordExhaustion(name, err)
		if link.IsExhausted(err) {
			g.makeRoom()
		}
	})
}

// sweepConnections closes connections that are idle for too long or lead to targets that have left, until
// ctx is done.
func (g *Gateway) sweepConnections(ctx context.Context) error {
	return duty.Every(ctx, g.clock, connectionSweepInterval, func(context.Context) {
		known, ids := map[string]bool{}, map[string]bool{}
		for _, t := range g.catalogue.Snapshot().Targets {
			known[t.Address], ids[t.ID] = true, true
		}
		g.forgetTargetAnswers(func(id string) bool { return ids[id] })
		for _, s := range g.servers {
			s.limiter.Sweep()
		}
		g.targetPool.Sweep(func(address string) bool { return known[address] })
		g.peerPool.Sweep(nil)
		g.controlPool.Sweep(nil)
		g.storePool.Sweep(nil)
	})
}

// limits returns the limits of the configuration in force, none before the first one.
func (g *Gateway) limits() route.Limits {
	if table := g.catalogue.Snapshot().Table; table != nil {
		return table.Limits()
	}
	return route.Limits{}
}

// rejectRequest responds to a request that could not be read.
func (g *Gateway) rejectRequest(server string, ctx *fasthttp.RequestCtx, err error) {
	var tooLong *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &tooLong):
		ctx.Error("the header is too long", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.Error("the body is too long", fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		ctx.Error("the request took too long", fasthttp.StatusRequestTimeout)
	default:
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &timeout) {
			offence, _, _ := strings.Cut(err.Error(), `"`) // the library quotes what it has read, with the caller's key
			g.recordMalformedRequest(server, ctx, offence)
		}
		ctx.Error("the request can't be read", fasthttp.StatusBadRequest)
	}
}

// checkGrammar reports whether the head of a request, and its trailer if that has been read, are in the grammar of HTTP.
// Otherwise it refuses the request, as targets may read it in another way than this host.
func (g *Gateway) checkGrammar(server string, ctx *fasthttp.RequestCtx) bool {
	err := exchange.CheckRequest(&ctx.Request.Header)
	if err == nil {
		return true
	}
	g.recordMalformedRequest(server, ctx, err.Error())
	g.writeHostReply(ctx, reply{status: fasthttp.StatusBadRequest, outcome: core.NotRun, reason: "the request is outside the grammar of HTTP"})
	if server == peerServer {
		ctx.Response.Header.Set(headerArrivals, "0")
	}
	ctx.SetConnectionClose()
	return false
}

// recordMalformedRequest counts and logs a request that is outside the grammar of HTTP.
func (g *Gateway) recordMalformedRequest(server string, ctx *fasthttp.RequestCtx, offence string) {
	g.metrics.add(fmt.Sprintf("malformed_requests_total{server=%q}", server), 1)
	g.log.Info("A request is outside the grammar of HTTP.", "Server", server, "Address", ctx.RemoteAddr().String(), "Offence", offence)
}

// headerExceeds reports whether the header of a request is longer than the configuration allows.
func (g *Gateway) headerExceeds(h *fasthttp.RequestHeader) bool {
	limit := g.limits().MaxHeaderBytes
	return limit > 0 && len(h.RequestURI())+len(h.RawHeaders()) > limit
}
