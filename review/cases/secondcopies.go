//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The desk of one zone of the site.
	deskSlots, deskQueue = 6, 24
	deskWork             = 15 * time.Millisecond
	bookingAim           = 300 * time.Millisecond
	bookingDeadline      = 2 * time.Second
	bookingTimeout       = time.Second

	// bookingsPerSecond is the site's peak of bookings in its largest zone.
	bookingsPerSecond = 70

	// The doses of the site's troubles: srv_grey (x 0.45, 6.5 s) and garble extra late (x 0.03).
	shedShare        = 0.45
	troubleTime      = 6500 * time.Millisecond
	secondCopyShare  = 0.03
	secondCopyDelay  = 20 * time.Millisecond
	calmTime         = 2 * time.Second
	troubleIntervals = 11
)

// secondCopies sends bookings while one of three desks turns some away, and sends some of its answers
// again a little later.
func secondCopies(r *record, trouble bool) (int, error) {
	regions := []string{"pk-central", "gulf-east", "eu-south"}
	d, err := newDeployment(r, regions...)
	if err != nil {
		return 0, err
	}
	defer d.close()
	var sheds, repeats atomic.Bool
	for _, region := range regions {
		desk := &replica{id: "i-desk-" + region, service: "order-desk", zone: zoneOf(region), address: d.ip(region, 100) + ":8587", slots: deskSlots, queue: deskQueue, work: deskWork, record: r, store: d.store}
		if region == regions[0] {
			desk.sheds = func() bool { return sheds.Load() && rand.Float64() < shedShare }
			desk.after = func(e *exchangeEnd) {
				if !repeats.Load() || e.request.id == "" || rand.Float64() >= secondCopyShare {
					return
				}
				time.Sleep(secondCopyDelay)
				r.event("again", e.request.id, desk.id, fmt.Sprintf("second copy, refusal: %t", e.refused))
				_, _ = e.conn.Write(e.answer)
			}
		}
		if err := desk.start(); err != nil {
			return 0, err
		}
	}
	d.configure(1, []map[string]any{route("reserve", "desk.example", "/reserve/", "non_idempotent", "order-desk", bookingAim, bookingTimeout, 1)}, "order-desk")
	for i, region := range []string{regions[0], regions[0], regions[1], regions[2]} {
		if _, err := d.startHost(region, i+1); err != nil {
			return 0, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	answers := map[string]int{}
	var group sync.WaitGroup
	book := func() {
		defer group.Done()
		q := request{id: newID(), method: http.MethodPost, host: "desk.example", path: "/reserve/bundle", body: []byte("bundle"), deadline: bookingDeadline}
		h := d.hosts[rand.IntN(2)] // of the first region
		r.event("sent", q.id, h.name, "")
		got := once(h.ip+":8144", q)
		detail := fmt.Sprint(got.status)
		if got.err != nil {
			detail = got.err.Error()
		}
		r.event("answered", q.id, h.name, detail)
		mu.Lock()
		answers[q.id] = got.status
		mu.Unlock()
	}
	traffic := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); {
			group.Add(1)
			go book()
			time.Sleep(time.Duration(rand.ExpFloat64() / bookingsPerSecond * float64(time.Second)))
		}
	}
	for range troubleIntervals {
		traffic(calmTime)
		sheds.Store(true)
		repeats.Store(trouble)
		traffic(troubleTime)
		sheds.Store(false)
		repeats.Store(false)
	}
	group.Wait()
	time.Sleep(time.Second)
	return judgeRuns(r, answers), nil
}

// judgeRuns counts the requests that ran twice, or ran although they were answered with a promise that
// they did not.
func judgeRuns(r *record, answers map[string]int) int {
	runs := r.runs()
	twice, refused := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.event("TWICE", id, "-", fmt.Sprintf("%d runs, answered %d", n, answers[id]))
		}
		if status := answers[id]; status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			refused++
			r.event("REFUSED", id, "-", fmt.Sprintf("answered %d and ran", status))
		}
	}
	statuses := map[int]int{}
	for _, status := range answers {
		statuses[status]++
	}
	r.note("requests %d, answers by status %v, requests run %d; TWICE %d, REFUSED %d", len(answers), statuses, len(runs), twice, refused)
	return twice + refused
}
