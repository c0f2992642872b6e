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

// manualClock is a clock that advances only on request.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) After(time.Duration) <-chan time.Time { return make(chan time.Time) }

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// testDecoder decodes the entries of the data files: a version at config, "START SEQUENCE
// STATE" at target/ID, and any value at evacuate/DATACENTRE.
type testDecoder struct{}

func (testDecoder) Decode(key string, value []byte) (catalogue.DecodedEntry, error) {
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

// step is one change and the expected state after it. Nil fields and version 0 are not
// checked.
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
	var manual *manualClock
	newCatalogue := func() *catalogue.Catalogue {
		return catalogue.New(testDecoder{}, map[string]string{"n1": "north"}, catalogue.WithClock(manual))
	}

	BeforeEach(func() { manual = &manualClock{now: time.Unix(1000, 0)} })

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
				manual.advance(time.Duration(s.AfterMs) * time.Millisecond)
				if s.StoreReturned {
					known.StoreRecovered()
				}
				if s.Replace {
					known.Replace(s.entries(), 0, s.Revision)
				} else {
					known.Apply(s.events(), s.Revision, catalogue.FromStore)
				}
				known.Sweep()
				s.check(manual.Now(), known.Snapshot())
			}
		})

		It(c.Name+", with changes from another host", func() {
			source, receiver := newCatalogue(), newCatalogue()
			for _, s := range c.Steps {
				manual.advance(time.Duration(s.AfterMs) * time.Millisecond)
				if s.Replace {
					source.Replace(s.entries(), 0, s.Revision)
				} else {
					source.Apply(s.events(), s.Revision, catalogue.FromStore)
				}
				if d, changed := source.Since(receiver.Snapshot().Revision); changed {
					receiver.Merge(d)
				}
				Expect(receiver.Snapshot().Evacuated).To(Equal(source.Snapshot().Evacuated))
				Expect(slices.Sorted(maps.Keys(receiver.Snapshot().Targets))).To(Equal(slices.Sorted(maps.Keys(source.Snapshot().Targets))))
				for id, t := range source.Snapshot().Targets {
					Expect(receiver.Snapshot().Targets[id].State).To(Equal(t.State))
				}
			}
		})
	}

	It("returns the changes that bring new information", func() {
		known := newCatalogue()
		put := func(revision int64, key, value string) []keyvalue.Event {
			return known.Apply([]keyvalue.Event{{Entry: keyvalue.Entry{Key: key, Value: []byte(value), ModRevision: revision}}}, revision, catalogue.FromStore)
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
		Expect(known.Apply(removal, 8, catalogue.FromStore)).To(HaveLen(1))
		Expect(known.Apply(removal, 8, catalogue.FromStore)).To(BeEmpty())
	})
})

// scriptedStore returns one full read, and then the events sent to changes.
type scriptedStore struct {
	fullRead keyvalue.Page
	changes  chan []keyvalue.Event
}

func (s scriptedStore) Read(context.Context) (keyvalue.Page, error) { return s.fullRead, nil }

func (s scriptedStore) Changes(ctx context.Context, after int64) ([]keyvalue.Event, int64, error) {
	select {
	case events := <-s.changes:
		return events, events[len(events)-1].ModRevision, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

// readerGroup is a peer group in which this host reads the store.
type readerGroup struct{ sent chan catalogue.Update }

func (readerGroup) IsReader() bool { return true }

func (readerGroup) StoreAnswered(time.Time) bool { return false }

func (g readerGroup) Broadcast(u catalogue.Update) { g.sent <- u }

var _ = Describe("the host that reads the store for its group", func() {
	put := func(key, value string, revision int64) keyvalue.Event {
		return keyvalue.Event{Entry: keyvalue.Entry{Key: key, Value: []byte(value), ModRevision: revision}}
	}
	removal := func(key string, revision int64) keyvalue.Event {
		return keyvalue.Event{Entry: keyvalue.Entry{Key: key, ModRevision: revision}, Deleted: true}
	}

	It("also sends changes that it has received from other hosts before, as its peers may have missed them", func() {
		store := scriptedStore{changes: make(chan []keyvalue.Event, 1), fullRead: keyvalue.Page{Revision: 4, Entries: []keyvalue.Entry{
			put("config", "1", 2).Entry, put("target/a", "1 1 ready", 3).Entry, put("target/b", "1 1 ready", 4).Entry,
		}}}
		group := readerGroup{sent: make(chan catalogue.Update, 8)}
		regions := map[string]string{"n1": "north"}
		own, peer := catalogue.New(testDecoder{}, regions), catalogue.New(testDecoder{}, regions)
		peer.Replace(store.fullRead.Entries, 0, store.fullRead.Revision)
		noPeer := func(context.Context, int64) (catalogue.Difference, error) {
			return catalogue.Difference{}, errors.New("none")
		}
		follower := catalogue.NewFollower(own, store, noPeer, group, clock.System{}, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- follower.FollowStore(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended).WithTimeout(5 * time.Second).Should(Receive())
		})
		Eventually(group.sent).WithTimeout(5 * time.Second).Should(Receive())

		changes := []keyvalue.Event{put("config", "2", 5), put("target/a", "1 2 draining", 6), removal("target/b", 7)}
		follower.HandleUpdate(catalogue.Update{Partial: true, Events: changes}, catalogue.Contact{})
		Eventually(group.sent).Should(Receive(HaveField("Partial", true))) // and the peer does not receive it
		store.changes <- changes
		var update catalogue.Update
		Eventually(group.sent).WithTimeout(5 * time.Second).Should(Receive(&update))
		Expect(update.After).To(Equal(peer.Snapshot().Revision))
		peer.Apply(update.Events, update.Revision, catalogue.FromReader)
		Expect(peer.Snapshot().Table.Version()).To(Equal(uint64(2)))
		Expect(peer.Snapshot().Targets["a"].State).To(Equal(catalogue.Draining))
		Expect(peer.Snapshot().Targets).NotTo(HaveKey("b"))
	})

	// Guards against a host that takes what it reads after a standstill for the state of now.
	It("has all changes only until it asked for them, or until the time that another host states", func() {
		manual := &manualClock{now: time.Unix(1000, 0)}
		asked := manual.Now()
		store := slowStore{clock: manual, delay: 3 * time.Second}
		group := readerGroup{sent: make(chan catalogue.Update, 8)}
		own := catalogue.New(testDecoder{}, map[string]string{"n1": "north"})
		follower := catalogue.NewFollower(own, store, nil, group, manual, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- follower.FollowStore(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended).WithTimeout(5 * time.Second).Should(Receive())
		})
		Eventually(follower.LastContact).Should(Equal(asked))

		follower.HandleUpdate(catalogue.Update{After: 1, Revision: 1}, catalogue.Contact{})
		Expect(follower.LastContact()).To(Equal(asked))
		follower.HandleUpdate(catalogue.Update{After: 1, Revision: 1}, follower.NewContact().At(asked.Add(time.Second)))
		Expect(follower.LastContact()).To(Equal(asked.Add(time.Second)))
		follower.HandleUpdate(catalogue.Update{After: 1, Revision: 1}, follower.NewContact().At(asked))
		Expect(follower.LastContact()).To(Equal(asked.Add(time.Second)))
		follower.ForgetContact()
		Expect(follower.LastContact()).To(BeZero())
	})
})

// slowStore is a store whose answers arrive after a delay.
type slowStore struct {
	clock *manualClock
	delay time.Duration
}

func (s slowStore) Read(context.Context) (keyvalue.Page, error) {
	s.clock.advance(s.delay)
	return keyvalue.Page{Revision: 1}, nil
}

func (s slowStore) Changes(ctx context.Context, after int64) ([]keyvalue.Event, int64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

// readStore is a store that notes reads after the first one.
type readStore struct{ read chan struct{} }

func (readStore) Read(context.Context) (keyvalue.Page, error) {
	return keyvalue.Page{Revision: 1}, nil
}

func (s readStore) Changes(_ context.Context, after int64) ([]keyvalue.Event, int64, error) {
	select {
	case s.read <- struct{}{}:
	default:
	}
	return nil, after, nil
}

// memberGroup is the group of a host for which another one reads the store.
type memberGroup struct{}

func (memberGroup) IsReader() bool { return false }

func (memberGroup) StoreAnswered(time.Time) bool { return true }

func (memberGroup) Broadcast(catalogue.Update) {}

var _ = Describe("a host for which another one reads the store", func() {
	// Guards against a host that relies on updates because they come, however late they are.
	DescribeTable("reads the store itself only if its news is old", func(age time.Duration, reads bool) {
		store := readStore{read: make(chan struct{}, 1)}
		follower := catalogue.NewFollower(catalogue.New(testDecoder{}, map[string]string{"n1": "north"}), store, nil, memberGroup{}, clock.System{}, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- follower.FollowStore(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended).WithTimeout(5 * time.Second).Should(Receive())
		})
		Eventually(store.read).WithTimeout(5 * time.Second).Should(Receive()) // until the first update comes
		update := func() {
			follower.HandleUpdate(catalogue.Update{After: 1, Revision: 1, AsOf: time.Now().Add(-age)}, catalogue.Contact{})
		}
		update()
		time.Sleep(time.Second) // for a read that had begun, and its pause
		for len(store.read) > 0 {
			<-store.read
		}
		for range 15 {
			update()
			time.Sleep(100 * time.Millisecond)
		}
		Expect(len(store.read) > 0).To(Equal(reads))
	},
		Entry("an update of now", time.Duration(0), false),
		Entry("an update of a second ago", time.Second, false),
		Entry("an update of three seconds ago", 3*time.Second, true),
	)
})
