package catalogue_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// hand is a clock that is set by hand.
type hand struct {
	mu  sync.Mutex
	now time.Time
}

func (h *hand) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hand) After(time.Duration) <-chan time.Time { return make(chan time.Time) }

func (h *hand) advance(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = h.now.Add(d)
}

// plain decodes the entries of the data files: a version at config, "BORN SEQUENCE
// STATE" at target/ID, and anything at evacuate/DATACENTRE.
type plain struct{}

func (plain) Decode(key string, value []byte) (catalogue.DecodedEntry, error) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "config":
		var version uint64
		_, err := fmt.Sscan(string(value), &version)
		return catalogue.DecodedEntry{Kind: catalogue.Configuration, Document: route.Document{
			Version: version, Services: []route.Service{{Name: "desk", ColdStart: 3 * time.Second}},
		}}, err
	case "evacuate":
		return catalogue.DecodedEntry{Kind: catalogue.Evacuation, DataCentre: name}, nil
	case "target":
		report := catalogue.Report{ID: name, Service: "desk", DataCentre: "n1"}
		state := ""
		if _, err := fmt.Sscan(string(value), &report.StartUnixMs, &report.Sequence, &state); err != nil {
			return catalogue.DecodedEntry{Kind: catalogue.TargetReport, Report: report}, errors.Wrap(err, "report")
		}
		if state == "draining" {
			report.State = catalogue.Draining
		}
		return catalogue.DecodedEntry{Kind: catalogue.TargetReport, Report: report}, nil
	default:
		return catalogue.DecodedEntry{}, nil
	}
}

type change struct {
	Key      string
	Value    string
	Revision int64
}

// step is one change and what is to be known after it; nil is not looked at.
type step struct {
	AfterMs       int
	StoreReturned bool
	Replace       bool
	Put           []change
	Delete        []change
	Revision      int64
	Version       uint64
	Targets       map[string]string
	Evacuated     []string
	Cold          []string
}

func (s step) entries() []keyvalue.Entry {
	var out []keyvalue.Entry
	for _, c := range s.Put {
		out = append(out, keyvalue.Entry{Key: c.Key, Value: []byte(c.Value), ModRevision: c.Revision})
	}
	return out
}

func (s step) events() []keyvalue.Event {
	var out []keyvalue.Event
	for _, e := range s.entries() {
		out = append(out, keyvalue.Event{Entry: e})
	}
	for _, c := range s.Delete {
		out = append(out, keyvalue.Event{Entry: keyvalue.Entry{Key: c.Key, ModRevision: c.Revision}, Deleted: true})
	}
	return out
}

func (s step) check(now time.Time, got *catalogue.Snapshot) {
	if s.Version > 0 {
		Expect(got.Table.Version()).To(Equal(s.Version))
	}
	if s.Targets != nil {
		states := map[string]string{}
		for id, t := range got.Targets {
			states[id] = t.State.String()
		}
		Expect(states).To(Equal(s.Targets))
	}
	if s.Evacuated != nil {
		Expect(slices.Sorted(maps.Keys(got.Evacuated))).To(ConsistOf(s.Evacuated))
	}
	if s.Cold != nil {
		var cold []string
		for id, t := range got.Targets {
			if now.Before(t.ColdUntil) {
				cold = append(cold, id)
			}
		}
		Expect(cold).To(ConsistOf(s.Cold))
	}
}

var _ = Describe("a catalogue", func() {
	var hands *hand
	newCatalogue := func() *catalogue.Catalogue {
		return catalogue.New(plain{}, map[string]string{"n1": "north"}, catalogue.WithClock(hands))
	}

	BeforeEach(func() { hands = &hand{now: time.Unix(1000, 0)} })

	data, err := os.ReadFile("testdata/order.json")
	if err != nil {
		panic(err)
	}
	var cases []struct {
		Name  string
		Steps []step
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			known := newCatalogue()
			for _, s := range c.Steps {
				hands.advance(time.Duration(s.AfterMs) * time.Millisecond)
				if s.StoreReturned {
					known.StoreRecovered()
				}
				if s.Replace {
					known.Replace(s.entries(), s.Revision)
				} else {
					known.Apply(s.events(), s.Revision)
				}
				known.Sweep()
				s.check(hands.Now(), known.Snapshot())
			}
		})

		It(c.Name+", told by another host", func() {
			source, told := newCatalogue(), newCatalogue()
			for _, s := range c.Steps {
				hands.advance(time.Duration(s.AfterMs) * time.Millisecond)
				if s.Replace {
					source.Replace(s.entries(), s.Revision)
				} else {
					source.Apply(s.events(), s.Revision)
				}
				if d, news := source.Since(told.Snapshot().Revision); news {
					told.Merge(d)
				}
				Expect(told.Snapshot().Evacuated).To(Equal(source.Snapshot().Evacuated))
				Expect(slices.Sorted(maps.Keys(told.Snapshot().Targets))).To(Equal(slices.Sorted(maps.Keys(source.Snapshot().Targets))))
				for id, t := range source.Snapshot().Targets {
					Expect(told.Snapshot().Targets[id].State).To(Equal(t.State))
				}
			}
		})
	}

	It("says which changes say something new", func() {
		known := newCatalogue()
		put := func(revision int64, key, value string) []keyvalue.Event {
			return known.Apply([]keyvalue.Event{{Entry: keyvalue.Entry{Key: key, Value: []byte(value), ModRevision: revision}}}, revision)
		}
		Expect(put(1, "config", "1")).To(HaveLen(1))
		Expect(put(2, "target/a", "100 1 ready")).To(HaveLen(1))
		Expect(put(3, "target/a", "100 2 ready")).To(BeEmpty())
		Expect(put(4, "target/a", "100 3 draining")).To(HaveLen(1))
		Expect(put(4, "target/a", "100 3 draining")).To(BeEmpty())
		Expect(put(5, "target/a", "200 1 ready")).To(HaveLen(1))
		Expect(put(6, "target/a", "unreadable")).To(HaveLen(1))
		Expect(put(7, "something/else", "1")).To(BeEmpty())
		removal := []keyvalue.Event{{Entry: keyvalue.Entry{Key: "target/a", ModRevision: 8}, Deleted: true}}
		Expect(known.Apply(removal, 8)).To(HaveLen(1))
		Expect(known.Apply(removal, 8)).To(BeEmpty())
	})
})

// scriptedStore gives one whole read, and then what is sent to changes.
type scriptedStore struct {
	whole   keyvalue.Page
	changes chan []keyvalue.Event
}

func (s scriptedStore) Read(context.Context) (keyvalue.Page, error) { return s.whole, nil }

func (s scriptedStore) Changes(ctx context.Context, after int64) ([]keyvalue.Event, int64, error) {
	select {
	case events := <-s.changes:
		return events, events[len(events)-1].ModRevision, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// reading is a circle whose reader is this host.
type reading struct{ told chan catalogue.Update }

func (reading) IsReader() bool { return true }

func (r reading) Broadcast(n catalogue.Update) { r.told <- n }

var _ = Describe("the host that reads the store for others", func() {
	put := func(key, value string, revision int64) keyvalue.Event {
		return keyvalue.Event{Entry: keyvalue.Entry{Key: key, Value: []byte(value), ModRevision: revision}}
	}
	gone := func(key string, revision int64) keyvalue.Event {
		return keyvalue.Event{Entry: keyvalue.Entry{Key: key, ModRevision: revision}, Deleted: true}
	}

	It("tells them also what it has heard before from other hosts, as they may not have", func() {
		store := scriptedStore{changes: make(chan []keyvalue.Event, 1), whole: keyvalue.Page{Revision: 4, Entries: []keyvalue.Entry{
			put("config", "1", 2).Entry, put("target/a", "1 1 ready", 3).Entry, put("target/b", "1 1 ready", 4).Entry,
		}}}
		circle := reading{told: make(chan catalogue.Update, 8)}
		regions := map[string]string{"n1": "north"}
		own, mate := catalogue.New(plain{}, regions), catalogue.New(plain{}, regions)
		mate.Replace(store.whole.Entries, store.whole.Revision)
		noPeer := func(context.Context, int64) (catalogue.Difference, error) {
			return catalogue.Difference{}, errors.New("none")
		}
		follower := catalogue.NewFollower(own, store, noPeer, circle, clock.System{}, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- follower.FollowStore(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended).WithTimeout(5 * time.Second).Should(Receive())
		})
		Eventually(circle.told).WithTimeout(5 * time.Second).Should(Receive())

		changes := []keyvalue.Event{put("config", "2", 5), put("target/a", "1 2 draining", 6), gone("target/b", 7)}
		follower.HandleUpdate(catalogue.Update{Partial: true, Events: changes})
		Eventually(circle.told).Should(Receive(HaveField("Partial", true))) // and the mate does not get it
		store.changes <- changes
		var news catalogue.Update
		Eventually(circle.told).WithTimeout(5 * time.Second).Should(Receive(&news))
		Expect(news.After).To(Equal(mate.Snapshot().Revision))
		mate.Apply(news.Events, news.Revision)
		Expect(mate.Snapshot().Table.Version()).To(Equal(uint64(2)))
		Expect(mate.Snapshot().Targets["a"].State).To(Equal(catalogue.Draining))
		Expect(mate.Snapshot().Targets).NotTo(HaveKey("b"))
	})
})
