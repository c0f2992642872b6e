// Package link opens and accepts the network connections of a process. Tests and the demo
// replace it by a simulated network whose links can be cut.
package link

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network opens and accepts connections.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
	ListenPacket(address string) (net.PacketConn, error)
}

const (
	dialTimeout = time.Second
	keepAlive   = 15 * time.Second
	// unackedTimeout is the time without an acknowledgement of sent bytes after which a
	// connection is closed, for example during a network partition.
	unackedTimeout = 2 * time.Second
)

// System is the network of the operating system. Connections can be opened from a fixed
// local IP.
type System struct {
	dialer net.Dialer
}

// NewSystem returns the network of the operating system. If localIP is empty or invalid,
// the operating system chooses the local address.
func NewSystem(localIP string) *System {
	s := &System{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive, Control: limitUnacked}}
	if ip := net.ParseIP(localIP); ip != nil {
		s.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return s
}

// limitUnacked sets TCP_USER_TIMEOUT, so that a connection to an unresponsive peer fails
// after unackedTimeout.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// DialContext opens a connection.
func (s *System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return s.dialer.DialContext(ctx, network, address)
}

// Listen listens for TCP connections on an address.
func (s *System) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenPacket listens for UDP packets on an address.
func (s *System) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}

// CloseWith closes c when ctx is done, which ends the reads that wait for it, or when the
// returned function is called. When that function returns, c is closed in any case.
func CloseWith(ctx context.Context, c io.Closer) (closeNow func()) {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = c.Close()
	})
	return func() {
		if stop() {
			_ = c.Close()
			return
		}
		<-closed
	}
}
