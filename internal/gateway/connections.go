package gateway

import (
	"net"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/link"
)

// exhaustionLogInterval bounds the log lines on errors that pass.
const exhaustionLogInterval = time.Second

// recordExhaustion counts and logs an error that passes.
func (g *Gateway) recordExhaustion(what string, err error) {
	g.metrics.add("passing_errors_total", 1)
	now := g.clock.Now().UnixNano()
	last := g.exhaustionLoggedAt.Load()
	if now-last < int64(exhaustionLogInterval) || !g.exhaustionLoggedAt.CompareAndSwap(last, now) {
		return
	}
	g.log.Error(err, "An operation failed for now.", "What", what)
}

// retryAccept makes a server go on after an error that passes.
func (g *Gateway) retryAccept(name string, l net.Listener) net.Listener {
	return link.RetryAccept(l, func(err error) { g.recordExhaustion(name, err) })
}
