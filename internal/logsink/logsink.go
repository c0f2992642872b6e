// Package logsink writes log lines without ever holding up those who log: lines
// wait in a bounded ring, and those that find it full are counted and dropped.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sequoiarack/sequoiarack/internal/ring"
)

// maxLines bounds the lines that wait.
const maxLines = 4096

// Sink is a writer for loggers. It is safe for concurrent use.
type Sink struct {
	to      io.Writer
	lines   *ring.Queue[[]byte]
	dropped atomic.Int64
}

// New returns a Sink whose duty writes to a writer.
func New(to io.Writer) *Sink { return &Sink{to: to, lines: ring.New[[]byte](maxLines)} }

// Write takes one line. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPut(append([]byte(nil), line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the duty writes each line as it comes.
func (s *Sink) Sync() error { return nil }

// Run is the duty that writes the lines, until ctx ends and none waits.
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

func (s *Sink) write(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.to, "{\"level\":\"info\",\"logger\":\"logsink\",\"msg\":\"Lines were dropped.\",\"Lines\":%d}\n", n)
	}
	_, _ = s.to.Write(line) // nobody is left to tell of a failure
}

// Discard drops what an HTTP server says of connections that break off.
type Discard struct{}

// Printf does nothing.
func (Discard) Printf(string, ...any) {}
