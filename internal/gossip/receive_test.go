package gossip_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/gossip"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

func Test(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gossip")
}

// lastDatagramConn delivers a datagram in the moment in which its context ends.
type lastDatagramConn struct {
	net.PacketConn
	end    context.CancelFunc
	closed atomic.Bool
}

func (c *lastDatagramConn) ReadFrom(b []byte) (int, net.Addr, error) {
	c.end()
	return copy(b, "x"), &net.UDPAddr{}, nil
}

func (c *lastDatagramConn) Close() error {
	c.closed.Store(true)
	return nil
}

var _ = Describe("Service.Receive", func() {
	// A datagram between the end of the context and the closing of the socket left the
	// address in use after the host had stopped.
	It("has closed its socket when it returns, also if a datagram arrives as its context ends", func() {
		for range 200 {
			ctx, cancel := context.WithCancel(context.Background())
			c := &lastDatagramConn{end: cancel}
			s := gossip.New(c, seal.New("key"), member.Info{Host: "a"})
			Expect(s.Receive(ctx)).To(Succeed())
			Expect(c.closed.Load()).To(BeTrue())
		}
	})
})
