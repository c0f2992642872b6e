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

// Fault holds the faults that a stand-in injects. A GET of /fault returns it as JSON, and
// other methods set it.
type Fault struct {
	// RequestDelayMs delays each request before the stand-in handles it, in milliseconds.
	RequestDelayMs int `json:"SlowMs,omitempty"`
	// ResponseDelayMs delays each response after the request took effect, in milliseconds.
	ResponseDelayMs int `json:"LateMs,omitempty"`
	// Down closes each connection without handling its request.
	Down bool `json:"Down,omitempty"`
	// BlockedPrefixes lists prefixes of client addresses whose connections are closed.
	BlockedPrefixes []string `json:"CutFrom,omitempty"`
	// LoseReplies is the number of following writes that take effect but whose connection
	// is closed without a reply.
	LoseReplies int `json:"LoseReplies,omitempty"`
	// TruncateStreams is the number of following streams whose connection is closed after
	// TruncateAfterEvents events.
	TruncateStreams     int `json:"CutStreams,omitempty"`
	TruncateAfterEvents int `json:"CutAfterEvents,omitempty"`
	// CrashOn is a text that kills the stand-in when the body of a request contains it.
	CrashOn string `json:"CrashOn,omitempty"`
	// Slowdown multiplies the step time of an engine, if above 1.
	Slowdown int `json:"Slowdown,omitempty"`
	// Leaving refuses new calls and announces it in the headers.
	Leaving bool `json:"Leaving,omitempty"`
	// WrongEcho returns the identifier of another request in the response.
	WrongEcho bool `json:"WrongEcho,omitempty"`
}

// Server is the HTTP server and the fault injection that all stand-ins share.
type Server struct {
	address string
	http    *fasthttp.Server
	handle  fasthttp.RequestHandler

	mu            sync.Mutex
	fault         Fault
	listener      net.Listener
	conns         map[net.Conn]struct{}
	requestCounts map[string]int // by path
	bodies        [][]byte       // of the first maxBodies requests that have one
}

const (
	maxBodies           = 4096
	standinMaxBodyBytes = 16 << 20
	standinConcurrency  = 1 << 16
)

func newServer(handle fasthttp.RequestHandler) *Server {
	s := &Server{handle: handle, conns: map[net.Conn]struct{}{}, requestCounts: map[string]int{}}
	s.http = &fasthttp.Server{
		Handler: s.serve, ConnState: s.track, NoDefaultServerHeader: true, NoDefaultDate: true,
		MaxRequestBodySize: standinMaxBodyBytes, Concurrency: standinConcurrency,
		Logger: logsink.Discard{}, CloseOnShutdown: true,
	}
	return s
}

// Listen starts to serve at address. Port 0 selects a free port.
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

// Address returns the address that the stand-in listens on.
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

// SetFault replaces the injected faults and closes the connections that they block.
func (s *Server) SetFault(fault Fault) { s.setFault(fault, nil) }

// setFault leaves the connection except open, so that the request that sets the fault gets
// its response.
func (s *Server) setFault(fault Fault, except net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	for c := range s.conns {
		if c != except && (fault.Down || isBlocked(fault, c.RemoteAddr())) {
			_ = c.Close()
		}
	}
}

// Fault returns the injected faults.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// RequestCounts returns the number of requests received, by path.
func (s *Server) RequestCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.requestCounts))
	for path, n := range s.requestCounts {
		out[path] = n
	}
	return out
}

// HasReceived reports whether the body of a recorded request contains the text.
func (s *Server) HasReceived(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, body := range s.bodies {
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

func isBlocked(fault Fault, from net.Addr) bool {
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
	if fault.Down || isBlocked(fault, ctx.RemoteAddr()) {
		dropConnection(ctx)
		return
	}
	s.record(path, ctx.PostBody())
	if fault.CrashOn != "" && strings.Contains(string(ctx.PostBody()), fault.CrashOn) {
		s.Kill()
		dropConnection(ctx)
		return
	}
	time.Sleep(time.Duration(fault.RequestDelayMs) * time.Millisecond)
	s.handle(ctx)
	time.Sleep(time.Duration(fault.ResponseDelayMs) * time.Millisecond)
}

func (s *Server) record(path string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCounts[path]++
	if len(body) > 0 && len(s.bodies) < maxBodies {
		s.bodies = append(s.bodies, append([]byte(nil), body...))
	}
}

// loseReply reports whether to drop the reply to this write, and decrements LoseReplies if
// so.
func (s *Server) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseReplies == 0 {
		return false
	}
	s.fault.LoseReplies--
	return true
}

// nextTruncation returns the number of events after which to close the connection of this
// stream, or 0 to never close it, and decrements TruncateStreams.
func (s *Server) nextTruncation() int {
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
		writeJSON(ctx, fasthttp.StatusOK, s.Fault())
		return
	}
	var fault Fault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	s.setFault(fault, ctx.Conn())
	writeJSON(ctx, fasthttp.StatusOK, fault)
}

type errorBody struct {
	Error string `json:"error"`
	Code  int    `json:"code,omitempty"`
	// Message repeats Error, as etcd does in its JSON errors.
	Message string `json:"message,omitempty"`
}

// dropConnection closes the connection without a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
