package exchange

import (
	"net"
	"syscall"
)

// reusable reports whether an idle connection is open and has nothing to read.
// A peer that closed it, or that sent an answer nobody asked for, makes it
// unfit for another exchange.
func reusable(c net.Conn) bool {
	open, pending := Peek(c)
	return open && !pending
}

// Peek tells, without waiting and without consuming a byte, whether the peer
// still has the connection open and whether bytes are waiting. A connection
// that cannot be examined counts as open and quiet.
func Peek(c net.Conn) (open, pending bool) {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
	holder, ok := c.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false, false
	}
	var n int
	var peekErr error
	// Control and not Read: a read deadline that has passed is no hang-up.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
