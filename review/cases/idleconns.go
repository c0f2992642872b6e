//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// readsPerSecond is the site's peak of requests in its largest zone, 165 x 2.3, over the 7 machines
	// there. Each comes from another user, on a connection of its own.
	readsPerSecond = 54
	readTime       = 70 * time.Second
	readWork       = 2 * time.Millisecond
	// idleLimit is idle_timeout_ms of the configuration.
	idleLimit = 15 * time.Second
	// maxDescriptors are those of a machine of the site.
	maxDescriptors = 2870
	// clientDescriptors are those that the clients and replicas of the case need.
	clientDescriptors = 4000

	// digestClients ask for long answers, one after the other on the same connection.
	digestClients  = 12
	digestWork     = 800 * time.Millisecond
	digestDeadline = 10 * time.Second
	// toleratedCuts is how often a machine may close such a connection without an answer.
	toleratedCuts = 3
)

// idleConnections lets users read once each, and keep their connections. Without the trouble they close
// them after the idle time that the configuration allows. It counts the requests of other clients that
// were run and got no answer.
func idleConnections(r *record, trouble bool) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < clientDescriptors {
		return 0, fmt.Errorf("the clients need %d descriptors, there are %d", clientDescriptors, limit.Cur)
	}
	region := "pk-central"
	d, err := newDeployment(r, region)
	if err != nil {
		return 0, err
	}
	defer d.close()
	d.descriptors = maxDescriptors
	for n, s := range []*replica{
		{id: "i-desk-1", service: "order-desk", slots: deskSlots, queue: deskQueue, work: readWork},
		{id: "i-pool-1", service: "digest-app", slots: modelSlots, queue: modelQueue, work: digestWork},
	} {
		s.zone, s.address, s.record, s.store = zoneOf(region), fmt.Sprintf("%s:8587", d.ip(region, 100+n)), r, d.store
		if err := s.start(); err != nil {
			return 0, err
		}
	}
	d.configure(1, []map[string]any{
		route("stock", "desk.example", "/stock/", "idempotent", "order-desk", bookingAim, time.Second, 2),
		route("digest", "desk.example", "/digest/", "non_idempotent", "digest-app", modelAim, digestDeadline, 1),
	}, "order-desk", "digest-app")
	h, err := d.startHost(region, 1)
	if err != nil {
		return 0, err
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for range digestClients {
		group.Go(func() {
			n := digests(r, h, stop)
			mu.Lock()
			defer mu.Unlock()
			cut += n
		})
	}
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(time.Second / readsPerSecond) {
		go readOnce(r, h, trouble)
	}
	close(stop)
	group.Wait()
	select {
	case <-h.ended:
		r.note("the process of %s has ended by itself: %s", h.name, h.command.ProcessState)
	default:
		r.note("the process of %s runs", h.name)
	}
	r.note("%d requests on kept connections were run, and got no answer as the connection was closed; %d are tolerated", cut, toleratedCuts)
	if cut > toleratedCuts {
		return cut, nil
	}
	return 0, nil
}

// readOnce reads on a new connection, which stays open until the host closes it or the client has been
// idle for as long as the configuration allows.
func readOnce(r *record, h *host, keep bool) {
	c, err := connect(h.ip + ":8144")
	if err != nil {
		r.event("refused", "-", h.name, err.Error())
		return
	}
	defer func() { _ = c.Close() }()
	q := request{id: newID(), method: http.MethodGet, host: "desk.example", path: "/stock/7", deadline: bookingDeadline}
	got := c.send(q)
	r.event("answered", q.id, h.name, fmt.Sprint(got.status, " ", got.err))
	if got.err != nil {
		return
	}
	if !keep {
		time.Sleep(idleLimit)
		return
	}
	_ = c.SetDeadline(time.Time{})
	_, _ = c.reader.Peek(1)
}

// digests sends requests on one connection until stop is closed or the connection is. It returns the
// number of those that were run and not answered.
func digests(r *record, h *host, stop chan struct{}) (cut int) {
	c, err := connect(h.ip + ":8144")
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	for {
		select {
		case <-stop:
			return cut
		default:
		}
		q := request{id: newID(), method: http.MethodPost, host: "desk.example", path: "/digest/7", body: []byte("lots"), deadline: digestDeadline}
		r.event("sent", q.id, h.name, q.path)
		got := c.send(q)
		r.event("answered", q.id, h.name, fmt.Sprint(got.status, " ", got.err))
		if got.err != nil {
			if r.ranBy(q.id) != "" {
				r.event("CUT", q.id, h.name, got.err.Error())
				cut++
			}
			return cut
		}
	}
}
