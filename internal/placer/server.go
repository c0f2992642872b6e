package placer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
)

const (
	answerWithin = 200 * time.Millisecond // of an ask, be it that it is pending
	maxAsks      = 100_000
	forgetAfter  = 30 * time.Second // an ask that nobody asks for again
)

// Server is the placing host's side.
type Server struct {
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	mu         sync.Mutex
	asks       map[string]*pendingAsk
}

type pendingAsk struct {
	host    string
	cancel  context.CancelFunc
	done    chan struct{}
	asked   time.Time
	ended   bool // the asking host has settled it
	granted bool
	placed  dispatch.Placement
	refusal *core.Refusal
}

// NewServer returns a Server that places by the dispatcher.
func NewServer(d *dispatch.Dispatcher, c clock.Clock) *Server {
	return &Server{dispatcher: d, clock: c, asks: map[string]*pendingAsk{}}
}

// Place answers an ask: with a target, a refusal, or that it is pending.
func (s *Server) Place(ctx context.Context, data []byte) (any, error) {
	var body askBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	a := s.find(ctx, body)
	if a == nil {
		return answerBody{Refusal: &core.Refusal{
			Status: statusUnavailable, Reason: core.ReasonOverloaded, Outcome: core.NotRun, Message: "too many calls wait", RetryAfter: 1,
		}}, nil
	}
	answer := answerBody{Pending: true}
	select {
	case <-a.done:
		s.mu.Lock()
		answer = answerBody{Refusal: a.refusal, Alone: a.placed.Isolated}
		if a.granted {
			answer.Target = &a.placed.Target
		} else {
			delete(s.asks, body.ID)
		}
		s.mu.Unlock()
	case <-s.clock.After(answerWithin):
	}
	summary, err := s.dispatcher.Summary(ctx, body.Service)
	answer.Summary = summary
	return answer, err
}

const statusUnavailable = 503

// find returns the ask with the body's ID, which it begins if there is none.
func (s *Server) find(ctx context.Context, body askBody) *pendingAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if a := s.asks[body.ID]; a != nil {
		a.asked = now
		return a
	}
	if len(s.asks) >= maxAsks {
		return nil
	}
	placing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a := &pendingAsk{host: body.Host, cancel: cancel, done: make(chan struct{}), asked: now}
	s.asks[body.ID] = a
	go s.run(placing, body, a, now)
	return a
}

func (s *Server) run(ctx context.Context, body askBody, a *pendingAsk, now time.Time) {
	placed, refusal := s.dispatcher.Place(ctx, body.ask(now))
	s.mu.Lock()
	defer s.mu.Unlock()
	a.placed, a.refusal, a.granted = placed, refusal, refusal == nil
	close(a.done)
	if a.ended && a.granted {
		s.dispatcher.Release(ctx, placed)
	}
}

// Settle takes what a host tells of its calls.
func (s *Server) Settle(ctx context.Context, data []byte) error {
	var body settleBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrap(err, "settle")
	}
	for _, id := range body.Ended {
		s.end(ctx, id)
	}
	for _, x := range body.Samples {
		s.dispatcher.ObserveSpeed(x.Target, x.Signal, time.Duration(x.Micros)*time.Microsecond)
	}
	return nil
}

func (s *Server) end(ctx context.Context, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(ctx, id)
}

func (s *Server) endLocked(ctx context.Context, id string) {
	a := s.asks[id]
	if a == nil {
		return
	}
	delete(s.asks, id)
	a.ended = true
	a.cancel()
	if a.granted {
		s.dispatcher.Release(ctx, a.placed)
	}
}

// Sweep ends the asks of hosts that are gone, and those that no host has asked
// for again.
func (s *Server) Sweep(ctx context.Context, gone func(host string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for id, a := range s.asks {
		if gone(a.host) || (!a.granted && now.Sub(a.asked) > forgetAfter) {
			s.endLocked(ctx, id)
		}
	}
}

// Granted returns the number of grants that are held by other hosts.
func (s *Server) Granted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.asks {
		if a.granted {
			n++
		}
	}
	return n
}
