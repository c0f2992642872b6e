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
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// DecodedEntry is an entry of the store, decoded into the types of this product.
type DecodedEntry struct {
	Kind     Kind
	Document route.Document // set for Configuration
	Report   Report         // set for TargetReport
	// LeftOut is set for a Configuration of which some parts cannot be used as they are.
	LeftOut failure.Problems
	// DataCentre is set for Evacuation.
	DataCentre string
}

// Decoder decodes entries of the store. It derives the kind, the target ID and the
// evacuated data centre from the key alone, so they are also set when it returns an error
// for the value.
type Decoder interface {
	Decode(key string, value []byte) (DecodedEntry, error)
}

// departure is the last report of a target that is gone.
type departure struct {
	startUnixMs, sequence int64
	at                    time.Time
}

// covers reports whether a report is not newer than the departure.
func (d departure) covers(r Report) bool {
	return r.StartUnixMs < d.startUnixMs || (r.StartUnixMs == d.startUnixMs && r.Sequence <= d.sequence)
}

const (
	// maxRemovals is the number of remembered removals from which on those that the revision of this
	// host covers are pruned.
	maxRemovals = 4096
	// maxDepartures is the number of departures from which on those older than
	// drainingRetention are pruned.
	maxDepartures = 4096
	// evacuationGrace is how long an evacuation that a restored store lacks stays in force, so
	// that the operator can write it again.
	evacuationGrace = 5 * time.Second
)

// expiredEntryGrace is how long a target whose entry expired during an outage of the
// store stays known after the store has recovered, so that it can write the entry again.
const expiredEntryGrace = 2 * time.Second

const (
	// maxDraining is the number of remembered draining processes from which on old ones
	// are pruned.
	maxDraining = 1024
	// drainingRetention is the minimum age at which a draining process whose target is
	// gone is pruned. It is far longer than a target serves after it announced that it
	// drains.
	drainingRetention = 10 * time.Minute
)

// Source is where a host has a change from.
type Source string

// The sources.
const (
	// FromStore is a read of the store by the host itself.
	FromStore Source = "Store"
	// FromReader is an update of the host that reads the store for the data centre.
	FromReader Source = "Reader"
	// FromOtherReader is an update without a revision, mostly of the reader of another data centre.
	FromOtherReader Source = "OtherReader"
	// FromPeer is a difference fetched from another host while the store does not answer.
	FromPeer Source = "Peer"
)

// Origin says how a configuration came to a host, and when.
type Origin struct {
	Source Source
	At     time.Time
}

// Snapshot is the state of the catalogue at one moment. It is immutable.
type Snapshot struct {
	Revision  int64
	Table     *route.Table // nil before the first configuration
	Origin    Origin       // of Table
	Targets   map[string]Target
	Evacuated map[string]bool // keyed by data centre
}

// Service returns the configured service with the name, nil if there is none.
func (s *Snapshot) Service(name string) *route.Service {
	if s.Table == nil {
		return nil
	}
	return s.Table.Service(name)
}

// Catalogue holds the newest Snapshot and the store entries that it derives from. It is
// safe for concurrent use.
type Catalogue struct {
	decoder  Decoder
	regions  map[string]string // keyed by data centre
	clock    clock.Clock
	log      logr.Logger
	onChange func(*Snapshot)

	mu      sync.Mutex
	entries map[string]keyvalue.Entry
	removed map[string]int64 // revision of the removal, keyed by entry key
	// drainingSince holds the time at which this host learned that a target process
	// drains, from the process itself or from another host, keyed by incarnation.
	drainingSince map[string]time.Time
	// departed holds the last report of each target that is gone, keyed by ID, so that a store
	// restored from a copy does not bring the target back.
	departed map[string]departure
	// unconfirmed holds when a restored store was found to lack the entry of an evacuation,
	// keyed by entry key.
	unconfirmed map[string]time.Time
	// configuration is the entry of the configuration in force.
	configuration keyvalue.Entry
	// storeRecoveredAt is when the store answered again after an outage. It is reset once
	// the next result of the store is applied: entries that are removed in that result may
	// have expired during the outage.
	storeRecoveredAt time.Time
	snapshot         atomic.Pointer[Snapshot]
}

// Option changes a Catalogue under construction.
type Option func(*Catalogue)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(k *Catalogue) { k.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logr.Logger) Option { return func(k *Catalogue) { k.log = l } }

// WithOnChange sets the function that is called with each changed snapshot. It must not
// block.
func WithOnChange(f func(*Snapshot)) Option { return func(k *Catalogue) { k.onChange = f } }

// New returns an empty Catalogue; regions maps each data centre to its region.
func New(decoder Decoder, regions map[string]string, options ...Option) *Catalogue {
	c := &Catalogue{
		decoder: decoder, regions: regions, clock: clock.System{}, log: logr.Discard(), onChange: func(*Snapshot) {},
		entries: map[string]keyvalue.Entry{}, removed: map[string]int64{}, drainingSince: map[string]time.Time{},
		departed: map[string]departure{}, unconfirmed: map[string]time.Time{},
	}
	for _, option := range options {
		option(c)
	}
	c.snapshot.Store(&Snapshot{Targets: map[string]Target{}, Evacuated: map[string]bool{}})
	return c
}

// Snapshot returns the newest snapshot.
func (c *Catalogue) Snapshot() *Snapshot { return c.snapshot.Load() }

// StoreRecovered records that the store answers again after an outage. Targets whose
// entries expired during the outage get time to write them again.
func (c *Catalogue) StoreRecovered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeRecoveredAt = c.clock.Now()
}

// Apply applies the changes of the store up to a revision and returns those that are new to this
// host. Most are not: targets keep writing reports that only repeat the last one.
func (c *Catalogue) Apply(events []keyvalue.Event, revision int64, source Source) []keyvalue.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apply(events, revision, source)
}

// ApplyFromStore applies all changes of the store from the revision after to another one. Unlike
// Apply, it returns those that hosts with all changes up to after may lack, whatever this host knows
// by other ways.
func (c *Catalogue) ApplyFromStore(events []keyvalue.Event, after, revision int64) []keyvalue.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []keyvalue.Event
	for _, e := range events {
		if c.isUpdate(e, after) {
			changes = append(changes, e)
		}
	}
	c.apply(events, revision, FromStore)
	return changes
}

// isUpdate reports whether a change of the store brings information to hosts that have all changes up
// to the revision after. Only the reports of targets may bring none.
func (c *Catalogue) isUpdate(e keyvalue.Event, after int64) bool {
	older, known := c.entries[e.Key]
	if e.Deleted || !known || older.ModRevision > after || c.kindOf(e.Key) != TargetReport {
		return true
	}
	decoded, err := c.decoder.Decode(e.Key, e.Value)
	before, olderErr := c.decoder.Decode(e.Key, older.Value)
	return err != nil || olderErr != nil || decoded.Report.isUpdateOf(before.Report)
}

// known reports whether this revision of the key, or a later one, was applied before, as
// a write or as a removal, or is covered by the revision that this host has.
func (c *Catalogue) known(e keyvalue.Entry) bool {
	return e.ModRevision <= c.Snapshot().Revision || c.entries[e.Key].ModRevision >= e.ModRevision || c.removed[e.Key] >= e.ModRevision
}

// apply applies events and returns those that are new to this host.
func (c *Catalogue) apply(events []keyvalue.Event, revision int64, source Source) []keyvalue.Event {
	if len(events) == 0 {
		c.advance(revision)
		return nil
	}
	next := c.nextSnapshot(revision)
	var changes []keyvalue.Event
	for _, e := range events {
		if e.Deleted && c.remove(next, e.Key, e.ModRevision) || !e.Deleted && c.put(next, e.Entry, source) {
			changes = append(changes, e)
		}
	}
	c.publish(next)
	return changes
}

// Replace applies a full read of the store at a revision: entries that are not in it were
// removed. A read older than the current revision is ignored. Replace returns the update for hosts that
// have all changes up to the revision after.
func (c *Catalogue) Replace(entries []keyvalue.Entry, after, revision int64) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := Update{After: after, Revision: revision, FullRead: true}
	keys := make(map[string]bool, len(entries))
	for _, e := range entries {
		keys[e.Key] = true
		u.Keys = append(u.Keys, e.Key)
		if change := (keyvalue.Event{Entry: e}); e.ModRevision > after && c.isUpdate(change, after) {
			u.Events = append(u.Events, change)
		}
	}
	for key, at := range c.removed { // for hosts of the build before, which ignore Keys
		if at > after && !keys[key] {
			u.Events = append(u.Events, keyvalue.Event{Entry: keyvalue.Entry{Key: key, ModRevision: at}, Deleted: true})
		}
	}
	for _, key := range c.missing(keys, revision) {
		u.Events = append(u.Events, keyvalue.Event{Entry: keyvalue.Entry{Key: key, ModRevision: revision}, Deleted: true})
	}
	if revision >= c.Snapshot().Revision {
		c.replaceAll(entries, keys, revision, FromStore)
	}
	return u
}

// missing returns the keys of known entries that a full read at a revision lacks and would have.
func (c *Catalogue) missing(keys map[string]bool, revision int64) []string {
	var out []string
	for key, e := range c.entries {
		if !keys[key] && e.ModRevision <= revision && !c.awaitsConfirmation(key, revision) {
			out = append(out, key)
		}
	}
	return out
}

// replaceAll applies entries at a revision and removes every known entry whose key is not
// in keys, the set of all keys at that revision.
func (c *Catalogue) replaceAll(entries []keyvalue.Entry, keys map[string]bool, revision int64, source Source) {
	next := c.nextSnapshot(revision)
	for _, e := range entries {
		c.put(next, e, source)
	}
	for _, key := range c.missing(keys, revision) {
		c.remove(next, key, revision)
	}
	c.publish(next)
}

// awaitsConfirmation reports whether the entry of an evacuation stays in force for a while
// although a full read in a new era of the store lacks it.
func (c *Catalogue) awaitsConfirmation(key string, revision int64) bool {
	era, _ := keyvalue.SplitRevision(revision)
	knownEra, _ := keyvalue.SplitRevision(c.Snapshot().Revision)
	decoded, _ := c.decoder.Decode(key, c.entries[key].Value) // the kind is also set with an error
	if decoded.Kind != Evacuation || era <= knownEra {
		return false
	}
	if _, ok := c.unconfirmed[key]; !ok {
		c.unconfirmed[key] = c.clock.Now()
		c.log.Info("A restored store lacks an evacuation; it stays in force for now.", "DataCentre", decoded.DataCentre)
	}
	return true
}

// MinBaseBytes is the least length of a value of which recipients get differences. Shorter ones, such as reports of
// targets, are not worth the processor time.
const MinBaseBytes = 4 << 10

// Bases returns the known entries of the keys of some events, by key, of those that are worth a difference.
func (c *Catalogue) Bases(events []keyvalue.Event) map[string]keyvalue.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]keyvalue.Entry{}
	for _, e := range events {
		if known, ok := c.entries[e.Key]; ok && len(known.Value) >= MinBaseBytes {
			out[e.Key] = known
		}
	}
	return out
}

// Entry returns the known entry of a key, false if there is none.
func (c *Catalogue) Entry(key string) (keyvalue.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[key]
	return e, ok
}

// Configuration returns the write of the configuration in force, or false if there is none.
func (c *Catalogue) Configuration() (keyvalue.Event, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return keyvalue.Event{Entry: c.configuration}, c.configuration.Key != ""
}

// Difference is the set of changes that one host sends to another with an older revision.
type Difference struct {
	Revision int64
	Entries  []keyvalue.Entry // written after the requested revision
	Keys     []string         // of all entries at Revision; missing keys were removed
	// ContactAgeMs is how long ago the sender had all changes of the store, nil if it never had. It is counted
	// when the sender responds.
	ContactAgeMs *int64 `json:",omitempty"`
}

// Since returns the changes after a revision, and false if there are none.
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

// Merge applies the changes that another host sent, unless this host already has that
// revision.
func (c *Catalogue) Merge(d Difference) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Revision <= c.Snapshot().Revision {
		return
	}
	c.replaceAll(d.Entries, setOf(d.Keys), d.Revision, FromPeer)
}

func setOf(keys []string) map[string]bool {
	out := make(map[string]bool, len(keys))
	for _, key := range keys {
		out[key] = true
	}
	return out
}

// ApplyFullRead applies the update that another host derived from a full read of the store. This host
// must have all changes up to u.After.
func (c *Catalogue) ApplyFullRead(u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Revision <= c.Snapshot().Revision {
		return
	}
	var entries []keyvalue.Entry
	for _, e := range u.Events {
		if !e.Deleted {
			entries = append(entries, e.Entry)
		}
	}
	c.replaceAll(entries, setOf(u.Keys), u.Revision, FromReader)
}

// MarkDraining marks the target process with this incarnation as draining, because the
// process announced it. Later reports of the same process in the store do not undo the
// mark. MarkDraining reports whether the state of a known target has changed.
func (c *Catalogue) MarkDraining(incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.drainingSince[incarnation]; known {
		return false
	}
	c.pruneDraining()
	c.drainingSince[incarnation] = c.clock.Now()
	for id, t := range c.Snapshot().Targets {
		if t.Incarnation != incarnation || t.State == Draining {
			continue
		}
		next := c.nextSnapshot(c.Snapshot().Revision)
		t.State = Draining
		next.Targets[id] = t
		c.snapshot.Store(next)
		c.onChange(next)
		return true
	}
	return false
}

// pruneDraining removes old entries from drainingSince when it is full. It keeps those of
// targets that are still known, because their entries in the store may still have the
// state Ready.
func (c *Catalogue) pruneDraining() {
	if len(c.drainingSince) < maxDraining {
		return
	}
	present := map[string]bool{}
	for _, t := range c.Snapshot().Targets {
		present[t.Incarnation] = true
	}
	now := c.clock.Now()
	maps.DeleteFunc(c.drainingSince, func(incarnation string, at time.Time) bool {
		return !present[incarnation] && now.Sub(at) > drainingRetention
	})
}

// Sweep removes targets that did not write their expired entries again within
// expiredEntryGrace after the store recovered.
func (c *Catalogue) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var next *Snapshot
	for id, t := range c.Snapshot().Targets {
		if t.MissingSince.IsZero() || now.Sub(t.MissingSince) < expiredEntryGrace {
			continue
		}
		if next == nil {
			next = c.nextSnapshot(c.Snapshot().Revision)
		}
		c.depart(next, t)
		c.log.Info("Removed a target that did not write its expired entry again.", "Target", id)
	}
	for key, since := range c.unconfirmed {
		if now.Sub(since) < evacuationGrace {
			continue
		}
		if next == nil {
			next = c.nextSnapshot(c.Snapshot().Revision)
		}
		delete(c.unconfirmed, key)
		c.remove(next, key, next.Revision)
	}
	if next != nil {
		c.publish(next)
	}
}

// nextSnapshot returns a mutable copy of the newest snapshot. Its revision is the given one
// or the current one, whichever is higher.
func (c *Catalogue) nextSnapshot(revision int64) *Snapshot {
	old := c.Snapshot()
	return &Snapshot{
		Revision: max(old.Revision, revision), Table: old.Table, Origin: old.Origin,
		Targets: maps.Clone(old.Targets), Evacuated: maps.Clone(old.Evacuated),
	}
}

// advance raises the revision without other changes.
func (c *Catalogue) advance(revision int64) {
	c.storeRecoveredAt = time.Time{}
	if old := c.Snapshot(); revision > old.Revision {
		next := *old
		next.Revision = revision
		c.snapshot.Store(&next)
	}
}

func (c *Catalogue) publish(s *Snapshot) {
	c.storeRecoveredAt = time.Time{}
	if len(c.removed) > maxRemovals {
		maps.DeleteFunc(c.removed, func(_ string, at int64) bool { return at <= s.Revision })
	}
	c.snapshot.Store(s)
	c.onChange(s)
}

// put applies one entry unless the same or a newer revision of its key is known. It
// reports whether the entry brings new information.
func (c *Catalogue) put(next *Snapshot, e keyvalue.Entry, source Source) bool {
	if c.known(e) {
		return false
	}
	older := c.entries[e.Key]
	c.entries[e.Key] = e
	delete(c.removed, e.Key)
	delete(c.unconfirmed, e.Key)
	decoded, err := c.decoder.Decode(e.Key, e.Value)
	if err != nil {
		c.log.Error(err, "Failed to decode an entry of the store.", "Key", e.Key, "Revision", e.ModRevision)
		if decoded.Kind == TargetReport {
			delete(next.Targets, decoded.Report.ID)
		}
		return true
	}
	switch decoded.Kind {
	case Configuration:
		if next.Table != nil && len(older.Value) > 0 && decoded.Document.Version < next.Table.Version() {
			e.Value = older.Value // other hosts fetch the configuration that is in force
			c.entries[e.Key] = e
			c.log.Info("Ignored an older configuration.", "Version", decoded.Document.Version, "InForce", next.Table.Version(), "Revision", e.ModRevision)
			return false
		}
		if len(decoded.LeftOut) > 0 {
			c.log.Error(decoded.LeftOut, "Parts of a configuration cannot be used as they are.", "Version", decoded.Document.Version, "Revision", e.ModRevision)
		}
		c.applyConfiguration(next, decoded.Document, e, source)
	case TargetReport:
		return c.applyReport(next, decoded.Report, e.ModRevision)
	case Evacuation:
		next.Evacuated[decoded.DataCentre] = true
		c.log.Info("A data centre is evacuated.", "DataCentre", decoded.DataCentre, "Revision", e.ModRevision)
	case Ignored:
		return false
	}
	return true
}

// KindOf returns the kind of the entry that an event is about.
func (c *Catalogue) KindOf(e keyvalue.Event) Kind { return c.kindOf(e.Key) }

// kindOf returns the kind of the entries with a key.
func (c *Catalogue) kindOf(key string) Kind {
	decoded, _ := c.decoder.Decode(key, nil) // the kind is also set without a value
	return decoded.Kind
}

// applyConfiguration adopts a configuration if it is valid and its version is higher than
// the current one.
func (c *Catalogue) applyConfiguration(next *Snapshot, d route.Document, e keyvalue.Entry, source Source) {
	if next.Table != nil && d.Version <= next.Table.Version() {
		return
	}
	table, err := route.NewTable(d)
	if err != nil {
		c.log.Error(err, "Rejected an invalid configuration; the previous one stays in force.", "Version", d.Version)
		return
	}
	next.Table, next.Origin, c.configuration = table, Origin{Source: source, At: c.clock.Now()}, e
	c.log.Info("A configuration is in force.", "Version", d.Version, "Revision", e.ModRevision, "Routes", table.Routes(), "Source", source, "Known", c.Snapshot().Revision)
}

// applyReport applies the report of a target, written at a revision, unless it is older than the
// known one. It reports whether the report brings new information.
func (c *Catalogue) applyReport(next *Snapshot, r Report, revision int64) bool {
	old, known := next.Targets[r.ID]
	if !known && c.hasDeparted(r) {
		return false
	}
	sameProcess := known && old.StartUnixMs == r.StartUnixMs
	if known && r.isOlderThan(old.Report) {
		return false
	}
	if sameProcess && old.State == Draining {
		r.State = Draining // a process never becomes ready again
	}
	now := c.clock.Now()
	incarnation := r.ID + "@" + strconv.FormatInt(r.StartUnixMs, 10)
	if _, draining := c.drainingSince[incarnation]; draining {
		r.State = Draining
	}
	t := Target{Report: r, Region: c.regions[r.DataCentre], Incarnation: incarnation, ColdUntil: now.Add(r.ColdRemaining)}
	if sameProcess && revision < old.coldRevision {
		t.ColdUntil, t.coldRevision = old.ColdUntil, old.coldRevision
	}
	if !sameProcess || old.State != t.State || !old.MissingSince.IsZero() {
		c.log.Info("A target registered or changed its state.", "Target", r.ID, "Service", r.Service, "Address", r.Address,
			"State", r.State.String(), "Software", r.Software, "ColdMs", r.ColdRemaining.Milliseconds(), "Born", r.StartUnixMs)
	}
	next.Targets[r.ID] = t
	return !known || !old.MissingSince.IsZero() || r.isUpdateOf(old.Report)
}

// remove applies the removal of a key at a revision. It reports whether an entry that is not newer
// was removed.
func (c *Catalogue) remove(next *Snapshot, key string, revision int64) bool {
	e, known := c.entries[key]
	if known && e.ModRevision > revision {
		return false
	}
	c.removed[key] = max(c.removed[key], revision) // an older write may arrive later
	if !known {
		return false
	}
	delete(c.entries, key)
	decoded, _ := c.decoder.Decode(key, e.Value)
	switch decoded.Kind {
	case TargetReport:
		c.removeTarget(next, decoded.Report.ID)
	case Evacuation:
		delete(next.Evacuated, decoded.DataCentre)
		c.log.Info("The evacuation of a data centre ends.", "DataCentre", decoded.DataCentre, "Revision", revision)
		c.markCold(next, decoded.DataCentre, revision)
	case Configuration, Ignored:
	}
	return true
}

// markCold marks the targets of a data centre whose evacuation has ended at a revision as cold,
// for the cold-start time of their service or until their next reports.
func (c *Catalogue) markCold(next *Snapshot, dataCentre string, revision int64) {
	if next.Table == nil {
		return
	}
	for id, t := range next.Targets {
		if s := next.Table.Service(t.Service); t.DataCentre == dataCentre && s != nil {
			t.ColdUntil, t.coldRevision = c.clock.Now().Add(s.ColdStart), revision
			next.Targets[id] = t
		}
	}
}

// removeTarget removes a target whose entry was removed. Right after an outage of the
// store, the entry of a running target may have expired; a ready target then stays in use
// for expiredEntryGrace.
func (c *Catalogue) removeTarget(next *Snapshot, id string) {
	t, known := next.Targets[id]
	if !known {
		return
	}
	if t.State == Ready && !c.storeRecoveredAt.IsZero() {
		t.MissingSince = c.storeRecoveredAt
		next.Targets[id] = t
		c.log.Info("A target's entry expired during an outage of the store; the target stays in use for now.", "Target", id)
		return
	}
	c.depart(next, t)
	c.log.Info("A target is gone.", "Target", id)
}

// hasDeparted reports whether the report of an unknown target was written before it left.
func (c *Catalogue) hasDeparted(r Report) bool {
	d, gone := c.departed[r.ID]
	if !gone || !d.covers(r) {
		return false
	}
	c.log.Info("Ignored the entry of a target that is gone.", "Target", r.ID, "Sequence", r.Sequence)
	return true
}

// depart removes a target and remembers its last report.
func (c *Catalogue) depart(next *Snapshot, t Target) {
	now := c.clock.Now()
	if len(c.departed) >= maxDepartures {
		maps.DeleteFunc(c.departed, func(_ string, d departure) bool { return now.Sub(d.at) > drainingRetention })
	}
	delete(next.Targets, t.ID)
	c.departed[t.ID] = departure{startUnixMs: t.StartUnixMs, sequence: t.Sequence, at: now}
}
