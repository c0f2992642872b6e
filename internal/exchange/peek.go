package exchange

import (
	"net"
	"syscall"
)

// reusable reports whether an idle connection is open and has no unread bytes. A
// connection that the peer closed, or on which it sent an unsolicited response, can't
// be used for another exchange.
func reusable(c net.Conn) bool {
	open, pending := Peek(c)
	return open && !pending
}

// Peek reports whether the peer has the connection open and whether unread bytes are
// pending. It neither blocks nor consumes bytes. A connection without access to its file
// descriptor counts as open, without pending bytes.
func Peek(c net.Conn) (open, pending bool) {
	raw, err := rawConn(c)
	if err != nil {
		return false, false
	}
	if raw == nil {
		return true, false
	}
	var n int
	var peekErr error
	// RawConn.Read would fail on an expired read deadline, which doesn't mean that the
	// peer has closed the connection; RawConn.Control ignores deadlines.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return false, false
	}
	if peekErr == syscall.EAGAIN || peekErr == syscall.EINTR {
		return true, false
	}
	if peekErr != nil || n == 0 {
		return false, false
	}
	return true, true
}

// rawConn returns access to the file descriptor of a connection, nil if it has none.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return syscallConn.SyscallConn()
}
