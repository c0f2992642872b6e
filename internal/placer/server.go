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
	longPollTimeout = 200 * time.Millisecond // after which a request without a decision is reported as pending
	maxPlacements   = 100_000
	abandonAfter    = 30 * time.Second // since the last poll, without a grant
)

// Server handles the placement requests of other hosts on the placing host.
type Server struct {
	dispatcher *dispatch.Dispatcher
	clock      clock.Clock
	mu         sync.Mutex
	placements map[string]*placementState
}

// placementState is the state of a placement request from another host.
type placementState struct {
	host         string
	cancel       context.CancelFunc
	done         chan struct{}
	lastPolledAt time.Time
	settled      bool // ended or abandoned, so that a later grant is released at once
	granted      bool
	placed       dispatch.Placement
	refusal      *core.Refusal
}

// NewServer returns a Server that places calls with the dispatcher.
func NewServer(d *dispatch.Dispatcher, c clock.Clock) *Server {
	return &Server{dispatcher: d, clock: c, placements: map[string]*placementState{}}
}

// Place handles an encoded placeRequest. It responds with a target, a refusal, or,
// after longPollTimeout, that the request is pending.
func (s *Server) Place(ctx context.Context, data []byte) (any, error) {
	var request placeRequest
	if err := json.Unmarshal(data, &request); err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	p := s.findOrStart(ctx, request)
	if p == nil {
		return placeResponse{Refusal: &core.Refusal{
			Status: statusUnavailable, Reason: core.ReasonOverloaded, Outcome: core.NotRun, Message: "too many calls wait", RetryAfter: 1,
		}}, nil
	}
	response := placeResponse{Pending: true}
	select {
	case <-p.done:
		s.mu.Lock()
		response = placeResponse{Refusal: p.refusal, Alone: p.placed.Isolated}
		if p.granted {
			response.Target = &p.placed.Target
		} else {
			delete(s.placements, request.ID)
		}
		s.mu.Unlock()
	case <-s.clock.After(longPollTimeout):
	}
	summary, err := s.dispatcher.Summary(ctx, request.Service)
	response.Summary = summary
	return response, err
}

const statusUnavailable = 503

// findOrStart returns the state of the request with the ID, and starts placing the
// call if there is none. It returns nil if there are too many requests.
func (s *Server) findOrStart(ctx context.Context, request placeRequest) *placementState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if p := s.placements[request.ID]; p != nil {
		p.lastPolledAt = now
		return p
	}
	if len(s.placements) >= maxPlacements {
		return nil
	}
	placeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &placementState{host: request.Host, cancel: cancel, done: make(chan struct{}), lastPolledAt: now}
	s.placements[request.ID] = p
	go s.place(placeCtx, request, p, now)
	return p
}

func (s *Server) place(ctx context.Context, request placeRequest, p *placementState, now time.Time) {
	placed, refusal := s.dispatcher.Place(ctx, request.call(now))
	s.mu.Lock()
	defer s.mu.Unlock()
	p.placed, p.refusal, p.granted = placed, refusal, refusal == nil
	close(p.done)
	if p.settled && p.granted {
		s.dispatcher.Release(ctx, placed)
	}
}

// Settle handles an encoded settleRequest: it ends placements and records latencies.
func (s *Server) Settle(ctx context.Context, data []byte) error {
	var request settleRequest
	if err := json.Unmarshal(data, &request); err != nil {
		return errors.Wrap(err, "settle")
	}
	for _, id := range request.Ended {
		s.end(ctx, id)
	}
	for _, sample := range request.Samples {
		s.dispatcher.ObserveSpeed(sample.Target, sample.Signal, time.Duration(sample.Micros)*time.Microsecond)
	}
	return nil
}

func (s *Server) end(ctx context.Context, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(ctx, id)
}

func (s *Server) endLocked(ctx context.Context, id string) {
	p := s.placements[id]
	if p == nil {
		return
	}
	delete(s.placements, id)
	p.settled = true
	p.cancel()
	if p.granted {
		s.dispatcher.Release(ctx, p.placed)
	}
}

// Sweep ends the placements of hosts that are gone, and pending requests that were
// not polled for abandonAfter.
func (s *Server) Sweep(ctx context.Context, gone func(host string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for id, p := range s.placements {
		if gone(p.host) || (!p.granted && now.Sub(p.lastPolledAt) > abandonAfter) {
			s.endLocked(ctx, id)
		}
	}
}

// Granted returns the number of targets granted to calls of other hosts.
func (s *Server) Granted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.placements {
		if p.granted {
			n++
		}
	}
	return n
}
