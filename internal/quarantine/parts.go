package quarantine

import (
	"slices"
	"time"
)

const (
	// provenCrashes is the number of crashes since its last answer that make a part suspected
	// although answers began under it before. They also outweigh the other suspected parts of
	// a trial.
	provenCrashes = 3
	// TrialTimeout is how long a trial without a result keeps other calls with the part from
	// targets.
	TrialTimeout = 5 * time.Second
	// A quarantined part gets another trial after firstRelease, and after releaseFactor times
	// the last pause whenever a target crashes in it, at most after maxRelease.
	firstRelease  = time.Minute
	releaseFactor = 4
	maxRelease    = 24 * time.Hour

	suspicionLifetime  = 10 * time.Minute // since the last report
	quarantineLifetime = 2 * maxRelease
	maxParts           = 4096
	maxCrashesPerPart  = 64
	maxExplained       = 4096
	maxProven          = 4096 // in each of two generations
	provenLifetime     = 5 * time.Minute
)

// PartCrash reports the parts of prompts that may have crashed a target: those of the calls at
// one host that waited for their answer to begin when the target crashed.
type PartCrash struct {
	// ID identifies the process of the target. The reports of several hosts add up.
	ID string `json:"ID"`
	// Region is the region of the target.
	Region string `json:"Region"`
	// Suspects are the parts under which the host has seen no answer, Proven the others.
	Suspects []string `json:"Suspects,omitempty"`
	Proven   []string `json:"Proven,omitempty"`
	// Tried are the suspected parts of calls that ran at the target as trials.
	Tried []string `json:"Tried,omitempty"`
}

// Clearance states that a part did not cause crashes: an answer began under it after them,
// and its target lived on.
type Clearance struct {
	Part     string   `json:"Part"`
	CrashIDs []string `json:"CrashIDs"`
}

// Trial announces that a call runs to find out whether its part crashes targets, or the end
// of that without a result.
type Trial struct {
	Part  string `json:"Part"`
	Call  string `json:"Call"`
	Ended bool   `json:"Ended,omitempty"`
}

// partCrash is what is known of one crash about one part.
type partCrash struct {
	proven bool // an answer had begun under the part before
	tried  bool // a call with the part ran as a trial
	// decisive is set if the part was the only one on trial.
	decisive bool
}

// partRecord holds what is known about one part.
type partRecord struct {
	crashes    map[string]partCrash // by crash ID
	cleared    []string             // crash IDs
	reportedAt time.Time
	crashedAt  time.Time // last crash
	trialCall  string
	trialUntil time.Time
}

// Parts finds the parts of prompts that crash targets, from crashes and from answers. A part
// that may have caused a crash is suspected: calls with it run one at a time, as trials. An
// answer clears the part, and a crash in a trial quarantines it. Crashes with a quarantined part
// are no evidence against other parts. Parts are keyed digests. Parts is not safe for concurrent
// use.
type Parts struct {
	records   map[string]*partRecord
	explained map[string]string // quarantined part by crash ID
	proven    recentSet
}

// NewParts returns an empty Parts.
func NewParts() *Parts {
	return &Parts{records: map[string]*partRecord{}, explained: map[string]string{}}
}

// AddCrash records a report. It reports whether it brought anything new.
func (p *Parts) AddCrash(now time.Time, c PartCrash) bool {
	changed := false
	for _, part := range c.Suspects {
		changed = p.add(now, part, c.ID, partCrash{proven: p.proven.has(now, part)}) || changed
	}
	for _, part := range c.Proven {
		changed = p.add(now, part, c.ID, partCrash{proven: true}) || changed
	}
	for _, part := range c.Tried {
		changed = p.add(now, part, c.ID, partCrash{tried: true, decisive: len(c.Tried) == 1}) || changed
	}
	for _, list := range [][]string{c.Tried, c.Suspects, c.Proven} {
		for _, part := range list {
			p.explainBy(part)
		}
	}
	return changed
}

// add records a crash against a part, or adds to what is known of it.
func (p *Parts) add(now time.Time, part, id string, c partCrash) bool {
	rec := p.record(now, part)
	if rec == nil || slices.Contains(rec.cleared, id) {
		return false
	}
	known, ok := rec.crashes[id]
	if !ok && len(rec.crashes) >= maxCrashesPerPart {
		return false
	}
	merged := partCrash{tried: known.tried || c.tried, decisive: known.decisive || c.decisive, proven: c.proven && (known.proven || !ok)}
	if ok && merged == known {
		return false
	}
	rec.crashes[id], rec.reportedAt = merged, now
	if !ok {
		rec.crashedAt = now
	}
	if c.tried {
		rec.trialCall = ""
	}
	return true
}

// explainBy attributes the crashes of a part to it if it alone was on trial in one of them, so
// that no other part can be their cause.
func (p *Parts) explainBy(part string) {
	rec := p.records[part]
	if rec == nil || !p.condemned(part, rec) || !p.tally(part, rec).decisive {
		return
	}
	if len(p.explained) >= maxExplained {
		clear(p.explained)
	}
	for id := range rec.crashes {
		if _, ok := p.explained[id]; !ok {
			p.explained[id] = part
		}
	}
}

// record returns the record of a part, a new one if there is none, or nil if there are too many.
func (p *Parts) record(now time.Time, part string) *partRecord {
	rec := p.records[part]
	if rec != nil {
		return rec
	}
	if len(p.records) >= maxParts {
		p.sweep(now)
	}
	if len(p.records) >= maxParts {
		return nil
	}
	rec = &partRecord{crashes: map[string]partCrash{}, reportedAt: now}
	p.records[part] = rec
	return rec
}

func (p *Parts) sweep(now time.Time) {
	for part, rec := range p.records {
		lifetime := suspicionLifetime
		if p.condemned(part, rec) {
			lifetime = quarantineLifetime
		}
		if now.Sub(rec.reportedAt) > lifetime {
			delete(p.records, part)
		}
	}
}

// tally counts the crashes that no other part explains.
type tally struct {
	all      int
	unproven int  // without an earlier answer under the part
	tried    int  // in trials
	decisive bool // whether the part was the only one in one of the trials
}

func (p *Parts) tally(part string, rec *partRecord) tally {
	var t tally
	for id, c := range rec.crashes {
		if by, ok := p.explained[id]; ok && by != part && !c.decisive {
			continue
		}
		t.all++
		if !c.proven {
			t.unproven++
		}
		if c.tried {
			t.tried++
		}
		t.decisive = t.decisive || c.decisive
	}
	return t
}

// condemned reports whether the crashes show that the part causes them.
func (p *Parts) condemned(part string, rec *partRecord) bool {
	t := p.tally(part, rec)
	return (t.decisive && t.all > 1) || (t.tried > 0 && t.all >= provenCrashes)
}

// Status returns the status of a part. Calls with a quarantined part may run again after a while,
// one as a trial.
func (p *Parts) Status(now time.Time, part string) Status {
	rec := p.records[part]
	if rec == nil {
		return Clear
	}
	t := p.tally(part, rec)
	switch {
	case p.condemned(part, rec):
		if p.ReleaseIn(now, part) > 0 {
			return Quarantined
		}
		return Suspected
	case now.Sub(rec.reportedAt) > suspicionLifetime:
		return Clear
	case t.unproven > 0, t.all >= provenCrashes:
		return Suspected
	default:
		return Clear
	}
}

// ReleaseIn returns how long calls with a quarantined part are refused.
func (p *Parts) ReleaseIn(now time.Time, part string) time.Duration {
	rec := p.records[part]
	if rec == nil || !p.condemned(part, rec) {
		return 0
	}
	pause := firstRelease
	for range p.tally(part, rec).tried - 1 {
		pause = min(pause*releaseFactor, maxRelease)
	}
	return max(0, pause-now.Sub(rec.crashedAt))
}

// Answered records that an answer began under the parts and its target lived on. It returns the
// clearances of those that were suspected, for other hosts.
func (p *Parts) Answered(now time.Time, parts []string) []Clearance {
	var out []Clearance
	for _, part := range parts {
		p.proven.add(now, part)
		rec := p.records[part]
		if rec == nil {
			continue
		}
		suspected := p.Status(now, part) != Clear || rec.trialCall != ""
		ids := make([]string, 0, len(rec.crashes))
		for id := range rec.crashes {
			ids = append(ids, id)
		}
		p.clear(now, rec, part, ids)
		if suspected {
			out = append(out, Clearance{Part: part, CrashIDs: slices.Clone(rec.cleared)})
		}
	}
	return out
}

// Clear applies the clearance of another host. It reports whether it brought anything new.
func (p *Parts) Clear(now time.Time, c Clearance) bool {
	p.proven.add(now, c.Part)
	rec := p.record(now, c.Part)
	if rec == nil {
		return false
	}
	before := len(rec.crashes)
	p.clear(now, rec, c.Part, c.CrashIDs)
	return len(rec.crashes) < before
}

// clear withdraws crashes from a part, also as the explanation of them.
func (p *Parts) clear(now time.Time, rec *partRecord, part string, ids []string) {
	rec.trialCall, rec.reportedAt = "", now
	for _, id := range ids {
		delete(rec.crashes, id)
		if !slices.Contains(rec.cleared, id) {
			rec.cleared = append(rec.cleared, id)
		}
		if p.explained[id] == part {
			delete(p.explained, id)
		}
	}
	if extra := len(rec.cleared) - maxCrashesPerPart; extra > 0 {
		rec.cleared = slices.Delete(rec.cleared, 0, extra)
	}
}

// ClearanceFor returns the clearance of a part under which this host has seen an answer, if other
// hosts may suspect the part for the crash.
func (p *Parts) ClearanceFor(now time.Time, part, crashID string) (Clearance, bool) {
	rec := p.records[part]
	if rec == nil || !p.proven.has(now, part) {
		return Clearance{}, false
	}
	if c, ok := rec.crashes[crashID]; !ok || !c.proven {
		return Clearance{}, false
	}
	if _, ok := p.explained[crashID]; ok || p.Status(now, part) != Clear {
		return Clearance{}, false
	}
	return Clearance{Part: part, CrashIDs: append(slices.Clone(rec.cleared), crashID)}, true
}

// Proven reports whether an answer has begun under the part lately.
func (p *Parts) Proven(now time.Time, part string) bool { return p.proven.has(now, part) }

// StartTrial starts a trial of parts by a call, unless one of them has a trial by another call.
func (p *Parts) StartTrial(now time.Time, parts []string, call string) bool {
	for _, part := range parts {
		if rec := p.records[part]; rec != nil && rec.trialCall != "" && rec.trialCall != call && now.Before(rec.trialUntil) {
			return false
		}
	}
	for _, part := range parts {
		p.ApplyTrial(now, Trial{Part: part, Call: call})
	}
	return true
}

// ApplyTrial records a trial, or the end of one, at this or another host.
func (p *Parts) ApplyTrial(now time.Time, t Trial) {
	rec := p.record(now, t.Part)
	switch {
	case rec == nil:
	case !t.Ended:
		rec.trialCall, rec.trialUntil = t.Call, now.Add(TrialTimeout)
	case rec.trialCall == t.Call:
		rec.trialCall = ""
	}
}

// Counts returns the number of suspected and of quarantined parts.
func (p *Parts) Counts(now time.Time) (suspected, quarantined int) {
	for part := range p.records {
		switch p.Status(now, part) {
		case Suspected:
			suspected++
		case Quarantined:
			quarantined++
		case Clear:
		}
	}
	return suspected, quarantined
}

// recentSet is a bounded set of the parts that were added last.
type recentSet struct {
	current, previous map[string]struct{}
	since             time.Time
}

func (s *recentSet) add(now time.Time, part string) {
	s.rotate(now)
	s.current[part] = struct{}{}
}

func (s *recentSet) has(now time.Time, part string) bool {
	s.rotate(now)
	_, ok := s.current[part]
	if !ok {
		_, ok = s.previous[part]
	}
	return ok
}

// rotate drops the older half of the set if it is full or too old.
func (s *recentSet) rotate(now time.Time) {
	if s.current == nil || len(s.current) >= maxProven || now.Sub(s.since) > provenLifetime {
		s.current, s.previous, s.since = map[string]struct{}{}, s.current, now
	}
}
