package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

// client is an open connection to the server under test.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) *client {
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

// get sends a request and returns the status, 0 if the connection was closed.
func (c *client) get() int {
	_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	return c.status()
}

func (c *client) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// isClosed reports whether the server closes the connection before the deadline.
func (c *client) isClosed() bool {
	_, err := c.reader.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

var _ = Describe("Limiter", func() {
	var events *atomic.Int64
	// serve starts a server whose path /slow takes as long as it may.
	serve := func(slow <-chan struct{}, options ...link.LimiterOption) (*link.Limiter, string) {
		count := &atomic.Int64{}
		events = count
		l := link.NewLimiter(clock.System{}, append(options, link.WithOnEvent(func(link.Event) { count.Add(1) }))...)
		inner := listen()
		server := &fasthttp.Server{
			Handler: func(ctx *fasthttp.RequestCtx) {
				if string(ctx.Path()) == "/slow" {
					<-slow
				}
			}, ConnState: l.OnState, ReduceMemoryUsage: true, IdleTimeout: time.Hour, ReadTimeout: time.Hour,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- server.Serve(l.Listen(inner)) }()
		go func() {
			for ctx.Err() == nil {
				l.Sweep()
				time.Sleep(20 * time.Millisecond)
			}
		}()
		DeferCleanup(func() {
			cancel()
			_ = inner.Close()
			Expect(<-done).To(Succeed())
		})
		return l, inner.Addr().String()
	}

	It("closes connections that are idle for too long, and none on which a request is under way", func() {
		slow := make(chan struct{})
		l, address := serve(slow, link.WithIdleTimeout(300*time.Millisecond))
		silent, used, busy := dial(address), dial(address), dial(address)
		Expect(used.get()).To(Equal(http.StatusOK))
		_, err := fmt.Fprint(busy, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(silent.isClosed()).To(BeTrue())
		Expect(used.isClosed()).To(BeTrue())
		time.Sleep(600 * time.Millisecond)
		Expect(l.Open()).To(Equal(1))
		close(slow)
		Expect(busy.status()).To(Equal(http.StatusOK))
		Expect(events.Load()).To(Equal(int64(2)))
	})

	It("applies other timeouts to open connections", func() {
		l, address := serve(nil, link.WithIdleTimeout(time.Hour))
		idle, slow := dial(address), dial(address)
		Expect(idle.get()).To(Equal(http.StatusOK))
		Expect(slow.get()).To(Equal(http.StatusOK))
		l.SetTimeouts(time.Hour, 200*time.Millisecond)
		_, err := fmt.Fprint(slow, "GET / HT")
		Expect(err).NotTo(HaveOccurred())
		Expect(slow.status()).To(BeElementOf(http.StatusRequestTimeout, http.StatusBadRequest)) // as the library's default is
		Expect(idle.get()).To(Equal(http.StatusOK))
		l.SetTimeouts(200*time.Millisecond, 0)
		Expect(idle.isClosed()).To(BeTrue())
	})

	It("closes the connection that has been idle for the longest time when there are too many", func() {
		slow := make(chan struct{})
		l, address := serve(slow, link.WithMaxConns(3))
		busy := dial(address)
		_, err := fmt.Fprint(busy, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		first, second := dial(address), dial(address)
		// The server takes a connection for idle after its client has the response.
		expectIdle := func(n int) { Eventually(l.Idle).Should(Equal(n)) }
		Expect(first.get()).To(Equal(http.StatusOK))
		Expect(second.get()).To(Equal(http.StatusOK))
		expectIdle(2)
		Expect(first.get()).To(Equal(http.StatusOK))
		expectIdle(2)
		third := dial(address)
		Expect(third.get()).To(Equal(http.StatusOK))
		Expect(second.isClosed()).To(BeTrue())
		Expect(first.get()).To(Equal(http.StatusOK))
		for _, c := range []*client{first, third} {
			_, err := fmt.Fprint(c, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(l.Idle).Should(BeZero())
		Expect(dial(address).get()).To(Equal(0), "no connection is idle")
		close(slow)
		for _, c := range []*client{busy, first, third} {
			Expect(c.status()).To(Equal(http.StatusOK))
		}
	})

	// Guards against requests that are lost because their connection is closed as idle meanwhile.
	It("answers each request whose first byte has been read, however often connections make room", func() {
		l, address := serve(nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for ctx.Err() == nil {
				l.MakeRoom()
			}
		}()
		answered := 0
		for range 2000 {
			c, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			k := &client{Conn: c, reader: bufio.NewReader(c)}
			status := k.get()
			Expect(status).To(BeElementOf(0, http.StatusOK))
			if status == http.StatusOK {
				answered++
			}
			Expect(c.Close()).To(Succeed())
		}
		Expect(answered).To(BeNumerically(">", 0))
	})
})
