//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// replica is a server of a plain service or a model. It runs slots requests at once, queues a few
// more and refuses others.
type replica struct {
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	// after is called after an answer was written; it may write more bytes.
	after func(e *exchangeEnd)
	// sheds reports whether the replica turns a request away although it has room.
	sheds func() bool
	// handle answers a request that is run, if it is set. Otherwise a complete answer is sent.
	handle func(c net.Conn, r *arrival)
	record *record
	store  *store
	born   int64
	// coldUntil is when the replica stops being cold.
	coldUntil time.Time
	// leaving is set once the replica has reported that it drains; it says so in its answers too.
	leaving bool

	listener net.Listener
	turns    chan struct{}
	mu       sync.Mutex
	waiting  int
	running  int
	seq      int64
	arrivals []time.Time // while it is cold
	conns    map[net.Conn]bool
	down     bool
}

// arrival is a request that has reached a replica.
type arrival struct {
	id, method, target string
	header             http.Header
	body               []byte
}

// exchangeEnd is an answer that a replica has written.
type exchangeEnd struct {
	conn    net.Conn
	request *arrival
	answer  []byte
	refused bool
}

func (r *replica) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener, r.turns, r.conns, r.born = listener, make(chan struct{}, r.slots), map[net.Conn]bool{}, time.Now().UnixMilli()
	r.beat()
	go r.heartbeats()
	go r.accept()
	return nil
}

func (r *replica) heartbeats() {
	for {
		time.Sleep(heartbeat)
		r.mu.Lock()
		down := r.down
		r.mu.Unlock()
		if down {
			return
		}
		r.beat()
	}
}

// beat writes the replica's entry to the store.
func (r *replica) beat() {
	r.mu.Lock()
	r.seq++
	seq, state := r.seq, "ready"
	if r.leaving {
		state = "draining"
	}
	r.mu.Unlock()
	r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_left_ms": r.coldLeft().Milliseconds(), "seq": seq, "born": r.born,
	})
}

// coldLeft returns how much longer the replica is cold.
func (r *replica) coldLeft() time.Duration { return max(0, time.Until(r.coldUntil)) }

// mostInOneSecond returns the most arrivals within a second.
func (r *replica) mostInOneSecond() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most, first := 0, 0
	for last := range r.arrivals {
		for r.arrivals[last].Sub(r.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// arrive records the arrival of a request.
func (r *replica) arrive(a *arrival) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, time.Now())
	r.mu.Unlock()
	r.record.event("arrived", a.id, r.id, fmt.Sprintf("cold for another %s", r.coldLeft().Round(time.Millisecond)))
}

// drain reports that the replica leaves. It goes on serving.
func (r *replica) drain() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.beat()
}

// crash ends the replica: its connections are reset, and nothing listens any more.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.serve(c)
			_ = c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

// serve answers the requests of a connection one after the other.
func (r *replica) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		parsed, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(parsed.Body)
		if err != nil {
			return
		}
		a := &arrival{id: parsed.Header.Get(headerID), method: parsed.Method, target: parsed.RequestURI, header: parsed.Header, body: body}
		end := &exchangeEnd{conn: c, request: a}
		if r.coldLeft() > 0 && a.target != healthPath {
			r.arrive(a)
		}
		switch {
		case a.target == healthPath:
			end.answer = r.answer(a, http.StatusOK, "", headerInstance+": "+r.id, headerCold+": "+strconv.FormatInt(r.coldLeft().Milliseconds(), 10))
		case a.header.Get(headerExpect) != "" && a.header.Get(headerExpect) != r.id:
			end.answer, end.refused = r.answer(a, http.StatusMisdirectedRequest, "", headerNotExecuted+": 1"), true
		case r.sheds != nil && r.sheds() || !r.enter(a):
			r.record.event("refused", a.id, r.id, "503")
			end.answer, end.refused = r.answer(a, http.StatusServiceUnavailable, "full", headerNotExecuted+": 1"), true
		case r.handle != nil:
			r.record.run(a.id, r)
			r.handle(c, a)
			r.leave()
			continue
		default:
			r.record.run(a.id, r)
			time.Sleep(r.work)
			r.leave()
			end.answer = r.answer(a, http.StatusOK, "done "+a.id, headerSeal+": "+sealOf(a.id))
		}
		if _, err := c.Write(end.answer); err != nil {
			return
		}
		if r.after != nil {
			r.after(end)
		}
	}
}

// enter waits for a slot. It returns false if the queue is full or the request's time is over.
func (r *replica) enter(a *arrival) bool {
	ctx, cancel := context.WithCancel(context.Background())
	if ms, err := strconv.Atoi(a.header.Get(headerDeadline)); err == nil {
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(ms)*time.Millisecond)
	}
	defer cancel()
	r.mu.Lock()
	if r.running+r.waiting >= r.slots+r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	entered := false
	select {
	case r.turns <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	if entered {
		r.running++
	}
	return entered
}

func (r *replica) leave() {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	<-r.turns
}

// answer returns the bytes of an answer with a length.
func (r *replica) answer(a *arrival, status int, body string, extra ...string) []byte {
	r.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
	leaving := r.leaving
	r.mu.Unlock()
	lines := append([]string{
		fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)),
		"Content-Length: " + strconv.Itoa(len(body)), headerLoad + ": " + load,
	}, extra...)
	if leaving {
		lines = append(lines, headerLeaving+": 1")
	}
	if a.id != "" {
		lines = append(lines, headerID+": "+a.id)
	}
	return []byte(strings.Join(lines, "\r\n") + "\r\n\r\n" + body)
}

func sealOf(id string) string { return "5ea1." + id }
