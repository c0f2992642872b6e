package exchange_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

var _ = Describe("the memory of long bodies", func() {
	const block, limit, memoryBytes = 32 << 10, 8 << 20, 1 << 20

	read := func(memory *exchange.MemoryBudget, address string) (exchange.Body, error) {
		pool := exchange.NewPool(link.NewSystem("127.0.0.1"))
		defer pool.Close()
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/")
		response, err := pool.Do(context.Background(), address, request)
		Expect(err).NotTo(HaveOccurred())
		return response.ReadAllWithin(memory, limit)
	}

	It("is bounded for all bodies together that never end", func() {
		address, _ := peer(func(_ int64, c net.Conn) {
			_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", block, strings.Repeat("x", block))
			}
		})
		memory := exchange.NewMemoryBudget(memoryBytes)
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				_, err := read(memory, address)
				kind, _ := failure.KindOf[exchange.Kind](err)
				Expect(kind).To(Equal(exchange.TooLarge))
				Expect(memory.Reserved()).To(BeNumerically("<", 2*memoryBytes)) // one that is refused counts for a moment
			})
		}
		wait.Wait()
		Expect(memory.Reserved()).To(BeZero())
	})

	It("counts a long body until it is released, and a short one not at all", func() {
		long := strings.Repeat("x", 300<<10)
		address, _ := peer(func(n int64, c net.Conn) {
			if n == 1 {
				_, _ = fmt.Fprint(c, whole(long))
			} else {
				_, _ = fmt.Fprint(c, whole("short"))
			}
		})
		memory := exchange.NewMemoryBudget(memoryBytes)
		body, err := read(memory, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body.Bytes)).To(Equal(long))
		Expect(memory.Reserved()).To(BeNumerically(">=", len(long)-64<<10))
		short, err := read(memory, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(short.Bytes)).To(Equal("short"))
		Expect(short.HasReservation()).To(BeFalse())
		body.Release()
		body.Release()
		Expect(memory.Reserved()).To(BeZero())
	})
})
