//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// The model service of the site, and its rule: a cold replica gets at most cold_per_s x cold_overage +
	// cold_slack requests in one second.
	modelSlots, modelQueue = 64, 192
	modelWork              = 100 * time.Millisecond
	modelAim               = 800 * time.Millisecond
	modelDeadline          = 3 * time.Second
	coldStart              = 3 * time.Second
	coldPerSecond          = 2.0
	coldOverage, coldSlack = 1.5, 3
	coldBound              = coldPerSecond*coldOverage + coldSlack
	modelReplicas          = 3
	modelPerSecond         = 60

	// All machines lose power for darkTime. The settings name new seeds seedLag after the old ones are gone.
	darkTime = 1500 * time.Millisecond
	seedLag  = 3 * time.Second
	// quietTime is longer than the recovery that the pages allow (recover_s is 12), and than a host waits
	// for others.
	quietTime = 20 * time.Second
	// coldReturnTime is how long the replicas of a zone are down.
	coldReturnTime = 2 * time.Second
)

// siteHosts are the machines of the site's zones.
var siteHosts = map[string]int{"celje": 7, "ravne": 4, "koper": 4}

// staleSeeds lets all machines lose power, of which the seeds do not return, and then the replicas of a
// zone return cold.
func staleSeeds(r *record, trouble bool) (int, error) {
	regions := []string{"celje", "ravne", "koper"}
	d, err := newDeployment(r, regions...)
	if err != nil {
		return 0, err
	}
	defer d.close()
	newReplica := func(n, start int) *replica {
		return &replica{id: fmt.Sprintf("i-model-%d-%d", n, start), service: "sequoia-llm", zone: zoneOf(regions[0]), address: fmt.Sprintf("%s:8587", d.ip(regions[0], 100+n)),
			slots: modelSlots, queue: modelQueue, work: modelWork, record: r, store: d.store}
	}
	var replicas []*replica
	for n := range modelReplicas {
		replicas = append(replicas, newReplica(n, 1))
		if err := replicas[n].start(); err != nil {
			return 0, err
		}
	}
	d.configureCold(1, []map[string]any{route("compare", "desk.example", "/compare/", "idempotent", "sequoia-llm", modelAim, modelDeadline, 2)}, coldStart, coldPerSecond, "sequoia-llm")
	d.seeds = nil
	for _, region := range regions {
		d.seeds = append(d.seeds, d.ip(region, 1)+":8146")
	}
	for _, region := range regions {
		for n := range siteHosts[region] {
			if _, err := d.startHost(region, n+1); err != nil {
				return 0, err
			}
		}
	}
	if err := d.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	if trouble {
		if err := d.losePower(); err != nil {
			return 0, err
		}
	}
	time.Sleep(quietTime)

	var local []*host
	for _, h := range d.hosts {
		if h.region == regions[0] {
			local = append(local, h)
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { compare(r, local, &group, stop) })
	time.Sleep(time.Second)
	r.event("down", "-", zoneOf(regions[0]), "all replicas")
	for _, s := range replicas {
		s.crash()
		d.store.remove("servers/" + s.id)
	}
	time.Sleep(coldReturnTime)
	for n := range replicas {
		replicas[n] = newReplica(n, 2)
		replicas[n].coldUntil = time.Now().Add(coldStart)
		if err := replicas[n].start(); err != nil {
			return 0, err
		}
	}
	r.event("back", "-", zoneOf(regions[0]), "all replicas, cold")
	time.Sleep(coldStart + time.Second)
	close(stop)
	group.Wait()
	broken := 0
	for _, s := range replicas {
		most := s.mostInOneSecond()
		r.note("%s got %d requests in one second while it was cold; the bound is %.0f", s.id, most, coldBound)
		if float64(most) > coldBound {
			broken++
		}
	}
	return broken, nil
}

// losePower kills all hosts. The seeds do not return; the others start again with the settings that name
// them. Later, the settings change without a signal.
func (d *deployment) losePower() error {
	d.record.event("power", "-", "all machines", "off")
	for _, h := range d.hosts {
		h.kill()
	}
	time.Sleep(darkTime)
	seeds := d.seeds
	d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool { return slices.Contains(seeds, h.ip+":8146") })
	for _, h := range d.hosts {
		if err := d.launch(h); err != nil {
			return err
		}
	}
	d.record.event("power", "-", "all machines", "on, but for the seeds "+fmt.Sprint(seeds))
	time.Sleep(seedLag - darkTime)
	d.seeds = nil
	for _, region := range d.regions {
		at := slices.IndexFunc(d.hosts, func(h *host) bool { return h.region == region })
		d.seeds = append(d.seeds, d.hosts[at].ip+":8146")
	}
	for _, h := range d.hosts {
		if err := d.writeSettings(h); err != nil {
			return err
		}
	}
	d.record.event("settings", "-", "platform", "now name the seeds "+fmt.Sprint(d.seeds))
	return d.awaitReady()
}

// compare sends requests to hosts until stop is closed.
func compare(r *record, hosts []*host, group *sync.WaitGroup, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / modelPerSecond * float64(time.Second))):
		}
		group.Go(func() {
			q := request{id: newID(), method: http.MethodPost, host: "desk.example", path: "/compare/lots", body: []byte("lots"), deadline: modelDeadline}
			h := hosts[rand.IntN(len(hosts))]
			got := once(h.ip+":8144", q)
			r.event("answered", q.id, h.name, fmt.Sprint(got.status))
		})
	}
}
