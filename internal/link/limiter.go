package link

import (
	"container/list"
	"io"
	"net"
	"sync"
	"sync/atomic"
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
	conns         map[*limitedConn]struct{}
	idle          *list.List // of *limitedConn, longest idle first
	memory        Memory
	connBytes     int
}

// Memory is the budget from which connections draw.
type Memory interface {
	// Reserve reserves n bytes and reports whether they are within the budget.
	Reserve(n int) bool
	// Release returns n bytes.
	Release(n int)
}

// minBlockedTime is the time for which the peer of a connection must not have sent or read anything before the
// connection makes room for others while a request is under way.
const minBlockedTime = 2 * time.Second

// Event is what a Limiter did to a connection.
type Event int

// The events.
const (
	IdleTooLong Event = iota // closed after the idle timeout
	MadeRoom                 // closed for a new connection or a lack of descriptors
	Rejected                 // closed when it was accepted
	Blocked                  // closed for a new connection while its peer sent or read nothing of a request or response
)

// noEvent is none of the events.
const noEvent Event = -1

// String returns the event's name.
func (e Event) String() string {
	return [...]string{"idle-too-long", "made-room", "rejected", "blocked"}[e]
}

// LimiterOption changes a Limiter under construction.
type LimiterOption func(*Limiter)

// WithMaxConns bounds the open connections, 0 for no bound.
func WithMaxConns(n int) LimiterOption { return func(l *Limiter) { l.maxConns = n } }

// WithIdleTimeout bounds the time between two requests on a connection, and that to the first one.
func WithIdleTimeout(d time.Duration) LimiterOption { return func(l *Limiter) { l.idleTimeout = d } }

// WithMemory makes each connection draw n bytes from a budget.
func WithMemory(m Memory, n int) LimiterOption {
	return func(l *Limiter) { l.memory, l.connBytes = m, n }
}

// WithOnEvent sets a function that is called for each connection that the Limiter closes.
func WithOnEvent(f func(Event)) LimiterOption { return func(l *Limiter) { l.onEvent = f } }

// NewLimiter returns a Limiter without connections.
func NewLimiter(c clock.Clock, options ...LimiterOption) *Limiter {
	l := &Limiter{clock: c, onEvent: func(Event) {}, conns: map[*limitedConn]struct{}{}, idle: list.New()}
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
	return len(l.conns)
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
	c := l.longestIdle()
	if c != nil {
		c.evict()
	}
	l.mu.Unlock()
	if c != nil {
		l.onEvent(MadeRoom)
	}
	return c != nil
}

// longestIdle returns the connection that has been idle for the longest time, nil if none is.
func (l *Limiter) longestIdle() *limitedConn {
	if e := l.idle.Front(); e != nil {
		c, _ := e.Value.(*limitedConn)
		return c
	}
	return nil
}

// longestBlocked returns the connection under way whose peer has sent or read nothing for the longest time, of those
// that may be closed. It returns nil if that is less than minBlockedTime.
func (l *Limiter) longestBlocked(mayClose func(*limitedConn) bool) *limitedConn {
	var longest *limitedConn
	earliest := l.clock.Now().Add(-minBlockedTime).UnixNano()
	for c := range l.conns {
		if since := c.blockedSince.Load(); c.place == nil && !c.evicted && since != 0 && since <= earliest && mayClose(c) {
			longest, earliest = c, since
		}
	}
	return longest
}

// EndUnread closes the connection whose peer has read nothing of a response for the longest time, minBlockedTime at
// least. It reports whether there was one.
func (l *Limiter) EndUnread() bool {
	l.mu.Lock()
	c := l.longestBlocked(func(c *limitedConn) bool { return c.writes.Load() })
	if c != nil {
		c.evict()
	}
	l.mu.Unlock()
	if c != nil {
		l.onEvent(Blocked)
	}
	return c != nil
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
		c.lingers.Store(false) // the body has been read
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
	c := &limitedConn{Conn: raw, limiter: l}
	l.mu.Lock()
	event, ok := l.makeRoomFor(c)
	if ok {
		l.conns[c] = struct{}{}
		c.enterIdle()
	}
	l.mu.Unlock()
	if ok && event != noEvent {
		l.onEvent(event)
	}
	return c, ok
}

// makeRoomFor reserves the memory of a connection, or closes another one and takes over its memory. It returns false
// if there is no room.
func (l *Limiter) makeRoomFor(c *limitedConn) (Event, bool) {
	isFull := l.maxConns > 0 && len(l.conns) >= l.maxConns
	if !isFull && (l.memory == nil || l.memory.Reserve(l.connBytes)) {
		c.charged = l.memory != nil
		return noEvent, true
	}
	other, event := l.longestIdle(), MadeRoom
	if other == nil {
		other, event = l.longestBlocked(func(*limitedConn) bool { return true }), Blocked
	}
	if other == nil {
		return Rejected, false
	}
	other.evict()
	c.charged, other.charged = other.charged, false
	return event, true
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
	charged   bool // the connection holds memory
	// blockedSince is when a call of Read or Write began that has not returned, 0 if there is none.
	blockedSince atomic.Int64 // Unix nanoseconds
	writes       atomic.Bool  // that call is of Write
	lingers      atomic.Bool
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

// enterIdleFirst makes the connection the first of the idle ones to be closed.
func (c *limitedConn) enterIdleFirst() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.evicted && !c.closed {
		c.enterIdle()
		l.idle.MoveToFront(c.place)
	}
}

func (c *limitedConn) leaveIdle() {
	if c.place != nil {
		c.limiter.idle.Remove(c.place)
		c.place = nil
	}
}

// evict makes the server close a connection, as its reads and writes time out. If the connection was idle and the
// first byte of a request has been read meanwhile, the server sets a new deadline and goes on.
func (c *limitedConn) evict() {
	wasIdle := c.place != nil
	c.leaveIdle()
	c.evicted = true
	_ = c.Conn.SetReadDeadline(past)
	if !wasIdle {
		_ = c.Conn.SetWriteDeadline(past)
	}
}

// Read reads from the connection.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.writes.Store(false)
	c.blockedSince.Store(c.limiter.clock.Now().UnixNano())
	defer c.blockedSince.Store(0)
	return c.Conn.Read(b)
}

// Write writes to the connection.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.writes.Store(true)
	c.blockedSince.Store(c.limiter.clock.Now().UnixNano())
	defer c.blockedSince.Store(0)
	return c.Conn.Write(b)
}

// SetWriteDeadline sets the deadline that the server wants, unless the connection is to be closed.
func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		t = past
	}
	return c.Conn.SetWriteDeadline(t)
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

const (
	// A connection that lingers reads up to lingerBytes before it is closed, for lingerTime at most.
	lingerBytes = 4 << 20
	lingerTime  = time.Second
)

// Linger makes a connection of a Limiter read on when it is closed, until its peer has closed it too. Otherwise the
// system resets a connection with unread bytes, and the peer may not get the last response. Other connections are left as
// they are.
func Linger(c net.Conn) {
	if limited, ok := c.(*limitedConn); ok {
		limited.lingers.Store(true)
	}
}

// linger ends the sending side of the connection and reads what the peer still sends. Meanwhile the connection is the
// first to make room for others.
func (c *limitedConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(c.limiter.clock.Now().Add(lingerTime)) != nil {
		return
	}
	c.enterIdleFirst()
	_, _ = io.CopyN(io.Discard, c, lingerBytes) // ends with an error when the peer closes
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	if c.lingers.Swap(false) {
		c.linger()
	}
	l := c.limiter
	l.mu.Lock()
	c.leaveIdle()
	delete(l.conns, c)
	c.closed = true
	if c.charged {
		l.memory.Release(l.connBytes)
		c.charged = false
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the underlying connection, so that its file descriptor can be reached.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
