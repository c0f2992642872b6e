package exchange_test

import (
	"bufio"
	"context"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
)

const usualFields = "Content-Type: application/json\r\nSequoiarack-Request-Id: 9c41d07be2a35f68\r\nSequoiarack-Response-Seal: 5b1c07e2d4a96f83\r\n" +
	"Sequoiarack-Server-Load: 3,0,8,100\r\nSequoiarack-Instance-Id: d1\r\nServer-Limit: 40\r\nCache-Control: no-store\r\nVary: Accept-Encoding\r\n"

// BenchmarkCheckRequest measures the check of a usual request.
func BenchmarkCheckRequest(b *testing.B) {
	var h fasthttp.RequestHeader
	if err := h.Read(bufio.NewReader(strings.NewReader("POST /book/x HTTP/1.1\r\nHost: shop.example\r\n" + usualFields + "\r\n"))); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := exchange.CheckRequest(&h); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkResponse measures an exchange with a usual response, on a connection of its own.
func BenchmarkResponse(b *testing.B) {
	pool := exchange.NewPool(scriptedDialer("HTTP/1.1 200 OK\r\nConnection: close\r\n" + usualFields + "Content-Length: 4\r\n\r\nbody"))
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://peer/")
	for b.Loop() {
		response, err := pool.Do(context.Background(), "peer", request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := response.ReadAll(4); err != nil {
			b.Fatal(err)
		}
	}
}
