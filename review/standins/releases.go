//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of the case: model replicas that stream answers, of which one is replaced
// after the other, and a desk that stays.
const (
	serviceModel    = "huvo11a"
	pathDraft       = "/lohu930/2f"
	releaseHosts    = 2
	modelReplicas   = 3
	modelSlots      = 192
	draftEvents     = 48
	draftGap        = 60 * time.Millisecond
	draftUsers      = 330
	bookingUsers    = 100
	newConnUsers    = 20 // of bookingUsers, who open a connection for each request
	releaseGap      = time.Second
	drainTime       = 3 * time.Second // drain_ms
	exitDelay       = 2 * time.Second // that the old replica serves after drain_ms
	releaseSteady   = 8 * time.Second
	releaseDuration = 85 * time.Second
	draftDeadline   = 12 * time.Second
)

// modelConfig is the configuration of the desk with a route of streams.
func modelConfig(version int) map[string]any {
	c := deskConfig(version)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-draft", "host": hostName, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1200, "priority": 1,
		"service": serviceModel, "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 600, "home_regions": []any{},
	})
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": serviceModel, "health_path": "/health", "max_conns": 771, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
	})
	return c
}

// stream answers a request with a stream of events, in place of the replica's usual answer.
func (p *replica) stream(c net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("Sequoiarack-Request-Id")
	head := "HTTP/1.1 200 OK\r\nSequoiarack-Request-Id: " + id + "\r\nSequoiarack-Response-Seal: " + sealOf(id) + "\r\nSequoiarack-Server-Load: " + p.load() +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return true
	}
	for n := 1; n <= draftEvents; n++ {
		time.Sleep(draftGap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return true
		}
	}
	_, _ = c.Write([]byte("0\r\n\r\n"))
	return true
}

// drain reports that the replica leaves, serves for drain_ms and a little longer, and ends.
func (p *replica) drain() {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.beat()
	time.Sleep(drainTime + exitDelay)
	for p.busy() {
		time.Sleep(100 * time.Millisecond)
	}
	p.mu.Lock()
	p.ended = true
	conns := p.conns
	p.conns = map[net.Conn]bool{}
	p.mu.Unlock()
	p.store.remove("servers/" + p.id)
	_ = p.listener.Close()
	for c := range conns {
		_ = c.Close()
	}
}

func (p *replica) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running > 0
}

// descriptors returns the number of open descriptors of a host's process.
func (h *host) descriptors() int {
	h.mu.Lock()
	pid := h.command.Process.Pid
	h.mu.Unlock()
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return len(entries)
}

func playReleases(f *fleet, trouble bool) (bool, error) {
	f.maxFiles = maxFDs
	f.store.put("op/config", modelConfig(7))
	var mu sync.Mutex
	add := func(service string, slots int) (*replica, error) {
		mu.Lock()
		n := len(f.replicas)
		mu.Unlock()
		p := &replica{
			id: fmt.Sprintf("i-%04d", n), service: service, address: fmt.Sprintf("%s.%d.%d:8080", f.network, 100+n/200, 1+n%200), zone: zone, slots: slots, store: f.store,
			work: func(*http.Request) time.Duration { return meanWork + rand.N(maxWork-meanWork) },
		}
		if service == serviceModel {
			p.onRequest = p.stream
		}
		mu.Lock()
		f.replicas = append(f.replicas, p)
		mu.Unlock()
		return p, p.start()
	}
	for range 4 {
		if _, err := add(serviceDesk, 4*deskSlots); err != nil {
			return false, err
		}
	}
	var serving []*replica
	for range modelReplicas {
		p, err := add(serviceModel, modelSlots)
		if err != nil {
			return false, err
		}
		serving = append(serving, p)
	}
	for range releaseHosts {
		if _, err := f.addHost(zone, 1); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	done := make(chan struct{})
	d := &directory{}
	go d.refresh(f, done)
	time.Sleep(resolvePeriod)
	var cuts []cut
	var sent, served, refused, broken atomic.Int64
	var users sync.WaitGroup
	user := func(draft, keeps bool, think time.Duration) {
		defer users.Done()
		var c *connection
		address := ""
		time.Sleep(rand.N(3 * time.Second))
		for {
			select {
			case <-done:
				if c != nil {
					_ = c.Close()
				}
				return
			default:
			}
			if c == nil {
				address = d.pick(address)
				var err error
				if c, err = dial(address); err != nil {
					c = nil
					time.Sleep(300 * time.Millisecond)
					continue
				}
			}
			r := request{id: newID(), method: http.MethodPost, path: pathBook, deadline: callDeadline, body: []byte("{}")}
			if draft {
				r.path, r.deadline = pathDraft, draftDeadline
				r.header = []string{"Sequoiarack-Model: m", "Sequoiarack-Token-Counts: 1460,384", fmt.Sprintf("Sequoiarack-Prompt-Prefix: 5c1e07a2:800,%x:660", rand.Uint32())}
			}
			kept := c.served > 0
			sent.Add(1)
			a := c.do(r)
			switch {
			case a.status == 0 && a.header == nil:
				mu.Lock()
				cuts = append(cuts, cut{id: r.id, host: address, kept: kept, at: time.Now()})
				mu.Unlock()
			case a.status == 0:
				broken.Add(1)
			case a.status == http.StatusOK:
				served.Add(1)
			default:
				refused.Add(1)
			}
			if a.status == 0 || !keeps || a.header.Get("Connection") == "close" {
				_ = c.Close()
				c = nil
			}
			time.Sleep(think/2 + rand.N(think))
		}
	}
	for range draftUsers {
		users.Add(1)
		go user(true, true, 300*time.Millisecond)
	}
	for n := range bookingUsers {
		users.Add(1)
		go user(false, n >= newConnUsers, 300*time.Millisecond)
	}
	time.Sleep(releaseSteady)
	began, replaced := time.Now(), 0
	ended := func() int {
		n := 0
		for _, h := range f.hosts {
			n += h.endedByItself()
		}
		return n
	}
	for time.Since(began) < releaseDuration && ended() < releaseHosts {
		time.Sleep(releaseGap)
		if trouble && ended() == 0 {
			p, err := add(serviceModel, modelSlots)
			if err != nil {
				return false, err
			}
			old := serving[0]
			serving = append(serving[1:], p)
			go old.drain()
			replaced++
		}
		if replaced%5 == 0 {
			f.record.printf("replicas replaced %d; descriptors of the hosts %d and %d; sent %d, answered with success %d, otherwise %d, streams broken off %d",
				replaced, f.hosts[0].descriptors(), f.hosts[1].descriptors(), sent.Load(), served.Load(), refused.Load(), broken.Load())
		}
	}
	close(done)
	users.Wait()
	runs := map[string]run{}
	for _, p := range f.replicas {
		for _, r := range p.allRuns() {
			runs[r.id] = r
		}
	}
	lost := map[string]int{}
	for _, c := range cuts {
		r, ran := runs[c.id]
		f.record.printf("request %s at %s ended without an answer, on a kept connection: %t; run: %t %s %s", c.id, c.host, c.kept, ran, r.replica, r.target)
		if c.kept && ran {
			lost[strings.Split(c.host, ":")[0]]++
		}
	}
	most := 0
	for _, h := range f.hosts {
		most = max(most, lost[h.ip])
		for _, line := range h.logOf("too many open files", 1) {
			f.record.printf("log of %s: %.300s", h.name, line)
		}
		f.record.say("%s: its process ended by itself %d times; %d requests passed on from kept connections to sound replicas, and closed without an answer (bound %d)", h.name, h.endedByItself(), lost[h.ip], maxLost)
	}
	f.record.say("replicas replaced %d; sent %d, answered with success %d, otherwise %d, streams broken off %d", replaced, sent.Load(), served.Load(), refused.Load(), broken.Load())
	return most > maxLost, nil
}

func init() { plays["releases"] = playReleases }
