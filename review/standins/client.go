//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hostName    = "ficu95.example"
	pathBook    = "/pule252/2f"
	pathRead    = "/puxa403/2f"
	serviceDesk = "wuno96b"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(lastID.Add(1))) }

// answer is what a client got for a request.
type answer struct {
	id     string
	status int // 0 if the connection ended without a whole answer
	err    error
	header http.Header
	body   string
	took   time.Duration
}

// connection is a client's connection to a host.
type connection struct {
	net.Conn
	reader *bufio.Reader
	served int // requests answered so far
}

// dial opens a connection; clients allow one second for that.
func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// request is a client's request.
type request struct {
	id, method, path string
	deadline         time.Duration
	header           []string
	body             []byte
	chunked          bool
	sendTime         time.Duration // over which the body is sent
}

func (r request) head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nSequoiarack-Request-Id: %s\r\nSequoiarack-Deadline-Ms: %d\r\n", r.method, r.path, hostName, r.id, r.deadline.Milliseconds())
	for _, line := range r.header {
		text.WriteString(line + "\r\n")
	}
	switch {
	case r.chunked:
		text.WriteString("Transfer-Encoding: chunked\r\n")
	case r.method != http.MethodGet || len(r.body) > 0:
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	return text.String() + "\r\n"
}

func (r request) payload() []byte {
	if !r.chunked {
		return r.body
	}
	const chunk = 700
	var out []byte
	for rest := r.body; len(rest) > 0; {
		n := min(chunk, len(rest))
		out = append(out, fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])...)
		rest = rest[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// do sends a request and reads the answer.
func (c *connection) do(r request) answer {
	began := time.Now()
	out := answer{id: r.id}
	_ = c.SetDeadline(began.Add(r.deadline + 500*time.Millisecond))
	if out.err = c.send(r); out.err != nil {
		return out
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		out.err, out.took = err, time.Since(began)
		return out
	}
	body, err := io.ReadAll(response.Body)
	out.header, out.body, out.err, out.took = response.Header, string(body), err, time.Since(began)
	if err == nil {
		out.status = response.StatusCode
		c.served++
	}
	return out
}

// deskConfig is a configuration with a booking and a lookup.
func deskConfig(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000, "target_latency_ms": 500, "priority": 2,
			"service": serviceDesk, "max_attempts": attempts, "home_regions": []any{},
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("r-book", "/pule252/", "non_idempotent", 1), route("r-read", "/puxa403/", "idempotent", 2)},
		"services": []any{map[string]any{
			"name": serviceDesk, "health_path": "/health", "max_conns": 214, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// send writes a request, its body in pieces over the time that the request states.
func (c *connection) send(r request) error {
	const pieces = 30
	if _, err := c.Write([]byte(r.head())); err != nil {
		return err
	}
	body := r.payload()
	for n := range pieces {
		if r.sendTime == 0 {
			break
		}
		piece := body[:len(body)/(pieces-n)]
		if _, err := c.Write(piece); err != nil {
			return err
		}
		body = body[len(piece):]
		time.Sleep(r.sendTime / pieces)
	}
	_, err := c.Write(body)
	return err
}

// The bounds and figures that the cases share.
const (
	maxFDs        = 2870 // max_fds of the settings' example
	maxLost       = 3    // of the rule LOST
	deskReplicas  = 6
	deskSlots     = 6
	meanWork      = 60 * time.Millisecond // of the sheet, as maxWork
	maxWork       = 450 * time.Millisecond
	callDeadline  = 5 * time.Second
	resolvePeriod = time.Second // ttl_s of the directory
)

// directory is what clients know of the entry hosts.
type directory struct {
	mu        sync.Mutex
	addresses []string
}

// refresh asks the hosts in turn, as clients do, until the play ends.
func (d *directory) refresh(f *fleet, done <-chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for {
		for _, h := range f.hosts {
			response, err := client.Get(fmt.Sprintf("http://%s/sequoiarack/resolve?name=%s&region=%s&zone=%s", h.directory(), hostName, region, zone))
			if err != nil {
				continue
			}
			var body struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(response.Body).Decode(&body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK && len(body.Addresses) > 0 {
				d.mu.Lock()
				d.addresses = body.Addresses
				d.mu.Unlock()
				break
			}
		}
		select {
		case <-done:
			return
		case <-time.After(resolvePeriod):
		}
	}
}

// pick returns an address at random, another one than the one that has just failed if possible.
func (d *directory) pick(failed string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, a := range d.addresses {
		if a != failed {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		out = d.addresses
	}
	if len(out) == 0 {
		return ""
	}
	return out[rand.IntN(len(out))]
}

// cut is a request whose connection ended without an answer.
type cut struct {
	id, host string
	kept     bool
	at       time.Time
}
