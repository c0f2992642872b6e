//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	formCount    = 60
	formBoundary = "------------------------d74496d66958873e"
)

// form returns a form with text fields, a field of its own type, and a file, as a browser or a
// command-line client writes it.
func form(id string) []byte {
	var b bytes.Buffer
	part := func(head, body string) { fmt.Fprintf(&b, "--%s\r\n%s\r\n\r\n%s\r\n", formBoundary, head, body) }
	for _, field := range [][2]string{{"bundle", "coil-" + id}, {"customer", "Livarna Celje"}, {"mass_kg", "1840"}, {"dispatch", "2026-12-07"}, {"dock", "3"}} {
		part(fmt.Sprintf("Content-Disposition: form-data; name=%q", field[0]), field[1])
	}
	part("Content-Disposition: form-data; name=\"terms\"\r\nContent-Type: application/json", `{"price":{"eur":912.50},"hold_h":48}`)
	part("Content-Disposition: form-data; name=\"order\"; filename=\"order.csv\"\r\nContent-Type: text/csv", "lot;kg\n17;920\n18;920\n")
	fmt.Fprintf(&b, "--%s--\r\n", formBoundary)
	return b.Bytes()
}

// playForms sends reservations whose bodies are forms: with a length, or in chunks without the
// trouble. Each replica must get the bytes that the client sent.
func playForms(f *fleet, trouble bool) (bool, error) {
	f.store.put("op/config", deskConfig(7))
	for n := range 3 {
		p := &replica{
			id: fmt.Sprintf("i-%02d", n), service: serviceDesk, address: fmt.Sprintf("%s.100.%d:8080", f.network, n+1), zone: zone, slots: deskSlots, store: f.store,
			work: func(*http.Request) time.Duration { return meanWork/2 + rand.N(meanWork) }, keepBody: true,
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
	bodies := map[string][]byte{}
	statuses := map[int]int{}
	for n := range formCount {
		r := request{
			id: newID(), method: http.MethodPost, path: pathBook, deadline: callDeadline, chunked: !trouble,
			header: []string{"Content-Type: multipart/form-data; boundary=" + formBoundary},
		}
		r.body = form(r.id)
		bodies[r.id] = r.body
		c, err := dial(f.hosts[n%len(f.hosts)].front())
		if err != nil {
			return false, err
		}
		a := c.do(r)
		_ = c.Close()
		statuses[a.status]++
	}
	changed, ran := 0, 0
	for _, p := range f.replicas {
		for _, r := range p.allRuns() {
			sent := bodies[r.id]
			hash := sha256.Sum256(sent)
			ran++
			same := hex.EncodeToString(hash[:8]) == r.bodyHash
			f.record.printf("request %s: sent %d bytes; replica %s ran it with %d bytes, the same: %t", r.id, len(sent), r.replica, r.bodySize, same)
			if same {
				continue
			}
			if changed++; changed == 1 {
				f.record.printf("sent:\n%s\nrun:\n%s", sent, p.bodies[r.id])
			}
		}
	}
	f.record.say("sent %d requests; statuses %v", formCount, statuses)
	f.record.say("UNASKED: requests that a replica ran with a body that the client did not send: %d of %d (bound 0)", changed, ran)
	return changed > 0, nil
}

func init() { plays["forms"] = playForms }
