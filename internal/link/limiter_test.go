package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
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

// laterClock is a clock that can be put forward.
type laterClock struct {
	clock.System
	by atomic.Int64
}

func (l *laterClock) Now() time.Time { return time.Now().Add(time.Duration(l.by.Load())) }

// pages is a budget of memory.
type pages struct{ free atomic.Int64 }

func (p *pages) Reserve(n int) bool {
	if p.free.Add(-int64(n)) >= 0 {
		return true
	}
	p.free.Add(int64(n))
	return false
}

func (p *pages) Release(n int) { p.free.Add(int64(n)) }

var _ = Describe("Limiter", func() {
	var events *atomic.Int64
	var later laterClock
	BeforeEach(func() { later.by.Store(0) })
	// serve starts a server whose path /slow takes as long as it may.
	serve := func(slow <-chan struct{}, options ...link.LimiterOption) (*link.Limiter, string) {
		count := &atomic.Int64{}
		events = count
		l := link.NewLimiter(&later, append(options, link.WithOnEvent(func(link.Event) { count.Add(1) }))...)
		inner := listen()
		server := &fasthttp.Server{
			Handler: func(ctx *fasthttp.RequestCtx) {
				switch string(ctx.Path()) {
				case "/slow":
					<-slow
				case "/long":
					ctx.SetBody(make([]byte, 32<<20))
				case "/refused":
					link.Linger(ctx.Conn())
					ctx.Error("refused", fasthttp.StatusServiceUnavailable)
					ctx.SetConnectionClose()
				}
			}, StreamRequestBody: true, ConnState: l.OnState, ReduceMemoryUsage: true, IdleTimeout: time.Hour, ReadTimeout: time.Hour,
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

	// Guards against clients that do not get a refusal, as the system resets connections with unread bytes.
	It("lets a client that only reads at the end get the response to a body that is not read", func() {
		l, address := serve(nil)
		c := dial(address)
		body := make([]byte, 2<<20)
		_, err := fmt.Fprintf(c, "POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.status()).To(Equal(http.StatusServiceUnavailable))
		Eventually(l.Open).WithTimeout(10*time.Second).Should(BeZero(), "although the client stays")
	})

	It("closes connections whose bodies are not read first when there are too many", func() {
		_, address := serve(nil, link.WithMaxConns(2))
		idle, refused := dial(address), dial(address)
		Expect(idle.get()).To(Equal(http.StatusOK))
		_, err := fmt.Fprint(refused, "POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n"+strings.Repeat("x", 20_000))
		Expect(err).NotTo(HaveOccurred())
		Expect(refused.status()).To(Equal(http.StatusServiceUnavailable))
		Expect(dial(address).get()).To(Equal(http.StatusOK))
		Expect(idle.get()).To(Equal(http.StatusOK))
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

	// Guards against clients that keep all others out by requests that they never end.
	It("closes the connection whose client sends nothing for the longest time when none is idle, and none that waits for the server", func() {
		slow := make(chan struct{})
		l, address := serve(slow, link.WithMaxConns(3))
		busy, stalled, second := dial(address), dial(address), dial(address)
		_, err := fmt.Fprint(busy, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		expectActive := func(n int) { Eventually(func() int { return l.Open() - l.Idle() }).Should(Equal(n)) }
		expectActive(1)
		for i, c := range []*client{stalled, second} {
			_, err := fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx")
			Expect(err).NotTo(HaveOccurred())
			expectActive(2 + i)
		}
		Expect(dial(address).get()).To(Equal(0), "no client is silent for long")
		later.by.Store(int64(3 * time.Second))
		Expect(dial(address).get()).To(Equal(http.StatusOK))
		Expect(stalled.isClosed()).To(BeTrue())
		close(slow)
		Expect(busy.status()).To(Equal(http.StatusOK))
	})

	It("closes the connection whose client does not read its response when none is idle", func() {
		l, address := serve(nil, link.WithMaxConns(1))
		unread := dial(address)
		_, err := fmt.Fprint(unread, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return l.Open() - l.Idle() }).Should(Equal(1))
		Eventually(func() int {
			later.by.Add(int64(3 * time.Second))
			return dial(address).get()
		}).Should(Equal(http.StatusOK))
	})

	// Guards against connections that use up the memory of a small host, and against accounts that drift.
	It("keeps connections within a budget of memory, and returns it", func() {
		const connBytes, conns = 10, 4
		budget := &pages{}
		budget.free.Store(conns * connBytes)
		l, address := serve(nil, link.WithMemory(budget, connBytes))
		var list []*client
		for range 3 * conns {
			c := dial(address)
			Expect(c.get()).To(Equal(http.StatusOK))
			Eventually(l.Idle).Should(BeNumerically(">", 0))
			list = append(list, c)
		}
		Expect(list[0].isClosed()).To(BeTrue())
		Expect(list[len(list)-1].get()).To(Equal(http.StatusOK))
		Expect(budget.free.Load()).To(BeZero())
		for _, c := range list {
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		}
		Eventually(budget.free.Load).Should(Equal(int64(conns * connBytes)))
	})
})
