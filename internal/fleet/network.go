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

// Network is the loopback network of a fleet. The third number of an address
// names its region.
type Network struct {
	mu   sync.Mutex
	cuts map[[2]int]bool
}

// NewNetwork returns a Network without cuts.
func NewNetwork() *Network { return &Network{cuts: map[[2]int]bool{}} }

func pair(a, b int) [2]int {
	if a > b {
		a, b = b, a
	}
	return [2]int{a, b}
}

// Cut makes the link between two regions swallow everything.
func (n *Network) Cut(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair(a, b)] = true
}

// Restore mends a link. Connections that have lost bytes break off.
func (n *Network) Restore(a, b int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, pair(a, b))
}

func (n *Network) cut(a, b int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)]
}

func regionOf(address string) int {
	parts := strings.Split(address, ".")
	const thirdNumber, numbers = 2, 4
	if len(parts) != numbers {
		return -1
	}
	n, err := strconv.Atoi(parts[thirdNumber])
	if err != nil {
		return -1
	}
	return n
}

// Endpoint is the network as one process of the fleet sees it.
type Endpoint struct {
	network *Network
	system  *link.System
	region  int

	mu     sync.Mutex
	killed bool
	open   map[interface{ Close() error }]struct{}
}

// Endpoint returns the network for a process at an IP.
func (n *Network) Endpoint(ip string) *Endpoint {
	return &Endpoint{network: n, system: link.NewSystem(ip), region: regionOf(ip), open: map[interface{ Close() error }]struct{}{}}
}

// Kill closes everything at once, as the death of the process does.
func (p *Endpoint) Kill() {
	p.mu.Lock()
	p.killed = true
	open := make([]interface{ Close() error }, 0, len(p.open))
	for c := range p.open {
		open = append(open, c)
	}
	p.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func (p *Endpoint) add(c interface{ Close() error }) bool {
	p.mu.Lock()
	killed := p.killed
	if !killed {
		p.open[c] = struct{}{}
	}
	p.mu.Unlock()
	if killed {
		_ = c.Close()
	}
	return !killed
}

func (p *Endpoint) remove(c interface{ Close() error }) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

const swallowedDial = time.Second

// DialContext opens a connection. One over a cut link gets no answer.
func (p *Endpoint) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to := regionOf(address)
	if p.network.cut(p.region, to) {
		select {
		case <-ctx.Done():
		case <-time.After(swallowedDial):
		}
		return nil, os.ErrDeadlineExceeded
	}
	c, err := p.system.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return p.wrap(c, to)
}

func (p *Endpoint) wrap(c net.Conn, to int) (net.Conn, error) {
	out := &conn{Conn: c, port: p, to: to}
	if !p.add(out) {
		return nil, net.ErrClosed
	}
	return out, nil
}

// Listen accepts connections.
func (p *Endpoint) Listen(address string) (net.Listener, error) {
	l, err := p.system.Listen(address)
	if err != nil {
		return nil, err
	}
	out := &listener{Listener: l, port: p}
	if !p.add(out) {
		return nil, net.ErrClosed
	}
	return out, nil
}

// ListenPacket receives packets.
func (p *Endpoint) ListenPacket(address string) (net.PacketConn, error) {
	c, err := p.system.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	out := &packetConn{PacketConn: c, port: p}
	if !p.add(out) {
		return nil, net.ErrClosed
	}
	return out, nil
}

type listener struct {
	net.Listener
	port *Endpoint
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if wrapped, err := l.port.wrap(c, regionOf(c.RemoteAddr().String())); err == nil {
			return wrapped, nil
		}
	}
}

// conn swallows what is written while its link is cut. Once the link is whole
// again, a connection that has lost bytes is broken.
type conn struct {
	net.Conn
	port *Endpoint
	to   int
	mu   sync.Mutex
	lost bool
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	cut := c.port.network.cut(c.port.region, c.to)
	lost := c.lost
	c.lost = c.lost || cut
	c.mu.Unlock()
	switch {
	case cut:
		return len(b), nil
	case lost:
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// NetConn returns the connection below, for those that examine it.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) Close() error {
	c.port.remove(c)
	return c.Conn.Close()
}

type packetConn struct {
	net.PacketConn
	port *Endpoint
}

func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.port.network.cut(c.port.region, regionOf(to.String())) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}
