// Package duty runs the background tasks of a process: goroutines that run until their
// context ends. Each task sends its result on a channel that the owner of its Group reads.
package duty

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/clock"
)

// Result is the result of a background task. Err is nil after a clean stop.
type Result struct {
	Name string
	Err  error
}

// Group is a set of background tasks.
type Group struct {
	group   *errgroup.Group
	ctx     context.Context
	results chan Result
}

// NewGroup returns a Group of at most size tasks. The context of the tasks ends when ctx
// ends or one of them fails.
func NewGroup(ctx context.Context, size int) *Group {
	group, ctx := errgroup.WithContext(ctx)
	return &Group{group: group, ctx: ctx, results: make(chan Result, size)}
}

// Go starts a task.
func (g *Group) Go(name string, run func(context.Context) error) {
	g.group.Go(func() error {
		err := run(g.ctx)
		g.results <- Result{Name: name, Err: err}
		return err
	})
}

// LogFailures logs each task that fails, until done is closed.
func (g *Group) LogFailures(done <-chan struct{}, log logr.Logger) {
	for {
		select {
		case <-done:
			return
		case result := <-g.results:
			if result.Err != nil {
				log.Error(result.Err, "A background task failed.", "Duty", result.Name)
			}
		}
	}
}

// Wait waits for all tasks and returns the first error.
func (g *Group) Wait() error { return g.group.Wait() }

// Every calls task at once and then repeatedly, with a pause of interval after each call,
// until ctx ends. It returns nil.
func Every(ctx context.Context, c clock.Clock, interval time.Duration, task func(context.Context)) error {
	for {
		task(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-c.After(interval):
		}
	}
}
