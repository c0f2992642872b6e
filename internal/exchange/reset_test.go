package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

// acceptEach calls handle with each connection, one after the other, and returns the address to connect to.
func acceptEach(handle func(c *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			handle(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// serveEarly answers each connection once the head of the request has come: it writes text, waits until the
// sender can write no more, and ends the connection.
func serveEarly(text string, end func(c *net.TCPConn)) string {
	return acceptEach(func(c *net.TCPConn) {
		go func() {
			var head fasthttp.RequestHeader
			if head.Read(bufio.NewReader(c)) == nil {
				_, _ = io.WriteString(c, text)
			}
			time.Sleep(20 * time.Millisecond)
			end(c)
		}()
	})
}

// upload sends a body of the given length and reads the response.
func upload(address string, bytes int) (string, error) {
	pool := exchange.NewPool(link.NewSystem(""), exchange.WithCloseDelimited())
	defer pool.Close()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/")
	request.SetBodyRaw(make([]byte, bytes))
	response, err := pool.Do(context.Background(), address, request)
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1 << 20)
	return string(body), err
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

var _ = Describe("a response to a request that is still being written", func() {
	const uploadBytes = 16 << 20 // more than the buffers of a connection hold

	// Guards against callers that get a part of a response as a whole one (MIXED): the write under way takes the
	// error of a reset, after which the connection seems to end in order.
	DescribeTable("is incomplete without a length if the connection is reset",
		func(end func(c *net.TCPConn)) {
			address := serveEarly("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", end)
			for range 5 {
				body, err := upload(address, uploadBytes)
				Expect(err).To(HaveOccurred(), "got %q as a whole body", body)
			}
		},
		Entry("at once", reset),
		Entry("as it is closed with unread bytes", func(c *net.TCPConn) { _ = c.Close() }),
	)

	// Guards against the same if the peer closes before the request arrives: the system holds the request, and the
	// reset comes after the end of the response.
	It("is incomplete without a length if the peer closes before it arrives", func() {
		address := acceptEach(func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
			_ = c.Close()
		})
		const uploads, bufferedBytes = 200, 64 << 10
		for range uploads {
			body, err := upload(address, bufferedBytes)
			Expect(err).To(HaveOccurred(), "got %q as a whole body", body)
		}
	})

	It("is whole with a length, though the connection is reset", func() {
		address := serveEarly("HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nlong", reset)
		Expect(upload(address, uploadBytes)).To(Equal("long"))
	})

	It("is whole without a length if the peer reads on and closes in order", func() {
		address := serveEarly("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		})
		Expect(upload(address, uploadBytes)).To(Equal("whole"))
	})
})
