// Package link opens and accepts the connections of a process. Tests and the
// demo put a network in its place whose links they cut.
package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Network is what a process sees of the network.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
	ListenPacket(address string) (net.PacketConn, error)
}

const (
	dialTimeout = time.Second
	keepAlive   = 15 * time.Second
	// unackedTimeout is how long sent bytes may stay without acknowledgement
	// before the connection counts as dead, as behind a partition.
	unackedTimeout = 2 * time.Second
)

// System is the machine's network, with connections opened from one local IP.
type System struct {
	dialer net.Dialer
}

// NewSystem returns the machine's network. An empty localIP leaves the choice
// of the local address to the machine.
func NewSystem(localIP string) *System {
	s := &System{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive, Control: limitUnacked}}
	if ip := net.ParseIP(localIP); ip != nil {
		s.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return s
}

// limitUnacked sets the time after which a connection to a silent peer fails.
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

// DialContext opens a TCP connection.
func (s *System) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return s.dialer.DialContext(ctx, network, address)
}

// Listen accepts TCP connections.
func (s *System) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// ListenPacket receives UDP packets.
func (s *System) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}
