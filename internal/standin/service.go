package standin

import (
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

// Service stands in for a plain service that takes bookings. It does not
// recognise a repeated idempotency key: it counts the effects for each key, so that a test
// detects a call that was executed twice.
type Service struct {
	*Server

	mu      sync.Mutex
	effects map[string]int
	total   int
}

type bookingResponse struct {
	Key     string `json:"Key"`
	Booking int    `json:"Booking"`
	Effects int    `json:"Effects"`
}

// NewService returns a service without bookings.
func NewService() *Service {
	s := &Service{effects: map[string]int{}}
	s.Server = newServer(s.serveService)
	return s
}

// Effects returns the number of executed bookings by idempotency key.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.effects))
	for key, n := range s.effects {
		out[key] = n
	}
	return out
}

func (s *Service) serveService(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV("X-Request-Id", ctx.Request.Header.Peek("X-Request-Id"))
	path := string(ctx.Path())
	switch {
	case path == "/load":
		if s.Fault().Leaving {
			ctx.Response.Header.Set("X-Leaving", "1")
		}
		writeJSON(ctx, fasthttp.StatusOK, loadReport{Slots: 1})
	case s.Fault().Leaving:
		ctx.Response.Header.Set("X-Refused", "leaving")
		ctx.Response.Header.Set("X-Leaving", "1")
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, errorBody{Error: "leaving"})
	case ctx.IsPost() && strings.HasPrefix(path, "/bookings"):
		s.book(ctx)
	case ctx.IsGet() && strings.HasPrefix(path, "/bookings/"):
		key := strings.TrimPrefix(path, "/bookings/")
		writeJSON(ctx, fasthttp.StatusOK, bookingResponse{Key: key, Effects: s.Effects()[key]})
	case ctx.IsGet() && strings.HasPrefix(path, "/lots"):
		writeJSON(ctx, fasthttp.StatusOK, struct{ Path string }{path})
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, errorBody{Error: "no such path"})
	}
}

func (s *Service) book(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	s.total++
	s.effects[key]++
	response := bookingResponse{Key: key, Booking: s.total, Effects: s.effects[key]}
	s.mu.Unlock()
	if s.loseReply() {
		dropConnection(ctx)
		return
	}
	writeJSON(ctx, fasthttp.StatusCreated, response)
}
