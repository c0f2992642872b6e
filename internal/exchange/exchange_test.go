package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

// servePeer listens on a loopback address and calls script for each request, with the number
// of the request, to write the response. It counts the connections.
func servePeer(script func(n int64, c net.Conn)) (address string, connections *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	connections = &atomic.Int64{}
	var requests atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				reader := bufio.NewReader(c)
				for {
					var request fasthttp.Request
					if request.Read(reader) != nil {
						return
					}
					script(requests.Add(1), c)
				}
			}()
		}
	}()
	return listener.Addr().String(), connections
}

// silentDialer opens connections to peers that do not respond.
type silentDialer struct{}

func (silentDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// okResponse returns a complete response with the text as its body.
func okResponse(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func get(ctx context.Context, pool *exchange.Pool, address string) (string, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + "/")
	response, err := pool.Do(ctx, address, request)
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1 << 20)
	return string(body), err
}

func kindOf(err error) exchange.Kind {
	kind, ok := failure.KindOf[exchange.Kind](err)
	ExpectWithOffset(1, ok).To(BeTrue(), "%v", err)
	return kind
}

var _ = Describe("Pool", func() {
	var pool *exchange.Pool
	var ctx context.Context

	BeforeEach(func() {
		pool = exchange.NewPool(link.NewSystem(""))
		DeferCleanup(pool.Close)
		ctx = context.Background()
	})

	It("reuses a connection after a complete response", func() {
		address, connections := servePeer(func(n int64, c net.Conn) { _, _ = c.Write([]byte(okResponse(fmt.Sprint(n)))) })
		for n := 1; n <= 3; n++ {
			Expect(get(ctx, pool, address)).To(Equal(fmt.Sprint(n)))
		}
		Expect(connections.Load()).To(Equal(int64(1)))
	})

	It("does not deliver a late response to the next caller", func() {
		release := make(chan struct{})
		address, connections := servePeer(func(n int64, c net.Conn) {
			if n == 1 {
				<-release
			}
			_, _ = c.Write([]byte(okResponse(fmt.Sprint(n))))
		})
		cancelled, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := get(cancelled, pool, address)
		Expect(kindOf(err)).To(Equal(exchange.Unanswered))
		close(release)
		Expect(get(ctx, pool, address)).To(Equal("2"))
		Expect(connections.Load()).To(Equal(int64(2)))
	})

	It("does not reuse a connection on which the peer sent an unsolicited response", func() {
		address, connections := servePeer(func(n int64, c net.Conn) {
			_, _ = c.Write([]byte(okResponse(fmt.Sprint(n))))
			if n == 1 {
				time.Sleep(20 * time.Millisecond)
				_, _ = c.Write([]byte(okResponse("unsolicited")))
			}
		})
		Expect(get(ctx, pool, address)).To(Equal("1"))
		time.Sleep(100 * time.Millisecond)
		Expect(get(ctx, pool, address)).To(Equal("2"))
		Expect(connections.Load()).To(Equal(int64(2)))
	})

	DescribeTable("reports a truncated response as incomplete",
		func(response string) {
			address, _ := servePeer(func(_ int64, c net.Conn) {
				_, _ = c.Write([]byte(response))
				_ = c.Close()
			})
			_, err := get(ctx, pool, address)
			Expect(kindOf(err)).To(Equal(exchange.Incomplete))
		},
		Entry("body shorter than its Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
		Entry("chunked body without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
		Entry("chunked body without the end of the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"),
		Entry("body without a declared length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"),
	)

	It("reports that nothing was sent when the connection is refused", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		_, err = get(ctx, pool, address)
		Expect(kindOf(err)).To(Equal(exchange.Unsent))
	})

	// Guards against calls that wait for a silent target and reach it together once it is back.
	It("gives up opening a connection after a time", func() {
		silent := exchange.NewPool(silentDialer{}, exchange.WithOpenTimeout(10*time.Millisecond))
		_, err := get(ctx, silent, "127.0.0.1:1")
		Expect(kindOf(err)).To(Equal(exchange.Unsent))
	})

	It("sends nothing if the check fails, and keeps the connection", func() {
		address, connections := servePeer(func(_ int64, c net.Conn) { _, _ = fmt.Fprint(c, okResponse("ok")) })
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/")
		_, err := pool.DoIf(ctx, address, request, func(string) error { return errors.New("too late") })
		Expect(kindOf(err)).To(Equal(exchange.Withdrawn))
		Expect(get(ctx, pool, address)).To(Equal("ok"))
		Expect(connections.Load()).To(Equal(int64(1)))
	})

	// Guards against bodies that go to another peer than the one that has answered at an address.
	It("tells the check which peer has answered on the connection", func() {
		address, _ := servePeer(func(_ int64, c net.Conn) {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nPeer: d1\r\nContent-Length: 0\r\n\r\n")
		})
		pool := exchange.NewPool(&net.Dialer{}, exchange.WithPeer(func(_ *fasthttp.RequestHeader, h *fasthttp.ResponseHeader) string { return string(h.Peek("Peer")) }))
		DeferCleanup(pool.Close)
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/")
		var peers []string
		for range 2 {
			response, err := pool.DoIf(ctx, address, request, func(peer string) error {
				peers = append(peers, peer)
				return nil
			})
			Expect(err).NotTo(HaveOccurred())
			response.Close()
		}
		Expect(peers).To(Equal([]string{"", "d1"}))
	})

	It("reports an unanswered request when the peer closes the connection", func() {
		address, _ := servePeer(func(_ int64, c net.Conn) { _ = c.Close() })
		_, err := get(ctx, pool, address)
		Expect(kindOf(err)).To(Equal(exchange.Unanswered))
	})
})
