// Package hangup detects callers that disconnect while their call runs, since the HTTP
// server doesn't notify its handlers of this.
package hangup

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/duty"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
)

const checkInterval = 200 * time.Millisecond

// Watcher checks the connections of running calls periodically. It is safe for concurrent
// use.
type Watcher struct {
	mu    sync.Mutex
	conns map[net.Conn]context.CancelFunc
}

// NewWatcher returns a Watcher without connections.
func NewWatcher() *Watcher { return &Watcher{conns: map[net.Conn]context.CancelFunc{}} }

// Add calls cancel when the peer of the connection disconnects, until the returned function
// is called. The connection must not be read in between.
func (w *Watcher) Add(c net.Conn, cancel context.CancelFunc) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = cancel
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c)
	}
}

// Run is the background task that checks the connections until ctx ends.
func (w *Watcher) Run(ctx context.Context, c clock.Clock) error {
	return duty.Every(ctx, c, checkInterval, func(context.Context) { w.checkAll() })
}

// checkAll cancels the calls whose connection was closed by its peer.
func (w *Watcher) checkAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, cancel := range w.conns {
		if open, _ := exchange.Peek(c); !open {
			cancel()
			delete(w.conns, c)
		}
	}
}

// Len returns the number of connections that are checked, one per running call.
func (w *Watcher) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}
