package link

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
)

// exhaustionErrors mean that the process or the machine lacks descriptors or memory at the moment.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// IsExhausted reports whether an operation failed because the process or the machine lacks descriptors
// or memory at the moment. It says nothing about the peer.
func IsExhausted(err error) bool { return isAny(err, exhaustionErrors) }

// IsRejection reports whether an operation failed because the peer's machine refused, reset or closed the
// connection. Such a failure shows that there is a path to that machine.
func IsRejection(err error) bool {
	return isAny(err, []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE})
}

// passes reports whether an error of Accept or ReadFrom is no reason to stop listening. The last ones
// are errors of a connection or a peer that the system reports at the listener or socket.
func passes(err error) bool {
	return IsExhausted(err) || isAny(err, []error{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.EPERM,
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
	})
}

func isAny(err error, list []error) bool {
	for _, e := range list {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// retryingListener is a listener that pauses after a passing error and goes on.
type retryingListener struct {
	net.Listener
	onError func(error)
}

// RetryAccept returns a listener whose Accept calls onError after an error that passes, pauses, and
// goes on. It returns other errors, such as that of a closed listener.
func RetryAccept(l net.Listener, onError func(error)) net.Listener {
	return &retryingListener{Listener: l, onError: onError}
}

// Accept returns the next connection.
func (r *retryingListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		c, err := r.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		r.onError(err)
		time.Sleep(pause)
	}
}

// ReadFrom reads a datagram. It calls onError after an error that passes, pauses, and goes on.
func ReadFrom(c net.PacketConn, buffer []byte, onError func(error)) (int, net.Addr, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		n, from, err := c.ReadFrom(buffer)
		if err == nil || !passes(err) {
			return n, from, err
		}
		onError(err)
		time.Sleep(pause)
	}
}
