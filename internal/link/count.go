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
}

// NewCounter returns a Counter that opens connections on a network.
func NewCounter(network Network) *Counter { return &Counter{network: network} }

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

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}

// NetConn returns the underlying connection, so that its file descriptor can be reached.
func (c *countedConn) NetConn() net.Conn { return c.Conn }
