package catalogue_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

// history is a store with all that was ever written to it. Event i has revision i+1.
type history struct {
	events    []keyvalue.Event
	compacted int64
	// duringRead is called between the two pages of a full read.
	duringRead func()
	steps      []string // what happened, for the report of a failure
}

func (h *history) step(format string, args ...any) {
	h.steps = append(h.steps, fmt.Sprintf(format, args...))
}

func (h *history) revision() int64 { return int64(len(h.events)) }

func (h *history) put(key, value string) {
	r := h.revision() + 1
	h.step("%d: put %s %s", r, key, value)
	h.events = append(h.events, keyvalue.Event{Entry: keyvalue.Entry{Key: key, Value: []byte(value), ModRevision: r}})
}

func (h *history) remove(key string) {
	r := h.revision() + 1
	h.step("%d: remove %s", r, key)
	h.events = append(h.events, keyvalue.Event{Entry: keyvalue.Entry{Key: key, ModRevision: r}, Deleted: true})
}

// at returns the value of a key at a revision, empty if there is none.
func (h *history) at(key string, revision int64) string {
	for _, e := range slices.Backward(h.events[:revision]) {
		if e.Key == key {
			return string(e.Value)
		}
	}
	return ""
}

func (h *history) entries(match func(key string) bool) []keyvalue.Entry {
	found := map[string]keyvalue.Entry{}
	for _, e := range h.events {
		delete(found, e.Key)
		if !e.Deleted && match(e.Key) {
			found[e.Key] = e.Entry
		}
	}
	return slices.Collect(maps.Values(found))
}

// Read returns the operator's entries, and those of the targets as of a later moment.
func (h *history) Read(context.Context) (keyvalue.Page, error) {
	isTarget := func(key string) bool { return strings.HasPrefix(key, "target/") }
	page := keyvalue.Page{Revision: h.revision(), Entries: h.entries(func(key string) bool { return !isTarget(key) })}
	h.duringRead()
	page.Entries = append(page.Entries, h.entries(isTarget)...)
	return page, nil
}

func (h *history) Changes(_ context.Context, after int64) ([]keyvalue.Event, int64, error) {
	if after < h.compacted {
		return nil, 0, failure.New("store", keyvalue.Compacted)
	}
	return slices.Clone(h.events[after:]), h.revision(), nil
}

// delivery is an update on its way to a host.
type delivery struct {
	from, to int
	update   catalogue.Update
}

// describe returns an update as text.
func describe(u catalogue.Update) string {
	text := fmt.Sprintf("an update %d to %d, partial %t:", u.After, u.Revision, u.Partial)
	for _, e := range u.Events {
		text += fmt.Sprintf(" [%d %s %s removed %t]", e.ModRevision, e.Key, e.Value, e.Deleted)
	}
	return text
}

// replica is a host of a group. Every host may take itself for the one that reads the store.
type replica struct {
	index    int
	group    *replicas
	own      *catalogue.Catalogue
	follower *catalogue.Follower
	marked   map[string]bool // incarnations that it was told are leaving
}

type replicas struct {
	store *history
	hosts []*replica
	sent  []delivery
}

func (r *replica) neighbour() *replica { return r.group.hosts[(r.index+1)%len(r.group.hosts)] }

// IsReader implements catalogue.PeerGroup.
func (*replica) IsReader() bool { return true }

// StoreAnswered implements catalogue.PeerGroup.
func (*replica) StoreAnswered(time.Time) bool { return false }

// Broadcast implements catalogue.PeerGroup.
func (r *replica) Broadcast(u catalogue.Update) {
	for i := range r.group.hosts {
		if i != r.index {
			r.group.sent = append(r.group.sent, delivery{from: r.index, to: i, update: u})
		}
	}
}

func newReplicas(n int) *replicas {
	g := &replicas{store: &history{duringRead: func() {}}}
	for i := range n {
		r := &replica{index: i, group: g, own: catalogue.New(testDecoder{}, map[string]string{"n1": "north"}), marked: map[string]bool{}}
		fetch := func(_ context.Context, after int64) (catalogue.Difference, error) {
			d, _ := r.neighbour().own.Since(after)
			return d, nil
		}
		r.follower = catalogue.NewFollower(r.own, g.store, fetch, r, clock.System{}, logr.Discard())
		g.hosts = append(g.hosts, r)
	}
	return g
}

// check returns what a host lacks of the revision that it claims to have: its state of each key must be
// that of some revision from there on.
func (r *replica) check() string {
	got, store := r.own.Snapshot(), r.group.store
	possible := func(key string, holds func(value string) bool) bool {
		for revision := got.Revision; revision <= store.revision(); revision++ {
			if holds(store.at(key, revision)) {
				return true
			}
		}
		return false
	}
	version := uint64(0)
	if got.Table != nil {
		version = got.Table.Version()
	}
	if !possible("config", func(value string) bool {
		return value == "" && version == 0 || value == strconv.FormatUint(version, 10)
	}) {
		return fmt.Sprintf("configuration %d", version)
	}
	for _, id := range []string{"a", "b"} {
		t, known := got.Targets[id]
		if !possible("target/"+id, func(value string) bool { return r.isState(t, known, value) }) {
			return fmt.Sprintf("target %s: known %t, incarnation %s, %s", id, known, t.Incarnation, t.State)
		}
	}
	if !possible("evacuate/n1", func(value string) bool { return got.Evacuated["n1"] == (value != "") }) {
		return fmt.Sprintf("evacuations %v", got.Evacuated)
	}
	return ""
}

// isState reports whether the state of a target at this host is that of a value in the store, empty for none.
func (r *replica) isState(t catalogue.Target, known bool, value string) bool {
	if !known || value == "" {
		return !known && value == ""
	}
	var start, sequence int64
	state := ""
	if _, err := fmt.Sscan(value, &start, &sequence, &state); err != nil {
		return false
	}
	draining := state == "draining" || r.marked[t.Incarnation]
	return t.StartUnixMs == start && (t.State == catalogue.Draining) == draining
}

var _ = Describe("hosts that tell each other of changes", func() {
	// Guards against a host that keeps sending calls to a leaving target: the host that reads the store had
	// been told by the target itself, and took the target's entry for nothing new.
	It("learn that a target drains though the reader knew it already", func() {
		g := newReplicas(2)
		g.store.put("config", "1")
		g.store.put("target/a", "100 1 ready")
		reader, other := g.hosts[0], g.hosts[1]
		ctx := context.Background()
		Expect(reader.follower.ReadAll(ctx)).To(Succeed())
		Expect(other.follower.ReadAll(ctx)).To(Succeed())
		g.sent = nil
		reader.own.MarkDraining("a@100")
		g.store.put("target/a", "100 2 draining")
		Expect(reader.follower.ReadChanges(ctx)).To(Succeed())
		other.follower.HandleUpdate(g.sent[0].update, catalogue.Contact{})
		Expect(other.own.Snapshot().Revision).To(Equal(g.store.revision()))
		Expect(other.own.Snapshot().Targets["a"].State).To(Equal(catalogue.Draining))
	})

	// Guards against a host that claims a revision of the store and lacks a change up to it, as it would
	// not ask for that change again.
	It("have every change up to the revision that they claim, in whatever order and number updates arrive", func() {
		const rounds = 10 // of 100 series each
		for range rounds {
			rapid.Check(GinkgoT(), playSeries)
		}
	})
})

// series is a random series of changes, reads, updates and notices.
type series struct {
	*rapid.T
	group           *replicas
	version         int
	start, sequence map[string]int64 // of targets
}

// playSeries plays a random series and checks every host after each step.
func playSeries(t *rapid.T) {
	s := &series{T: t, group: newReplicas(3), start: map[string]int64{"a": 100, "b": 100}, sequence: map[string]int64{}}
	s.group.store.duringRead = func() {
		for range rapid.IntRange(0, 2).Draw(t, "writes between pages") {
			s.write()
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"write":                      func(*rapid.T) { s.write() },
		"deliver":                    func(*rapid.T) { s.deliver() },
		"read all":                   func(*rapid.T) { s.readAll() },
		"read changes":               func(*rapid.T) { s.readChanges() },
		"join":                       func(*rapid.T) { s.join() },
		"tell of operators' changes": func(*rapid.T) { s.deliverPartially() },
		"fetch from peer":            func(*rapid.T) { s.fetch() },
		"target says that it leaves": func(*rapid.T) { s.announce() },
		"compact":                    func(*rapid.T) { s.group.store.compacted = s.group.store.revision() },
		"":                           func(*rapid.T) { s.check() },
	})
}

func (s *series) host() *replica { return rapid.SampledFrom(s.group.hosts).Draw(s.T, "host") }

func (s *series) target() string { return rapid.SampledFrom([]string{"a", "b"}).Draw(s.T, "target") }

func (s *series) step(format string, args ...any) { s.group.store.step(format, args...) }

// write makes a random change in the store.
func (s *series) write() {
	store, id := s.group.store, s.target()
	key := "target/" + id
	value := store.at(key, store.revision())
	switch rapid.SampledFrom([]string{"config", "report", "remove", "restart", "evacuate"}).Draw(s.T, "change") {
	case "config":
		s.version += rapid.IntRange(1, 3).Draw(s.T, "step")
		store.put("config", strconv.Itoa(s.version))
	case "report":
		state := "ready"
		if strings.HasSuffix(value, "draining") || rapid.Bool().Draw(s.T, "drains") {
			state = "draining"
		}
		s.sequence[id]++
		store.put(key, fmt.Sprintf("%d %d %s", s.start[id], s.sequence[id], state))
	case "remove":
		if value != "" {
			store.remove(key)
			s.start[id], s.sequence[id] = s.start[id]+100, 0
		}
	case "restart":
		s.start[id], s.sequence[id] = s.start[id]+100, 1
		store.put(key, fmt.Sprintf("%d 1 ready", s.start[id]))
	case "evacuate":
		if store.at("evacuate/n1", store.revision()) == "" {
			store.put("evacuate/n1", "{}")
		} else {
			store.remove("evacuate/n1")
		}
	}
}

// deliver hands over one of the updates that are on their way, in any order and perhaps again later.
func (s *series) deliver() {
	if len(s.group.sent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.group.sent)-1).Draw(s.T, "update")
	d := s.group.sent[i]
	if !rapid.Bool().Draw(s.T, "again") {
		s.group.sent = slices.Delete(s.group.sent, i, i+1)
	}
	s.step("host %d gets %s", d.to, describe(d.update))
	s.group.hosts[d.to].follower.HandleUpdate(d.update, catalogue.Contact{})
}

// join joins an update with the next one from its sender to its recipient, as a sender does whose recipient hangs.
func (s *series) join() {
	if len(s.group.sent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.group.sent)-1).Draw(s.T, "update")
	first, later := s.group.sent[i], s.group.sent[i+1:]
	k := slices.IndexFunc(later, func(d delivery) bool { return d.from == first.from && d.to == first.to })
	if k < 0 {
		return
	}
	joined, ok := first.update.Then(later[k].update)
	if !ok {
		return
	}
	s.step("joined for host %d: %s", first.to, describe(joined))
	s.group.sent[i].update = joined
	s.group.sent = slices.Delete(s.group.sent, i+1+k, i+2+k)
}

// deliverPartially hands over the changes of operators in an update, as hosts of other data centres do.
func (s *series) deliverPartially() {
	if len(s.group.sent) == 0 {
		return
	}
	update := rapid.SampledFrom(s.group.sent).Draw(s.T, "from").update
	events := slices.DeleteFunc(slices.Clone(update.Events), func(e keyvalue.Event) bool { return strings.HasPrefix(e.Key, "target/") })
	h, partial := s.host(), catalogue.Update{Events: events, Partial: true}
	s.step("host %d gets %s", h.index, describe(partial))
	h.follower.HandleUpdate(partial, catalogue.Contact{})
}

func (s *series) readAll() {
	h := s.host()
	s.step("host %d reads all", h.index)
	if err := h.follower.ReadAll(context.Background()); err != nil {
		s.Fatal(err)
	}
}

func (s *series) readChanges() {
	h := s.host()
	known := h.own.Snapshot().Revision
	if known == 0 {
		return
	}
	s.step("host %d reads changes after %d", h.index, known)
	if err := h.follower.ReadChanges(context.Background()); err != nil {
		s.step("it fails: %v", err)
	}
}

func (s *series) fetch() {
	h := s.host()
	s.step("host %d fetches from host %d", h.index, h.neighbour().index)
	h.follower.FetchFromPeer(context.Background())
}

// announce tells a host that a target which it knows is leaving.
func (s *series) announce() {
	h := s.host()
	if known, ok := h.own.Snapshot().Targets[s.target()]; ok {
		s.step("host %d is told that %s leaves", h.index, known.Incarnation)
		h.own.MarkDraining(known.Incarnation)
		h.marked[known.Incarnation] = true
	}
}

func (s *series) check() {
	store := s.group.store
	for _, h := range s.group.hosts {
		if lacks := h.check(); lacks != "" {
			s.Fatalf("host %d claims revision %d of %d: %s\n%s", h.index, h.own.Snapshot().Revision, store.revision(), lacks, strings.Join(store.steps, "\n"))
		}
	}
}
