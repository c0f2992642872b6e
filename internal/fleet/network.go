package fleet

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/link"
)

// Network simulates the network of a fleet on loopback addresses. The third octet
// of an address is the number of its region.
type Network struct {
	mu       sync.Mutex
	cutLinks map[[2]int]bool
}

// NewNetwork returns a Network in which all links work.
func NewNetwork() *Network { return &Network{cutLinks: map[[2]int]bool{}} }

// linkKey returns the two regions of a link in ascending order.
func linkKey(a, b int) [2]int {
	if a > b {
		a, b = b, a
	}
	return [2]int{a, b}
}

// Cut cuts the link between two regions: data on it is dropped without an error.
func (n *Network) Cut(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[linkKey(a, b)] = true
}

// Restore restores a link that was cut. Connections on which data was dropped are
// closed at their next write.
func (n *Network) Restore(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cutLinks, linkKey(a, b))
}

func (n *Network) isCut(a, b int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutLinks[linkKey(a, b)]
}

// regionOf returns the third octet of an address, or -1 if it is malformed.
func regionOf(address string) int {
	parts := strings.Split(address, ".")
	const regionOctet, octets = 2, 4
	if len(parts) != octets {
		return -1
	}
	n, err := strconv.Atoi(parts[regionOctet])
	if err != nil {
		return -1
	}
	return n
}

// Endpoint is the network interface of one process of the fleet. It tracks the
// open connections and listeners of the process.
type Endpoint struct {
	network *Network
	system  *link.System
	region  int

	mu     sync.Mutex
	killed bool
	open   map[interface{ Close() error }]struct{}
}

// Endpoint returns the network interface of the process with an IP address.
func (n *Network) Endpoint(ip string) *Endpoint {
	return &Endpoint{network: n, system: link.NewSystem(ip), region: regionOf(ip), open: map[interface{ Close() error }]struct{}{}}
}

// Kill closes all connections and listeners at once, as a crash of the process does.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	e.killed = true
	open := make([]interface{ Close() error }, 0, len(e.open))
	for c := range e.open {
		open = append(open, c)
	}
	e.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// track registers a connection or listener for Kill. It closes it and returns false
// if the process was killed.
func (e *Endpoint) track(c interface{ Close() error }) bool {
	e.mu.Lock()
	killed := e.killed
	if !killed {
		e.open[c] = struct{}{}
	}
	e.mu.Unlock()
	if killed {
		_ = c.Close()
	}
	return !killed
}

func (e *Endpoint) untrack(c interface{ Close() error }) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, c)
}

// cutDialTimeout is the time after which a dial over a cut link fails.
const cutDialTimeout = time.Second

// DialContext opens a connection. Over a cut link it times out after 1 second, or
// when ctx is done.
func (e *Endpoint) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to := regionOf(address)
	if e.network.isCut(e.region, to) {
		select {
		case <-ctx.Done():
		case <-time.After(cutDialTimeout):
		}
		return nil, os.ErrDeadlineExceeded
	}
	c, err := e.system.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return e.wrap(c, to)
}

func (e *Endpoint) wrap(c net.Conn, to int) (net.Conn, error) {
	out := &conn{Conn: c, endpoint: e, to: to}
	if !e.track(out) {
		return nil, net.ErrClosed
	}
	return out, nil
}

// Listen listens for connections at an address.
func (e *Endpoint) Listen(address string) (net.Listener, error) {
	l, err := e.system.Listen(address)
	if err != nil {
		return nil, err
	}
	out := &listener{Listener: l, endpoint: e}
	if !e.track(out) {
		return nil, net.ErrClosed
	}
	return out, nil
}

// ListenPacket listens for packets at an address.
func (e *Endpoint) ListenPacket(address string) (net.PacketConn, error) {
	c, err := e.system.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	out := &packetConn{PacketConn: c, endpoint: e}
	if !e.track(out) {
		return nil, net.ErrClosed
	}
	return out, nil
}

type listener struct {
	net.Listener
	endpoint *Endpoint
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped, err := l.endpoint.wrap(c, regionOf(c.RemoteAddr().String())); err == nil {
			return wrapped, nil
		}
	}
}

// conn drops data that is written while its link is cut. After the link is
// restored, the next write closes a connection on which data was dropped.
type conn struct {
	net.Conn
	endpoint *Endpoint
	to       int
	mu       sync.Mutex
	dropped  bool
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	cut := c.endpoint.network.isCut(c.endpoint.region, c.to)
	dropped := c.dropped
	c.dropped = c.dropped || cut
	c.mu.Unlock()
	switch {
	case cut:
		return len(b), nil
	case dropped:
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// NetConn returns the underlying connection, for callers that inspect its socket.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Close() error {
	c.endpoint.untrack(c)
	return c.Conn.Close()
}

type packetConn struct {
	net.PacketConn
	endpoint *Endpoint
}

func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.endpoint.network.isCut(c.endpoint.region, regionOf(to.String())) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}
