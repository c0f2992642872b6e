package link

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/clock"
)

// Limiter bounds the connections that a server accepts, and closes those that are idle for too long.
// Sweep must be called from time to time. When there are too many, the one that has been idle for the longest time makes room; while none is
// idle, new connections are closed at once. A connection is closed only while no request is under way on
// it. It is safe for concurrent use.
type Limiter struct {
	clock   clock.Clock
	onEvent func(Event)

	mu            sync.Mutex
	maxConns      int
	idleTimeout   time.Duration
	headerTimeout time.Duration
	open          int
	idle          *list.List // of *limitedConn, longest idle first
}

// Event is what a Limiter did to a connection.
type Event int

// The events.
const (
	IdleTooLong Event = iota // closed after the idle timeout
	MadeRoom                 // closed for a new connection or a lack of descriptors
	Rejected                 // closed when it was accepted
)

// String returns the event's name.
func (e Event) String() string { return [...]string{"idle-too-long", "made-room", "rejected"}[e] }

// LimiterOption changes a Limiter under construction.
type LimiterOption func(*Limiter)

// WithMaxConns bounds the open connections, 0 for no bound.
func WithMaxConns(n int) LimiterOption { return func(l *Limiter) { l.maxConns = n } }

// WithIdleTimeout bounds the time between two requests on a connection, and that to the first one.
func WithIdleTimeout(d time.Duration) LimiterOption { return func(l *Limiter) { l.idleTimeout = d } }

// WithOnEvent sets a function that is called for each connection that the Limiter closes.
func WithOnEvent(f func(Event)) LimiterOption { return func(l *Limiter) { l.onEvent = f } }

// NewLimiter returns a Limiter without connections.
func NewLimiter(c clock.Clock, options ...LimiterOption) *Limiter {
	l := &Limiter{clock: c, onEvent: func(Event) {}, idle: list.New()}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetTimeouts bounds the time between two requests, and the time from the first byte of a request to the
// end of its head, for all connections, also those that are open. A value of 0 changes nothing.
func (l *Limiter) SetTimeouts(idle, header time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if idle > 0 {
		l.idleTimeout = idle
	}
	if header > 0 {
		l.headerTimeout = header
	}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Idle returns the number of connections on which no request is under way.
func (l *Limiter) Idle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idle.Len()
}

// Sweep closes connections that are idle for too long.
func (l *Limiter) Sweep() {
	l.mu.Lock()
	n := 0
	for e := l.idle.Front(); e != nil && l.idleTimeout > 0; e = l.idle.Front() {
		c, _ := e.Value.(*limitedConn)
		if l.clock.Now().Sub(c.idleSince) < l.idleTimeout {
			break
		}
		c.evict()
		n++
	}
	l.mu.Unlock()
	for range n {
		l.onEvent(IdleTooLong)
	}
}

// MakeRoom closes the connection that has been idle for the longest time. It reports whether one was idle.
func (l *Limiter) MakeRoom() bool {
	l.mu.Lock()
	e := l.idle.Front()
	if e != nil {
		c, _ := e.Value.(*limitedConn)
		c.evict()
	}
	l.mu.Unlock()
	if e != nil {
		l.onEvent(MadeRoom)
	}
	return e != nil
}

// Listen returns a listener that keeps the bounds. The server must call OnState.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, limiter: l}
}

// OnState records the state of a connection of the server.
func (l *Limiter) OnState(raw net.Conn, state fasthttp.ConnState) {
	c, ok := raw.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case fasthttp.StateActive:
		c.leaveIdle()
		c.evicted, c.readsHead = false, true
	case fasthttp.StateIdle:
		c.enterIdle()
	}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection for which there is room.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.limiter.admit(raw); ok {
			return c, nil
		}
		_ = raw.Close()
		l.limiter.onEvent(Rejected)
	}
}

// admit returns the connection as the server gets it, and false if there is no room for it.
func (l *Limiter) admit(raw net.Conn) (net.Conn, bool) {
	if l.isFull() && !l.MakeRoom() {
		return nil, false
	}
	c := &limitedConn{Conn: raw, limiter: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.enterIdle()
	return c, true
}

func (l *Limiter) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxConns > 0 && l.open >= l.maxConns
}

// limitedConn is a connection of a caller.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	// All below is guarded by the mutex of the limiter.
	idleSince time.Time
	place     *list.Element // among the idle connections, nil while a request is under way
	evicted   bool
	readsHead bool // the next read deadline is that of the head of a request
	closed    bool
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

func (c *limitedConn) enterIdle() {
	c.leaveIdle()
	if c.closed {
		return
	}
	c.idleSince = c.limiter.clock.Now()
	c.place = c.limiter.idle.PushBack(c)
}

func (c *limitedConn) leaveIdle() {
	if c.place != nil {
		c.limiter.idle.Remove(c.place)
		c.place = nil
	}
}

// evict makes the server close an idle connection, as its wait for a request times out. If the first
// byte of a request has been read meanwhile, the server sets a new deadline and goes on.
func (c *limitedConn) evict() {
	c.leaveIdle()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(past)
}

// SetReadDeadline sets the deadline that the server wants, as far as the limiter's timeouts allow.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.evicted:
		t = past
	case c.readsHead && l.headerTimeout > 0:
		if bound := l.clock.Now().Add(l.headerTimeout); bound.Before(t) {
			t = bound
		}
	}
	c.readsHead = false
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	l := c.limiter
	l.mu.Lock()
	c.leaveIdle()
	if !c.closed {
		c.closed = true
		l.open--
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the underlying connection, so that its file descriptor can be reached.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
