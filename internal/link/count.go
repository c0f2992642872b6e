package link

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter opens connections and counts the bytes that are sent and received on them. It
// is safe for concurrent use.
type Counter struct {
	network  Network
	sent     atomic.Int64
	received atomic.Int64
	onBytes  func(sent, received int)
}

// CounterOption changes a Counter under construction.
type CounterOption func(*Counter)

// WithOnBytes sets a function that is called with the bytes of each write and read. It must not block.
func WithOnBytes(f func(sent, received int)) CounterOption {
	return func(c *Counter) { c.onBytes = f }
}

// NewCounter returns a Counter that opens connections on a network.
func NewCounter(network Network, options ...CounterOption) *Counter {
	c := &Counter{network: network, onBytes: func(int, int) {}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Sent returns the number of bytes written so far.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the number of bytes read so far.
func (c *Counter) Received() int64 { return c.received.Load() }

// DialContext opens a connection whose bytes are counted.
func (c *Counter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := c.network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: raw, counter: c}, nil
}

func (c *Counter) add(sent, received int) {
	c.sent.Add(int64(sent))
	c.received.Add(int64(received))
	c.onBytes(sent, received)
}

// ListenPacket listens for UDP packets whose bytes are counted.
func (c *Counter) ListenPacket(address string) (net.PacketConn, error) {
	raw, err := c.network.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return &countedPacketConn{PacketConn: raw, counter: c}, nil
}

type countedPacketConn struct {
	net.PacketConn
	counter *Counter
}

func (c *countedPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	c.counter.add(0, n)
	return n, from, err
}

func (c *countedPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, to)
	c.counter.add(n, 0)
	return n, err
}

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.add(0, n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.add(n, 0)
	return n, err
}

// NetConn returns the underlying connection, so that its file descriptor can be reached.
func (c *countedConn) NetConn() net.Conn { return c.Conn }
