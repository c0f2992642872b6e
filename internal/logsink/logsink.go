// Package logsink writes log lines asynchronously, so that logging never blocks. Lines are
// put in a bounded queue; when it is full, they are dropped and counted.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sequoiarack/sequoiarack/internal/ring"
)

// queueSize is the maximum number of queued lines.
const queueSize = 4096

// Sink is a writer for loggers. It is safe for concurrent use.
type Sink struct {
	to      io.Writer
	lines   *ring.Queue[[]byte]
	dropped atomic.Int64
}

// New returns a Sink that writes to a writer while Run runs.
func New(to io.Writer) *Sink { return &Sink{to: to, lines: ring.New[[]byte](queueSize)} }

// Write queues a copy of one line, or drops it if the queue is full. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPut(append([]byte(nil), line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since Run writes each line without buffering.
func (s *Sink) Sync() error { return nil }

// Run is the background task that writes the queued lines. When ctx ends, it writes those
// that remain and returns.
func (s *Sink) Run(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines.Items():
			s.write(line)
		case <-ctx.Done():
			for s.lines.Len() > 0 {
				s.write(<-s.lines.Items())
			}
			return nil
		}
	}
}

// write writes one line, preceded by a line with the number of dropped lines, if any.
func (s *Sink) write(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.to, "{\"level\":\"info\",\"logger\":\"logsink\",\"msg\":\"Log lines were dropped.\",\"Lines\":%d}\n", n)
	}
	_, _ = s.to.Write(line) // a failure of the log can't be reported anywhere
}

// Discard is a logger for an HTTP server that discards its messages about broken
// connections.
type Discard struct{}

// Printf does nothing.
func (Discard) Printf(string, ...any) {}
