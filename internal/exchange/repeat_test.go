package exchange_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

var _ = Describe("Pool that repeats requests", func() {
	var repeats atomic.Int64
	var ctx context.Context

	newPool := func(after time.Duration) *exchange.Pool {
		pool := exchange.NewPool(link.NewSystem(""), exchange.WithRepeat(after, func() { repeats.Add(1) }))
		DeferCleanup(pool.Close)
		return pool
	}

	BeforeEach(func() {
		repeats.Store(0)
		ctx = context.Background()
	})

	// Guards against a connection that has gone silent, or that the peer has closed, passing for a peer that
	// does not respond.
	DescribeTable("gets a response though the kept connection brings none", func(script func(c net.Conn)) {
		address, connections := servePeer(func(n int64, c net.Conn) {
			if n == 2 {
				script(c)
				return
			}
			_, _ = c.Write([]byte(okResponse(fmt.Sprint(n))))
		})
		pool := newPool(50 * time.Millisecond)
		Expect(get(ctx, pool, address)).To(Equal("1"))
		Expect(get(ctx, pool, address)).To(Equal("3"))
		Expect(get(ctx, pool, address)).To(Equal("4"))
		Expect(repeats.Load()).To(Equal(int64(1)))
		Expect(connections.Load()).To(Equal(int64(2)), "the new connection is kept, the other one is not")
	},
		Entry("as it is silent", func(net.Conn) {}),
		Entry("as it is closed", func(c net.Conn) { _ = c.Close() }),
		Entry("as it is reset", func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}),
	)

	It("takes the first response if that comes before the one to the repeat", func() {
		repeated := make(chan struct{})
		address, _ := servePeer(func(n int64, c net.Conn) {
			if n == 2 {
				close(repeated)
				return
			}
			<-repeated
			_, _ = c.Write([]byte(okResponse(fmt.Sprint(n))))
		})
		Expect(get(ctx, newPool(50*time.Millisecond), address)).To(Equal("1"))
	})

	It("repeats nothing if a new connection fails", func() {
		address, connections := servePeer(func(_ int64, c net.Conn) { _ = c.Close() })
		_, err := get(ctx, newPool(time.Minute), address)
		Expect(kindOf(err)).To(Equal(exchange.Unanswered))
		Expect(connections.Load()).To(Equal(int64(1)))
		Expect(repeats.Load()).To(BeZero())
	})

	It("fails when the context ends if the peer does not respond", func() {
		address, connections := servePeer(func(int64, net.Conn) {})
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err := get(short, newPool(50*time.Millisecond), address)
		Expect(kindOf(err)).To(Equal(exchange.Unanswered))
		Expect(connections.Load()).To(Equal(int64(2)))
	})
})
