//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	header                 []string
	body                   []byte
	deadline               time.Duration
	chunked                bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// bytes returns the request as it is sent.
func (q request) bytes() []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, q.host, headerID, q.id, headerDeadline, q.deadline.Milliseconds())
	for _, line := range q.header {
		b.WriteString(line + "\r\n")
	}
	if q.chunked {
		_, _ = fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(q.body), q.body)
		return b.Bytes()
	}
	if q.method != http.MethodGet || len(q.body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// result is what a client got. Its status is 0 without a complete answer.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// connection is a connection of a client to a host.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request and reads the whole answer.
func (c *connection) send(q request) result {
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	if _, err := c.Write(q.bytes()); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result{err: err, header: response.Header}
	}
	return result{status: response.StatusCode, header: response.Header, body: body}
}

// once sends a request on a new connection.
func once(address string, q request) result {
	c, err := connect(address)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.send(q)
}
