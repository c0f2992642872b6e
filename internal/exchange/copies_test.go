package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

const (
	idHeader     = "X-Id"
	numberHeader = "X-Number"
	sendHeader   = "X-Send"
)

// copyPlan is what a copying peer does for one request.
type copyPlan struct {
	Status int
	// Unidentified leaves the ID out of the response.
	Unidentified bool
	// Before and After are the numbers of earlier responses of the connection, counted from its
	// last one, whose copies are sent before or after the response. InPieces splits them.
	Before, After int
	InPieces      bool
	// Early sends the copies of Before once the head of the request has been read.
	Early bool
	// Close closes the connection after the response.
	Close bool
}

// copyingPeer answers requests by plans and sends copies of its earlier responses.
type copyingPeer struct {
	listener net.Listener
	mu       sync.Mutex
	plans    map[string]copyPlan // by the number of the send
}

func newCopyingPeer() *copyingPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &copyingPeer{listener: listener, plans: map[string]copyPlan{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *copyingPeer) plan(number string, plan copyPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plans[number] = plan
}

func (p *copyingPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var sent []string
	write := func(text string, inPieces bool) {
		for len(text) > 0 {
			n := len(text)
			if inPieces {
				n = min(n, 7)
			}
			_, _ = io.WriteString(c, text[:n])
			text = text[n:]
		}
	}
	copies := func(n int, inPieces bool) {
		for i := max(0, len(sent)-n); i < len(sent); i++ {
			write(sent[i], inPieces)
		}
	}
	for {
		var request fasthttp.Request
		if request.Header.Read(reader) != nil {
			return
		}
		number := string(request.Header.Peek(sendHeader))
		p.mu.Lock()
		plan := p.plans[number]
		p.mu.Unlock()
		if plan.Early {
			copies(plan.Before, plan.InPieces)
		}
		if request.ContinueReadBody(reader, 1<<20) != nil {
			return
		}
		if !plan.Early {
			copies(plan.Before, plan.InPieces)
		}
		id := ""
		if !plan.Unidentified {
			id = idHeader + ": " + string(request.Header.Peek(idHeader)) + "\r\n"
		}
		if n := request.Header.Peek(numberHeader); len(n) > 0 { // peers that number their responses always do
			id += numberHeader + ": " + string(n) + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 %d Planned\r\n%sContent-Length: %d\r\n\r\n%s", plan.Status, id, len(number), number)
		write(answer, false)
		sent = append(sent, answer)
		copies(plan.After, plan.InPieces)
		if plan.Close {
			return
		}
	}
}

var _ = Describe("Pool of peers that repeat a header", func() {
	// Guards against a booking that runs twice, or is called not run although it ran, because the copy
	// of an earlier refusal passes for the response to the next send of the same request.
	DescribeTable("gives each send its own response or none, whatever copies of responses come", func(option exchange.Option) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			peer := newCopyingPeer()
			defer func() { _ = peer.listener.Close() }()
			pool := exchange.NewPool(link.NewSystem(""), option)
			defer pool.Close()
			var open []*exchange.Response
			var numbers []string
			read := func(i int) {
				body, err := open[i].ReadAll(1 << 20)
				if err == nil && string(body) != numbers[i] {
					t.Fatalf("send %s got the response to send %s", numbers[i], body)
				}
				open, numbers = append(open[:i:i], open[i+1:]...), append(numbers[:i:i], numbers[i+1:]...)
			}
			for n := range rapid.IntRange(2, 12).Draw(t, "sends") {
				number := strconv.Itoa(n)
				peer.plan(number, copyPlan{
					Status: rapid.SampledFrom([]int{200, 503}).Draw(t, "status"), Unidentified: rapid.IntRange(0, 9).Draw(t, "id") == 0,
					Before: rapid.IntRange(0, 2).Draw(t, "before"), After: rapid.IntRange(0, 2).Draw(t, "after"),
					InPieces: rapid.Bool().Draw(t, "pieces"), Early: rapid.Bool().Draw(t, "early"), Close: rapid.IntRange(0, 9).Draw(t, "close") == 0,
				})
				request := fasthttp.AcquireRequest()
				request.SetRequestURI("http://peer/")
				request.Header.SetMethod(fasthttp.MethodPost)
				if id := rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "request ID"); id != "" {
					request.Header.Set(idHeader, id)
				}
				request.Header.Set(sendHeader, number)
				request.SetBody(make([]byte, rapid.SampledFrom([]int{0, 100, 20_000}).Draw(t, "body")))
				response, err := pool.Do(context.Background(), peer.listener.Addr().String(), request)
				fasthttp.ReleaseRequest(request)
				if err == nil {
					open, numbers = append(open, response), append(numbers, number)
				}
				for len(open) > 0 && rapid.IntRange(0, 2).Draw(t, "read") > 0 {
					read(rapid.IntRange(0, len(open)-1).Draw(t, "which"))
				}
			}
			for len(open) > 0 {
				read(0)
			}
		})
	},
		Entry("by the ID of the caller, which comes more than once", exchange.WithEchoHeader(idHeader)),
		Entry("by a number of its own", exchange.WithNumbers(numberHeader)),
	)

	// Guards against a booking that runs twice, as a refusal without an ID passes for the response to the
	// first request on a connection.
	It("takes no response without the ID for the response to a request that has one", func() {
		peer := newCopyingPeer()
		DeferCleanup(peer.listener.Close)
		pool := exchange.NewPool(link.NewSystem(""), exchange.WithEchoHeader(idHeader))
		DeferCleanup(pool.Close)
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://peer/")
		request.Header.Set(idHeader, "a")
		request.Header.Set(sendHeader, "n")
		peer.plan("n", copyPlan{Status: fasthttp.StatusServiceUnavailable, Unidentified: true})
		_, err := pool.Do(context.Background(), peer.listener.Addr().String(), request)
		Expect(kindOf(err)).To(Equal(exchange.Unanswered))
	})

	// Guards against one connection for each request, which costs the peer time.
	It("reuses a connection for requests with other IDs, and opens one for each repeat", func() {
		peer := newCopyingPeer()
		DeferCleanup(peer.listener.Close)
		pool := exchange.NewPool(link.NewSystem(""), exchange.WithEchoHeader(idHeader))
		DeferCleanup(pool.Close)
		send := func(id string) string {
			request := fasthttp.AcquireRequest()
			defer fasthttp.ReleaseRequest(request)
			request.SetRequestURI("http://peer/")
			request.Header.Set(idHeader, id)
			request.Header.Set(sendHeader, "n")
			peer.plan("n", copyPlan{Status: fasthttp.StatusOK})
			response, err := pool.Do(context.Background(), peer.listener.Addr().String(), request)
			Expect(err).NotTo(HaveOccurred())
			_, err = response.ReadAll(1 << 20)
			Expect(err).NotTo(HaveOccurred())
			return response.LocalAddr()
		}
		first := send("a")
		Expect(send("b")).To(Equal(first))
		repeat := send("a")
		Expect(repeat).NotTo(Equal(first))
		Expect(send("c")).To(Equal(repeat))
		Expect(send("b")).To(Equal(repeat))
	})
})
