package catalogue

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// DecodedEntry is what an entry of the store says, in the product's terms.
type DecodedEntry struct {
	Kind     Kind
	Document route.Document // of a Configuration
	Report   Report         // of a TargetReport
	// DataCentre is the one of an Evacuation.
	DataCentre string
}

// Decoder reads entries of the store. It tells the kind of an entry by its key,
// also when it cannot read the value.
type Decoder interface {
	Decode(key string, value []byte) (DecodedEntry, error)
}

// lapseGrace is how long after the store's return a target whose entry lapsed in
// the outage may take to write it again.
const lapseGrace = 2 * time.Second

const (
	// maxLeft is how many targets that have left are remembered before those are
	// forgotten that have been gone for leftMemory, far longer than a target serves
	// after its word.
	maxLeft    = 1024
	leftMemory = 10 * time.Minute
)

// Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	Revision  int64
	Table     *route.Table // nil before the first configuration
	Targets   map[string]Target
	Evacuated map[string]bool // by data centre
}

// Catalogue keeps the newest state. It is safe for concurrent use.
type Catalogue struct {
	decoder Decoder
	regions map[string]string // by data centre
	clock   clock.Clock
	log     logr.Logger
	changed func(*Snapshot)

	mu      sync.Mutex
	entries map[string]keyvalue.Entry
	removed map[string]int64 // revisions of removals
	// left are the targets that have said in an answer that they leave, by
	// incarnation, with the time when this was learned.
	left map[string]time.Time
	// returned is when the store came back, until the first word of it is taken;
	// what that says was removed may have lapsed in the outage.
	returned time.Time
	snapshot atomic.Pointer[Snapshot]
}

// Option changes a Catalogue under construction.
type Option func(*Catalogue)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(k *Catalogue) { k.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(k *Catalogue) { k.log = l } }

// WithOnChange sets what is told of each new snapshot. It must not block.
func WithOnChange(f func(*Snapshot)) Option { return func(k *Catalogue) { k.changed = f } }

// New returns an empty Catalogue. Regions gives the region of each data centre.
func New(decoder Decoder, regions map[string]string, options ...Option) *Catalogue {
	c := &Catalogue{
		decoder: decoder, regions: regions, clock: clock.System{}, log: logr.Discard(), changed: func(*Snapshot) {},
		entries: map[string]keyvalue.Entry{}, removed: map[string]int64{}, left: map[string]time.Time{},
	}
	for _, option := range options {
		option(c)
	}
	c.snapshot.Store(&Snapshot{Targets: map[string]Target{}, Evacuated: map[string]bool{}})
	return c
}

// Snapshot returns the newest snapshot.
func (c *Catalogue) Snapshot() *Snapshot { return c.snapshot.Load() }

// StoreRecovered notes that the store answers again after an outage, so that
// targets whose entries lapsed meanwhile get time to write them again.
func (c *Catalogue) StoreRecovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = c.clock.Now()
}

// Apply takes changes of the store up to a revision, and returns those that say
// something new: most are targets that write again that all is as it was.
func (c *Catalogue) Apply(events []keyvalue.Event, revision int64) []keyvalue.Event {
	return c.apply(events, revision, func(keyvalue.Event) bool { return false })
}

// ApplyFromStore takes changes that were read in the store. It also returns those that were
// known already: other hosts told of them, and may not have told all.
func (c *Catalogue) ApplyFromStore(events []keyvalue.Event, revision int64) []keyvalue.Event {
	return c.apply(events, revision, func(e keyvalue.Event) bool { return c.known(e.Entry) })
}

// known reports whether an entry or its removal, or a later one of its key, was taken
// before.
func (c *Catalogue) known(e keyvalue.Entry) bool {
	return c.entries[e.Key].ModRevision >= e.ModRevision || c.removed[e.Key] >= e.ModRevision
}

func (c *Catalogue) apply(events []keyvalue.Event, revision int64, tell func(keyvalue.Event) bool) []keyvalue.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(events) == 0 {
		c.advance(revision)
		return nil
	}
	next := c.next(revision)
	var news []keyvalue.Event
	for _, e := range events {
		said := tell(e)
		if e.Deleted {
			said = c.remove(next, e.Key, e.ModRevision) || said
		} else {
			said = c.put(next, e.Entry) || said
		}
		if said {
			news = append(news, e)
		}
	}
	c.publish(next)
	return news
}

// Replace takes a whole read of the store at a revision: what is not in it was
// removed. A read older than what is known is passed over. It returns what has changed
// since the revision that was known, as ApplyRead does.
func (c *Catalogue) Replace(entries []keyvalue.Entry, revision int64) []keyvalue.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.Snapshot().Revision {
		return nil
	}
	keys := make(map[string]bool, len(entries))
	for _, e := range entries {
		keys[e.Key] = true
	}
	return c.takeWhole(entries, keys, revision)
}

// takeWhole takes entries at a revision, and removes what is not among the keys that
// there are. It returns what has changed since the revision that was known.
func (c *Catalogue) takeWhole(entries []keyvalue.Entry, keys map[string]bool, revision int64) []keyvalue.Event {
	next, before := c.next(revision), c.Snapshot().Revision
	var news []keyvalue.Event
	for _, e := range entries {
		early := e.ModRevision > before && c.known(e)
		if c.put(next, e) || early {
			news = append(news, keyvalue.Event{Entry: e})
		}
	}
	for key, at := range c.removed {
		if at > before && !keys[key] {
			news = append(news, keyvalue.Event{Entry: keyvalue.Entry{Key: key, ModRevision: at}, Deleted: true})
		}
	}
	for key := range c.entries {
		if !keys[key] && c.remove(next, key, revision) {
			news = append(news, keyvalue.Event{Entry: keyvalue.Entry{Key: key, ModRevision: revision}, Deleted: true})
		}
	}
	c.publish(next)
	return news
}

// Difference is what one host tells another that knows less.
type Difference struct {
	Revision int64
	Entries  []keyvalue.Entry // changed after the asked revision
	Keys     []string         // all that there are
}

// Since returns what has changed after a revision, and false when nothing has.
func (c *Catalogue) Since(revision int64) (Difference, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Difference{Revision: c.Snapshot().Revision}
	if d.Revision <= revision {
		return d, false
	}
	for _, key := range slices.Sorted(maps.Keys(c.entries)) {
		d.Keys = append(d.Keys, key)
		if e := c.entries[key]; e.ModRevision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	return d, true
}

// Merge takes what another host told.
func (c *Catalogue) Merge(d Difference) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Revision <= c.Snapshot().Revision {
		return
	}
	keys := make(map[string]bool, len(d.Keys))
	for _, key := range d.Keys {
		keys[key] = true
	}
	c.takeWhole(d.Entries, keys, d.Revision)
}

// MarkDraining takes the word of a target's process that it leaves, which nothing that the
// store says of that process undoes. It reports whether this is news.
func (c *Catalogue) MarkDraining(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.left[incarnation]; known {
		return false
	}
	c.forgetLeft()
	c.left[incarnation] = c.clock.Now()
	for id, t := range c.Snapshot().Targets {
		if t.Incarnation != incarnation || t.State == Draining {
			continue
		}
		next := c.next(c.Snapshot().Revision)
		t.State = Draining
		next.Targets[id] = t
		c.snapshot.Store(next)
		c.changed(next)
		return true
	}
	return false
}

// forgetLeft makes room among the targets that have left. Those that are still there
// stay, as the store may call them ready.
func (c *Catalogue) forgetLeft() {
	if len(c.left) < maxLeft {
		return
	}
	there := map[string]bool{}
	for _, t := range c.Snapshot().Targets {
		there[t.Incarnation] = true
	}
	now := c.clock.Now()
	maps.DeleteFunc(c.left, func(incarnation string, at time.Time) bool {
		return !there[incarnation] && now.Sub(at) > leftMemory
	})
}

// Sweep drops the targets whose entries have been missing for too long.
func (c *Catalogue) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var next *Snapshot
	for id, t := range c.Snapshot().Targets {
		if t.MissingSince.IsZero() || now.Sub(t.MissingSince) < lapseGrace {
			continue
		}
		if next == nil {
			next = c.next(c.Snapshot().Revision)
		}
		delete(next.Targets, id)
		c.log.Info("A target whose entry lapsed is gone.", "Target", id)
	}
	if next != nil {
		c.publish(next)
	}
}

func (c *Catalogue) next(revision int64) *Snapshot {
	old := c.Snapshot()
	return &Snapshot{
		Revision: max(old.Revision, revision), Table: old.Table,
		Targets: maps.Clone(old.Targets), Evacuated: maps.Clone(old.Evacuated),
	}
}

// advance notes that nothing has changed up to a revision.
func (c *Catalogue) advance(revision int64) {
	c.returned = time.Time{}
	if old := c.Snapshot(); revision > old.Revision {
		same := *old
		same.Revision = revision
		c.snapshot.Store(&same)
	}
}

func (c *Catalogue) publish(s *Snapshot) {
	c.returned = time.Time{}
	c.snapshot.Store(s)
	c.changed(s)
}

// put takes one entry unless something newer is known of its key, and reports
// whether it says something new.
func (c *Catalogue) put(next *Snapshot, e keyvalue.Entry) bool {
	if c.known(e) {
		return false
	}
	c.entries[e.Key] = e
	delete(c.removed, e.Key)
	statement, err := c.decoder.Decode(e.Key, e.Value)
	if err != nil {
		c.log.Error(err, "An entry of the store could not be read.", "Key", e.Key, "Revision", e.ModRevision)
		if statement.Kind == TargetReport {
			delete(next.Targets, statement.Report.ID)
		}
		return true
	}
	switch statement.Kind {
	case Configuration:
		c.configure(next, statement.Document, e.ModRevision)
	case TargetReport:
		return c.report(next, statement.Report)
	case Evacuation:
		next.Evacuated[statement.DataCentre] = true
		c.log.Info("A data centre is evacuated.", "DataCentre", statement.DataCentre, "Revision", e.ModRevision)
	case Ignored:
		return false
	}
	return true
}

// KindOf returns the kind of the entry that an event is of.
func (c *Catalogue) KindOf(e keyvalue.Event) Kind {
	statement, _ := c.decoder.Decode(e.Key, e.Value) // the kind is known also when the value is wrong
	return statement.Kind
}

// configure adopts a configuration only if its version is higher.
func (c *Catalogue) configure(next *Snapshot, d route.Document, revision int64) {
	if next.Table != nil && d.Version <= next.Table.Version() {
		return
	}
	table, err := route.NewTable(d)
	if err != nil {
		c.log.Error(err, "A configuration is wrong; the last good one stays in force.", "Version", d.Version)
		return
	}
	next.Table = table
	c.log.Info("A configuration is in force.", "Version", d.Version, "Revision", revision, "Routes", table.Routes())
}

// report takes the report of a target, and reports whether it says something new.
func (c *Catalogue) report(next *Snapshot, r Report) bool {
	old, known := next.Targets[r.ID]
	sameStart := known && old.StartUnixMs == r.StartUnixMs
	if known && (r.StartUnixMs < old.StartUnixMs || (sameStart && r.Sequence < old.Sequence)) {
		return false
	}
	if sameStart && old.State == Draining {
		r.State = Draining // leaving is for good
	}
	now := c.clock.Now()
	incarnation := r.ID + "@" + strconv.FormatInt(r.StartUnixMs, 10)
	if _, left := c.left[incarnation]; left {
		r.State = Draining
	}
	t := Target{Report: r, Region: c.regions[r.DataCentre], Incarnation: incarnation, ColdUntil: now.Add(r.ColdRemaining)}
	if !sameStart || old.State != t.State || !old.MissingSince.IsZero() {
		c.log.Info("A target reports.", "Target", r.ID, "Service", r.Service, "Address", r.Address,
			"State", r.State.String(), "ColdMs", r.ColdRemaining.Milliseconds(), "Born", r.StartUnixMs)
	}
	next.Targets[r.ID] = t
	return !known || !old.MissingSince.IsZero() || r.saysMoreThan(old.Report)
}

// remove takes the removal of a key, and reports whether it was there.
func (c *Catalogue) remove(next *Snapshot, key string, revision int64) bool {
	e, known := c.entries[key]
	if !known || e.ModRevision >= revision {
		return false
	}
	delete(c.entries, key)
	c.removed[key] = revision
	statement, _ := c.decoder.Decode(key, e.Value)
	switch statement.Kind {
	case TargetReport:
		c.lose(next, statement.Report.ID)
	case Evacuation:
		delete(next.Evacuated, statement.DataCentre)
		c.log.Info("The evacuation of a data centre ends.", "DataCentre", statement.DataCentre, "Revision", revision)
		c.chill(next, statement.DataCentre)
	case Configuration, Ignored:
	}
	return true
}

// chill takes the targets of a data centre that is used again for cold, until
// their next reports say otherwise.
func (c *Catalogue) chill(next *Snapshot, dataCentre string) {
	if next.Table == nil {
		return
	}
	for id, t := range next.Targets {
		if s := next.Table.Service(t.Service); t.DataCentre == dataCentre && s != nil {
			t.ColdUntil = c.clock.Now().Add(s.ColdStart)
			next.Targets[id] = t
		}
	}
}

// lose drops a target. After an outage of the store, its entry may have lapsed
// while the target lives; then it stays in use for a while.
func (c *Catalogue) lose(next *Snapshot, id string) {
	t, known := next.Targets[id]
	if !known {
		return
	}
	if t.State == Ready && !c.returned.IsZero() {
		t.MissingSince = c.returned
		next.Targets[id] = t
		c.log.Info("The entry of a target lapsed in an outage of the store.", "Target", id)
		return
	}
	delete(next.Targets, id)
	c.log.Info("A target is gone.", "Target", id)
}
