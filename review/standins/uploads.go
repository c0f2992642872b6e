//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment of the case: hosts with the memory of the settings' example, and clients that
// stay within max_body_bytes.
const (
	memoryMB       = 206
	longBodyBytes  = 4 << 20 // max_body_bytes
	shortBodyBytes = 600     // the mean of the sheet
	shortClients   = 40
	longClients    = 24
	burstClients   = 36 // more, so that there are 2.5 times the usual ones
	memoryPoll     = 20 * time.Millisecond
	uploadHosts    = 2
	longSendTime   = 3500 * time.Millisecond // 288 Mbit/s of link_mbps = 700 at a host
	shortThinkTime = 200 * time.Millisecond
	longThinkTime  = 100 * time.Millisecond
	uploadDeadline = 5 * time.Second
	uploadSteady   = 15 * time.Second
	uploadTroubled = 40 * time.Second
)

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb * 1024 / 1_000_000
		}
	}
	return 0
}

// limitMemory kills the process of a host when it exceeds its memory, as the platform does, and
// returns the most that it has had.
func (h *host) limitMemory(done <-chan struct{}, peak *atomic.Int64) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryPoll):
		}
		h.mu.Lock()
		pid := h.command.Process.Pid
		h.mu.Unlock()
		used := residentMB(pid)
		peak.Store(max(peak.Load(), int64(used)))
		if used > memoryMB {
			h.fleet.record.say("%s uses %d MB of %d and is killed", h.name, used, memoryMB)
			h.signal(syscall.SIGKILL)
			time.Sleep(restartDelay / 2)
		}
	}
}

func playUploads(f *fleet, trouble bool) (bool, error) {
	f.store.put("op/config", deskConfig(7))
	for n := range deskReplicas {
		p := &replica{
			id: fmt.Sprintf("i-%02d", n), service: serviceDesk, address: fmt.Sprintf("%s.100.%d:8080", f.network, n+1), zone: zone, slots: deskSlots, store: f.store,
			work: func(*http.Request) time.Duration { return meanWork/2 + rand.N(meanWork) },
		}
		if err := p.start(); err != nil {
			return false, err
		}
		f.replicas = append(f.replicas, p)
	}
	for range uploadHosts {
		if _, err := f.addHost(zone, 1); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	done := make(chan struct{})
	peaks := make([]atomic.Int64, uploadHosts)
	for i, h := range f.hosts {
		go h.limitMemory(done, &peaks[i])
	}
	var mu sync.Mutex
	var cuts []cut
	statuses := map[int]int{}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	// client sends bookings to one host on a kept connection until the end.
	client := func(h *host, size int, sendTime, think time.Duration) {
		defer clients.Done()
		var c *connection
		time.Sleep(rand.N(time.Second))
		for {
			select {
			case <-stop:
				return
			default:
			}
			if c == nil {
				var err error
				if c, err = dial(h.front()); err != nil {
					c = nil
					time.Sleep(100 * time.Millisecond)
					continue
				}
			}
			r := request{id: newID(), method: http.MethodPost, path: pathBook, deadline: uploadDeadline, body: bytes.Repeat([]byte("x"), size), sendTime: sendTime}
			kept := c.served > 0
			a := c.do(r)
			mu.Lock()
			statuses[a.status]++
			if a.status == 0 {
				cuts = append(cuts, cut{id: r.id, host: h.name, kept: kept, at: time.Now()})
			}
			mu.Unlock()
			if a.status == 0 {
				_ = c.Close()
				c = nil
			}
			time.Sleep(think/2 + rand.N(think))
		}
	}
	start := func(count, size int, sendTime, think time.Duration) {
		for n := range count {
			clients.Add(1)
			go client(f.hosts[n%len(f.hosts)], size, sendTime, think)
		}
	}
	start(shortClients, shortBodyBytes, 0, shortThinkTime)
	start(longClients, longBodyBytes, longSendTime, longThinkTime)
	f.record.say("%d clients send bookings of %d bytes, %d of %d bytes", shortClients, shortBodyBytes, longClients, longBodyBytes)
	time.Sleep(uploadSteady)
	f.record.say("most memory of the hosts so far %d and %d MB", peaks[0].Load(), peaks[1].Load())
	if trouble {
		f.record.say("%d more clients send bookings of %d bytes", burstClients, longBodyBytes)
		start(burstClients, longBodyBytes, longSendTime, longThinkTime)
	}
	time.Sleep(uploadTroubled)
	close(stop)
	clients.Wait()
	close(done)
	runs := map[string]run{}
	for _, p := range f.replicas {
		for _, r := range p.allRuns() {
			runs[r.id] = r
		}
	}
	lost := map[string]int{}
	for _, c := range cuts {
		r, ran := runs[c.id]
		f.record.printf("request %s ended without an answer, on a kept connection: %t; run: %t %s %d bytes", c.id, c.kept, ran, r.replica, r.bodySize)
		if c.kept && ran {
			lost[c.host]++
		}
	}
	f.record.say("statuses %v, 0 for a connection that ended; most memory of the hosts %d and %d MB", statuses, peaks[0].Load(), peaks[1].Load())
	most := 0
	for _, h := range f.hosts {
		most = max(most, lost[h.name])
		f.record.say("%s: killed over its memory %d times; LOST: %d requests passed on from kept connections to sound replicas, and closed without an answer (bound %d)", h.name, h.endedByItself(), lost[h.name], maxLost)
	}
	return most > maxLost, nil
}

func init() { plays["uploads"] = playUploads }
