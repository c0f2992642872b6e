//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	greyReplicas = 7
	greyShare    = 0.4 // of its requests that the grey replica fails
	greyUsers    = 30
	greyTime     = 20 * time.Second
)

// playGrey has one of the replicas fail a part of the bookings that it has run, with a 503 that
// doesn't state that the booking has not run, while its health is good.
func playGrey(f *fleet, trouble bool) (bool, error) {
	f.store.put("op/config", deskConfig(7))
	for n := range greyReplicas {
		p := &replica{
			id: fmt.Sprintf("i-%02d", n), service: serviceDesk, address: fmt.Sprintf("%s.100.%d:8080", f.network, n+1), zone: zone, slots: deskSlots, store: f.store,
			work: func(*http.Request) time.Duration { return meanWork/2 + rand.N(meanWork) },
		}
		if n == 0 && trouble {
			p.onRequest = func(c net.Conn, r *http.Request, _ []byte) bool {
				if rand.Float64() >= greyShare {
					return false
				}
				time.Sleep(p.work(r))
				const text = "the ledger is not available"
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nSequoiarack-Request-Id: %s\r\nSequoiarack-Server-Load: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
					r.Header.Get("Sequoiarack-Request-Id"), p.load(), len(text), text)
				return true
			}
		}
		if err := p.start(); err != nil {
			return false, err
		}
		f.replicas = append(f.replicas, p)
	}
	for range 2 {
		if _, err := f.addHost(zone, 1); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var answers []answer
	var users sync.WaitGroup
	until := time.Now().Add(greyTime)
	for n := range greyUsers {
		users.Add(1)
		go func() {
			defer users.Done()
			c, err := dial(f.hosts[n%len(f.hosts)].front())
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			for time.Now().Before(until) {
				a := c.do(request{id: newID(), method: http.MethodPost, path: pathBook, deadline: callDeadline, body: []byte("{}")})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.status == 0 {
					return
				}
				time.Sleep(100*time.Millisecond + rand.N(200*time.Millisecond))
			}
		}()
	}
	users.Wait()
	ran := map[string]string{}
	for _, p := range f.replicas {
		for _, r := range p.allRuns() {
			ran[r.id] = r.replica
		}
	}
	statuses, refused := map[int]int{}, 0
	for _, a := range answers {
		statuses[a.status]++
		replica, didRun := ran[a.id]
		if didRun && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
			f.record.printf("booking %s ran at %s and was answered %d", a.id, replica, a.status)
		}
	}
	f.record.say("%d bookings; statuses %v", len(answers), statuses)
	f.record.say("REFUSED: bookings that were answered 429 or 503 and have run: %d (bound 0)", refused)
	return refused > 0, nil
}

func init() { plays["grey"] = playGrey }
