//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// crashTime is within the site's largest for srv_crash.
	crashTime = 4500 * time.Millisecond
	// expiryTime is three heartbeats of silence, after which the store drops an entry.
	expiryTime = 3 * heartbeat
	// drainTime is drain_ms, and settleTime is more than stable_window_ms.
	drainTime  = 3 * time.Second
	settleTime = 6 * time.Second

	newsPosts, bookings = 3, 10
)

// peerPaths posts to a route whose path is also that of a request between hosts, while the replica of
// the client's region is down. Afterwards it changes the configuration.
func peerPaths(r *record, trouble bool) (int, error) {
	home, other := "pk-central", "gulf-east"
	d, err := newDeployment(r, home, other)
	if err != nil {
		return 0, err
	}
	defer d.close()
	desk := func(id, region string, n int) *replica {
		return &replica{id: id, service: "order-desk", zone: zoneOf(region), address: fmt.Sprintf("%s:%d", d.ip(region, 100), 8580+n), slots: deskSlots, queue: deskQueue, work: deskWork, record: r, store: d.store}
	}
	homeDesk, leaver := desk("i-desk-home-1", home, 0), desk("i-desk-other-1", other, 1)
	for _, s := range []*replica{homeDesk, leaver, desk("i-desk-other-2", other, 2)} {
		if err := s.start(); err != nil {
			return 0, err
		}
	}
	d.configure(1, []map[string]any{
		route("news", "desk.example", "/peer/", "non_idempotent", "order-desk", bookingAim, bookingTimeout, 1),
		route("reserve", "desk.example", "/reserve/", "non_idempotent", "order-desk", bookingAim, bookingTimeout, 1),
	}, "order-desk")
	for _, region := range []string{home, other} {
		if _, err := d.startHost(region, 1); err != nil {
			return 0, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	post := func() {
		q := request{id: newID(), method: http.MethodPost, host: "desk.example", path: "/peer/news", header: []string{"Content-Type: application/json"},
			body: fmt.Appendf(nil, `{"Lot":"dye 7","Revision":%d}`, time.Now().UnixMilli()), deadline: bookingDeadline}
		r.event("sent", q.id, d.hosts[0].name, q.path+" "+string(q.body))
		got := once(d.hosts[0].ip+":8144", q)
		r.event("answered", q.id, d.hosts[0].name, fmt.Sprint(got.status, " ", got.err))
	}
	post()
	if trouble {
		r.event("crash", "-", homeDesk.id, "")
		homeDesk.crash()
	}
	time.Sleep(crashTime / 3)
	for range newsPosts {
		post()
		time.Sleep(crashTime / 3 / newsPosts)
	}
	if trouble {
		time.Sleep(crashTime / 3)
		back := desk("i-desk-home-2", home, 4)
		if err := back.start(); err != nil {
			return 0, err
		}
		r.event("back", "-", back.id, "")
		time.Sleep(expiryTime)
		d.store.remove("servers/" + homeDesk.id)
	}
	time.Sleep(settleTime)

	r.event("draining", "-", leaver.id, "the store has acknowledged it")
	leaver.drain()
	time.Sleep(drainTime + time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	late := 0
	for range bookings {
		group.Go(func() {
			h := d.hosts[1]
			q := request{id: newID(), method: http.MethodPost, host: "desk.example", path: "/reserve/7", deadline: bookingDeadline}
			r.event("sent", q.id, h.name, q.path)
			got := once(h.ip+":8144", q)
			by := r.ranBy(q.id)
			r.event("answered", q.id, h.name, fmt.Sprint(got.status, " run by ", by))
			mu.Lock()
			defer mu.Unlock()
			if by == leaver.id {
				late++
			}
		})
	}
	group.Wait()
	r.note("of %d requests sent %s after the store had acknowledged that %s drains, %d reached it", bookings, drainTime+time.Second, leaver.id, late)
	return late, nil
}
