//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	boundary     = "----FormBoundary7MA4YWxkTrZu0gW"
	forms        = 20
	formDeadline = bookingDeadline
)

// formBody returns a form with three parts, as curl -F and browsers send it.
func formBody(n int) []byte {
	parts := []string{
		"Content-Disposition: form-data; name=\"order\"\r\nContent-Type: application/json\r\n\r\n" + fmt.Sprintf(`{"Lot":"dye 7","Bundles":%d}`, n),
		"Content-Disposition: form-data; name=\"buyer\"\r\n\r\nSialkot",
		"Content-Disposition: form-data; name=\"sample\"; filename=\"sample.csv\"\r\nContent-Type: text/csv\r\n\r\n1;2;3",
	}
	return []byte("--" + boundary + "\r\n" + strings.Join(parts, "\r\n--"+boundary+"\r\n") + "\r\n--" + boundary + "--\r\n")
}

// multipartForms sends bookings as forms, with a length. Without the trouble, they come in chunks.
func multipartForms(r *record, trouble bool) (int, error) {
	region := "pk-central"
	d, err := newDeployment(r, region)
	if err != nil {
		return 0, err
	}
	defer d.close()
	var mu sync.Mutex
	received := map[string][]byte{}
	desk := &replica{id: "i-desk-1", service: "order-desk", zone: zoneOf(region), address: d.ip(region, 100) + ":8587", slots: deskSlots, queue: deskQueue, work: deskWork, record: r, store: d.store}
	desk.handle = func(c net.Conn, a *arrival) {
		mu.Lock()
		received[a.id] = a.body
		mu.Unlock()
		_, _ = c.Write(desk.answer(a, http.StatusOK, "done "+a.id, headerSeal+": "+sealOf(a.id)))
	}
	if err := desk.start(); err != nil {
		return 0, err
	}
	d.configure(1, []map[string]any{route("reserve", "desk.example", "/reserve/", "non_idempotent", "order-desk", bookingAim, bookingTimeout, 1)}, "order-desk")
	for n := range 2 {
		if _, err := d.startHost(region, n+1); err != nil {
			return 0, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	changed := 0
	for n := range forms {
		h := d.hosts[n%len(d.hosts)]
		q := request{id: newID(), method: http.MethodPost, host: "desk.example", path: "/reserve/7", body: formBody(n), deadline: formDeadline, chunked: !trouble,
			header: []string{"Content-Type: multipart/form-data; boundary=" + boundary}}
		r.event("sent", q.id, h.name, fmt.Sprintf("%q", q.body))
		got := once(h.ip+":8144", q)
		r.event("answered", q.id, h.name, fmt.Sprint(got.status, " ", got.err))
		mu.Lock()
		body, ran := received[q.id]
		mu.Unlock()
		if ran && !bytes.Equal(body, q.body) {
			changed++
			r.event("CHANGED", q.id, desk.id, fmt.Sprintf("%q", body))
		}
	}
	r.note("%d requests, %d of them run with another body", forms, changed)
	return changed, nil
}
