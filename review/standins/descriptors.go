//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment of the case: hosts with the descriptors of the settings' example, and users
// that each keep one connection and send a request every thinkTime. A connection is idle for
// less than four fifths of idle_timeout_ms.
const (
	hostCount    = 3
	userCount    = 3300
	thinkTime    = 10800 * time.Millisecond
	rampTime     = 12 * time.Second
	calmTime     = 14 * time.Second
	troubledTime = 40 * time.Second
	bookingShare = 0.69
)

func playDescriptors(f *fleet, trouble bool) (bool, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 2*userCount {
		return false, fmt.Errorf("the clients need %d descriptors, there are %d", 2*userCount, own.Cur)
	}
	f.maxFiles = maxFDs
	f.store.put("op/config", deskConfig(7))
	for n := range deskReplicas {
		p := &replica{
			id: fmt.Sprintf("i-%02d", n), service: serviceDesk, address: fmt.Sprintf("%s.100.%d:8080", f.network, n+1), zone: zone, slots: 4 * deskSlots, store: f.store,
			work: func(*http.Request) time.Duration { return meanWork + rand.N(maxWork-meanWork) },
		}
		if err := p.start(); err != nil {
			return false, err
		}
		f.replicas = append(f.replicas, p)
	}
	for range hostCount {
		if _, err := f.addHost(zone, 1); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	f.record.say("%d hosts with %d descriptors each are ready; %d users keep a connection each and send a request every %s", hostCount, maxFDs, userCount, thinkTime)

	done := make(chan struct{})
	d := &directory{}
	go d.refresh(f, done)
	time.Sleep(resolvePeriod)
	var mu sync.Mutex
	var cuts []cut
	var sent, served, refused, open atomic.Int64
	var users sync.WaitGroup
	for range userCount {
		users.Add(1)
		go func() {
			defer users.Done()
			wait := func(t time.Duration) bool {
				select {
				case <-done:
					return false
				case <-time.After(t):
					return true
				}
			}
			var c *connection
			address := ""
			defer func() {
				if c != nil {
					_ = c.Close()
				}
			}()
			if !wait(rand.N(rampTime)) {
				return
			}
			for {
				if c == nil {
					address = d.pick(address)
					var err error
					if c, err = dial(address); err != nil {
						c = nil
						if !wait(200*time.Millisecond + rand.N(time.Second)) {
							return
						}
						continue
					}
					open.Add(1)
				}
				r := request{id: newID(), method: http.MethodGet, path: pathRead, deadline: callDeadline}
				if rand.Float64() < bookingShare {
					r.method, r.path, r.body = http.MethodPost, pathBook, []byte("{\"coil\":\""+r.id+"\"}")
				}
				kept := c.served > 0
				sent.Add(1)
				a := c.do(r)
				switch {
				case a.status == 0:
					mu.Lock()
					cuts = append(cuts, cut{id: r.id, host: address, kept: kept, at: time.Now()})
					mu.Unlock()
				case a.status == http.StatusOK:
					served.Add(1)
				default:
					refused.Add(1)
				}
				if a.status == 0 || a.header.Get("Connection") == "close" {
					_ = c.Close()
					c = nil
					open.Add(-1)
				}
				if !wait(thinkTime - time.Second + rand.N(2*time.Second)) {
					return
				}
			}
		}()
	}
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Second):
				f.record.printf("sent %d, answered with success %d, otherwise %d, connections of clients %d", sent.Load(), served.Load(), refused.Load(), open.Load())
			}
		}
	}()
	time.Sleep(rampTime + calmTime)
	survivor := f.hosts[hostCount-1]
	if trouble {
		for _, h := range f.hosts[:hostCount-1] {
			f.record.say("%s is killed and does not return", h.name)
			h.remove(syscall.SIGKILL)
		}
	}
	time.Sleep(troubledTime)
	close(done)
	users.Wait()

	runs := map[string]run{}
	for _, p := range f.replicas {
		for _, r := range p.allRuns() {
			runs[r.id] = r
		}
	}
	lost := 0
	for _, c := range cuts {
		r, ran := runs[c.id]
		f.record.printf("request %s at %s ended without an answer, on a kept connection: %t; run: %t %s %s %s", c.id, c.host, c.kept, ran, r.replica, r.method, r.target)
		if c.kept && ran && c.host == survivor.front() {
			lost++
		}
	}
	for _, line := range survivor.logOf("too many open files", 3) {
		f.record.printf("log of %s: %s", survivor.name, line)
	}
	f.record.say("sent %d, answered with success %d, otherwise %d", sent.Load(), served.Load(), refused.Load())
	f.record.say("the process of %s, which had no disruption, ended by itself %d times", survivor.name, survivor.endedByItself())
	f.record.say("LOST: requests that it passed on from kept connections to sound replicas and whose connections it closed without an answer: %d (bound %d)", lost, maxLost)
	return lost > maxLost, nil
}

func init() { plays["descriptors"] = playDescriptors }
