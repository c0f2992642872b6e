package standin

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/logsink"
)

// Fault is the set of fault switches of a stand-in. Its JSON form is read and
// written at the path /fault.
type Fault struct {
	// RequestDelayMs delays each request before it has an effect.
	RequestDelayMs int `json:"SlowMs,omitempty"`
	// ResponseDelayMs delays each answer after its effect.
	ResponseDelayMs int `json:"LateMs,omitempty"`
	// Down closes each connection without an answer and without an effect.
	Down bool `json:"Down,omitempty"`
	// BlockedPrefixes lists prefixes of client addresses that cannot get through.
	BlockedPrefixes []string `json:"CutFrom,omitempty"`
	// LoseReplies is the number of coming writes whose reply is lost after
	// the effect.
	LoseReplies int `json:"LoseReplies,omitempty"`
	// TruncateStreams is the number of coming streams that break off after
	// TruncateAfterEvents events.
	TruncateStreams     int `json:"CutStreams,omitempty"`
	TruncateAfterEvents int `json:"CutAfterEvents,omitempty"`
	// CrashOn is a text that ends the stand-in when a request carries it.
	CrashOn string `json:"CrashOn,omitempty"`
	// Slowdown divides the speed of an engine.
	Slowdown int `json:"Slowdown,omitempty"`
	// Leaving refuses new work.
	Leaving bool `json:"Leaving,omitempty"`
	// WrongEcho answers with another request's identifier.
	WrongEcho bool `json:"WrongEcho,omitempty"`
}

// Server is the listening part that all stand-ins share.
type Server struct {
	address string
	http    *fasthttp.Server
	handle  fasthttp.RequestHandler

	mu       sync.Mutex
	fault    Fault
	listener net.Listener
	conns    map[net.Conn]struct{}
	calls    map[string]int
	seen     [][]byte
}

const (
	maxSeen             = 4096
	standinMaxBodyBytes = 16 << 20
	standinConcurrency  = 1 << 16
)

func newServer(handle fasthttp.RequestHandler) *Server {
	s := &Server{handle: handle, conns: map[net.Conn]struct{}{}, calls: map[string]int{}}
	s.http = &fasthttp.Server{
		Handler: s.serve, ConnState: s.track, NoDefaultServerHeader: true, NoDefaultDate: true,
		MaxRequestBodySize: standinMaxBodyBytes, Concurrency: standinConcurrency,
		Logger: logsink.Discard{}, CloseOnShutdown: true,
	}
	return s
}

// Listen starts to serve at address; port 0 picks a free one.
func (s *Server) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "stand-in")
	}
	s.mu.Lock()
	s.listener = listener
	s.address = listener.Addr().String()
	s.mu.Unlock()
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// Address returns where the stand-in listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill closes the listener and every connection at once.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
}

// SetFault replaces the fault switches. Connections that are now cut break off.
func (s *Server) SetFault(fault Fault) { s.setFault(fault, nil) }

// setFault spares the connection over which the fault was set.
func (s *Server) setFault(fault Fault, spared net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	for c := range s.conns {
		if c != spared && (fault.Down || cutFrom(fault, c.RemoteAddr())) {
			_ = c.Close()
		}
	}
}

// Fault returns the fault switches.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// RequestCounts returns the number of requests received, by path.
func (s *Server) RequestCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		out[kind] = n
	}
	return out
}

// HasReceived reports whether the body of a recorded request contains the text.
func (s *Server) HasReceived(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, body := range s.seen {
		if strings.Contains(string(body), text) {
			return true
		}
	}
	return false
}

func (s *Server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[c] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
	default:
	}
}

func cutFrom(fault Fault, from net.Addr) bool {
	for _, prefix := range fault.BlockedPrefixes {
		if strings.HasPrefix(from.String(), prefix) {
			return true
		}
	}
	return false
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/fault" {
		s.serveFault(ctx)
		return
	}
	fault := s.Fault()
	if fault.Down || cutFrom(fault, ctx.RemoteAddr()) {
		hangUp(ctx)
		return
	}
	s.record(path, ctx.PostBody())
	if fault.CrashOn != "" && strings.Contains(string(ctx.PostBody()), fault.CrashOn) {
		s.Kill()
		hangUp(ctx)
		return
	}
	time.Sleep(time.Duration(fault.RequestDelayMs) * time.Millisecond)
	s.handle(ctx)
	time.Sleep(time.Duration(fault.ResponseDelayMs) * time.Millisecond)
}

func (s *Server) record(path string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
	if len(body) > 0 && len(s.seen) < maxSeen {
		s.seen = append(s.seen, append([]byte(nil), body...))
	}
}

// loseReply reports whether the reply to this write is to be lost, and counts
// it down.
func (s *Server) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseReplies == 0 {
		return false
	}
	s.fault.LoseReplies--
	return true
}

// cutStream returns after how many events this stream is to break off, zero
// for never.
func (s *Server) cutStream() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.TruncateStreams == 0 {
		return 0
	}
	s.fault.TruncateStreams--
	return s.fault.TruncateAfterEvents
}

func (s *Server) serveFault(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		answerJSON(ctx, fasthttp.StatusOK, s.Fault())
		return
	}
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		answerJSON(ctx, fasthttp.StatusBadRequest, failed{Error: err.Error()})
		return
	}
	s.setFault(fault, ctx.Conn())
	answerJSON(ctx, fasthttp.StatusOK, fault)
}

type failed struct {
	Error string `json:"error"`
	Code  int    `json:"code,omitempty"`
	// Message repeats Error, as the key-value service's interface does.
	Message string `json:"message,omitempty"`
}

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func answerJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
