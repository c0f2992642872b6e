//go:build review

package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	id       string
	replica  string
	method   string
	target   string
	bodyHash string
	bodySize int
	at       time.Time
}

// replica is a stand-in of a replica of a service. It runs a bounded number of requests at a
// time, queues a few more, and rejects the rest.
type replica struct {
	id, service, address, zone string
	slots                      int
	work                       func(r *http.Request) time.Duration
	store                      *store
	// onRequest, if set, answers a request in place of the replica and reports whether it did.
	onRequest func(c net.Conn, r *http.Request, body []byte) bool
	keepBody  bool

	places   chan struct{}
	listener net.Listener
	born     int64

	mu      sync.Mutex
	runs    []run
	bodies  map[string][]byte
	running int
	state   string
	seq     int
	conns   map[net.Conn]bool
	ended   bool
}

const (
	replicaIdleTimeout = 30 * time.Second
	heartbeatInterval  = 1200 * time.Millisecond
)

func (p *replica) start() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener, p.places, p.state = listener, make(chan struct{}, p.slots), "ready"
	p.conns, p.bodies, p.born = map[net.Conn]bool{}, map[string][]byte{}, time.Now().UnixMilli()
	go p.accept()
	p.beat()
	go func() {
		for range time.Tick(heartbeatInterval) {
			if !p.beat() {
				return
			}
		}
	}()
	return nil
}

// beat writes the replica's entry, unless the replica has ended.
func (p *replica) beat() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.seq++
	p.store.put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": p.state,
		"cold_left_ms": 0, "stage": "both", "models": []any{}, "seq": p.seq, "born": p.born,
	})
	return true
}

func (p *replica) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.serve(c)
	}
}

func (p *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(replicaIdleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !p.answer(c, r, body) {
			return
		}
	}
}

func (p *replica) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", p.running, p.slots)
}

// answer serves one request and reports whether the connection stays open.
func (p *replica) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Sequoiarack-Request-Id")
	head := fmt.Sprintf("Sequoiarack-Server-Load: %s\r\nKeep-Alive: timeout=%d\r\n", p.load(), int(replicaIdleTimeout.Seconds()))
	if id != "" {
		head += "Sequoiarack-Request-Id: " + id + "\r\n"
	}
	respond := func(status, extra, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, head, extra, len(body), body)
		return err == nil
	}
	switch {
	case r.URL.Path == "/health":
		return respond("200 OK", "Sequoiarack-Instance-Id: "+p.id+"\r\n", "")
	case strings.HasPrefix(r.URL.Path, "/sequoiarack/"):
		return respond("404 Not Found", "", "")
	}
	if expected := r.Header.Get("Sequoiarack-Expect-Instance"); expected != "" && expected != p.id {
		return respond("421 Misdirected Request", "Sequoiarack-Instance-Id: "+p.id+"\r\n", "")
	}
	if id == "" {
		return respond("400 Bad Request", "Sequoiarack-Not-Executed: 1\r\n", "")
	}
	select {
	case p.places <- struct{}{}:
	case <-time.After(time.Second):
		return respond("503 Service Unavailable", "Sequoiarack-Not-Executed: 1\r\n", "")
	}
	defer func() { <-p.places }()
	hash := sha256.Sum256(body)
	p.mu.Lock()
	p.running++
	p.runs = append(p.runs, run{id: id, replica: p.id, method: r.Method, target: r.RequestURI, bodyHash: hex.EncodeToString(hash[:8]), bodySize: len(body), at: time.Now()})
	if p.keepBody {
		p.bodies[id] = body
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.running--
		p.mu.Unlock()
	}()
	if p.onRequest != nil && p.onRequest(c, r, body) {
		return true
	}
	time.Sleep(p.work(r))
	return respond("200 OK", "Sequoiarack-Response-Seal: "+sealOf(id)+"\r\nContent-Type: text/plain\r\n", answerTo(id))
}

// answerTo and sealOf return the body and the seal of the answer to a request.
func answerTo(id string) string { return strings.Repeat("answer to "+id+"\n", 800/(len(id)+11)) }

func sealOf(id string) string { return "seal." + id }

func (p *replica) allRuns() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.runs...)
}
