// Package hangup notices callers that hang up while their call runs, which the
// HTTP server does not tell its handlers.
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

const interval = 200 * time.Millisecond

// Watcher looks at the connections of running calls from time to time.
type Watcher struct {
	mu    sync.Mutex
	conns map[net.Conn]context.CancelFunc
}

// NewWatcher returns an empty Watch.
func NewWatcher() *Watcher { return &Watcher{conns: map[net.Conn]context.CancelFunc{}} }

// Add calls gone when the peer of the connection hangs up, until the returned
// function is called. The connection must not be read in between.
func (w *Watcher) Add(c net.Conn, gone context.CancelFunc) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = gone
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, c)
	}
}

// Run is the duty that looks at the connections.
func (w *Watcher) Run(ctx context.Context, c clock.Clock) error {
	return duty.Every(ctx, c, interval, func(context.Context) { w.look() })
}

func (w *Watcher) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, gone := range w.conns {
		if open, _ := exchange.Peek(c); !open {
			gone()
			delete(w.conns, c)
		}
	}
}

// Len returns the number of running calls.
func (w *Watcher) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}
