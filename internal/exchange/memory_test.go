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

var _ = Describe("MemoryBudget", func() {
	const chunkBytes, limit, budgetBytes = 32 << 10, 8 << 20, 1 << 20

	read := func(budget *exchange.MemoryBudget, address string) (exchange.Body, error) {
		pool := exchange.NewPool(link.NewSystem("127.0.0.1"))
		defer pool.Close()
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/")
		response, err := pool.Do(context.Background(), address, request)
		Expect(err).NotTo(HaveOccurred())
		return response.ReadAllWithin(budget, limit)
	}

	It("limits the memory of endless bodies that are read at the same time", func() {
		address, _ := servePeer(func(_ int64, c net.Conn) {
			_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for err == nil {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
			}
		})
		budget := exchange.NewMemoryBudget(budgetBytes)
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				defer GinkgoRecover()
				_, err := read(budget, address)
				kind, _ := failure.KindOf[exchange.Kind](err)
				Expect(kind).To(Equal(exchange.TooLarge))
				Expect(budget.Reserved()).To(BeNumerically("<", 2*budgetBytes)) // a rejected reservation counts until it is undone
			})
		}
		wait.Wait()
		Expect(budget.Reserved()).To(BeZero())
	})

	It("reserves memory for a long body until it is released, and none for a short one", func() {
		long := strings.Repeat("x", 300<<10)
		address, _ := servePeer(func(n int64, c net.Conn) {
			if n == 1 {
				_, _ = fmt.Fprint(c, okResponse(long))
			} else {
				_, _ = fmt.Fprint(c, okResponse("short"))
			}
		})
		budget := exchange.NewMemoryBudget(budgetBytes)
		body, err := read(budget, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body.Bytes)).To(Equal(long))
		Expect(budget.Reserved()).To(BeNumerically(">=", len(long)-64<<10))
		short, err := read(budget, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(short.Bytes)).To(Equal("short"))
		Expect(short.HasReservation()).To(BeFalse())
		body.Release()
		body.Release()
		Expect(budget.Reserved()).To(BeZero())
	})
})
