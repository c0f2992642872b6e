package exchange

import (
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// closeDelimitedReader reads a body without a declared length. Its end can't be distinguished
// from a lost connection, so EOF is an error unless closeEndsBody is set and the peer closed the
// connection in order.
type closeDelimitedReader struct {
	from          io.Reader
	conn          net.Conn
	closeEndsBody bool
	cancelled     <-chan struct{}
}

func (c *closeDelimitedReader) Read(b []byte) (int, error) {
	n, err := c.from.Read(b)
	if err == io.EOF && (!c.closeEndsBody || !closedInOrder(c.conn, c.cancelled)) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// ackPollInterval is the interval at which a connection is checked until the peer has acknowledged
// the request.
const ackPollInterval = 2 * time.Millisecond

// closedInOrder reports whether the peer, whose end of the connection has been read, has received all that was
// sent to it and not reset the connection since. A peer that closes while a request is under way resets the
// connection only when that arrives. A connection whose state can't be read counts as closed in order.
func closedInOrder(c net.Conn, cancelled <-chan struct{}) bool {
	for {
		state, unacked, ok := tcpState(c)
		switch {
		case !ok:
			return true
		case state != unix.BPF_TCP_CLOSE_WAIT:
			return false
		case unacked == 0:
			return true
		}
		select {
		case <-cancelled:
			return false
		case <-time.After(ackPollInterval):
		}
	}
}

// tcpState returns the TCP state of a connection and the number of bytes that the peer has not acknowledged.
func tcpState(c net.Conn) (state uint8, unacked int, ok bool) {
	raw, err := rawConn(c)
	if err != nil || raw == nil {
		return 0, 0, false
	}
	var info *unix.TCPInfo
	var infoErr, queueErr error
	err = raw.Control(func(fd uintptr) {
		// A reset empties the queue. It must not come between the state and the queue.
		unacked, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil || queueErr != nil {
		return 0, 0, false
	}
	return info.State, unacked, true
}
