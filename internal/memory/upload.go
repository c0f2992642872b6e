package memory

import (
	"slices"
	"time"
)

// Upload is the body of a request that is being read, and then held by its call.
type Upload struct {
	budget     *Budget
	kind       Kind
	source     string
	interrupt  func()
	held       int
	beganAt    time.Time
	progressAt time.Time
	reason     Reason
	released   bool
}

// Reason is why an upload had to make room for others.
type Reason int

// The reasons.
const (
	None    Reason = iota
	Stalled        // it made no progress
	Long           // it had been unfinished for long
	Newest         // it began last
)

// String returns the reason as it appears in metrics.
func (r Reason) String() string { return [...]string{"none", "stalled", "long", "newest"}[r] }

// Decision is whether memory is granted, and which uploads must end for it.
type Decision struct {
	Granted bool
	End     []*Upload
}

// Apply interrupts the uploads that must end, and returns whether memory is granted.
func (d Decision) Apply() bool {
	for _, u := range d.End {
		u.interrupt()
	}
	return d.Granted
}

// Origin is what an upload is, and who sends it.
type Origin struct {
	Kind Kind
	// Source is the workspace or the address of the sender. Sources that hold more make room for those that hold less.
	Source string
	// BeganAt is when the head of the request came.
	BeganAt time.Time
}

// Begin adds an upload that holds nothing. Function interrupt must make its reader fail; the upload
// holds its memory until Release.
func (b *Budget) Begin(o Origin, now time.Time, interrupt func()) *Upload {
	u := &Upload{budget: b, kind: o.Kind, source: o.Source, interrupt: interrupt, beganAt: o.BeganAt, progressAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uploads = append(b.uploads, u)
	b.hold(u.source, 0, 1)
	return u
}

// Progress records that at least ProgressBytes of the body have come since the last call.
func (u *Upload) Progress(now time.Time) {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.progressAt = now
}

// Grow asks for n more bytes for an upload, whose buffer is full. It counts as progress also if it is refused, as the
// sender does not cause the wait.
func (u *Upload) Grow(now time.Time, n int) Decision {
	b := u.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.reason != None {
		return Decision{}
	}
	u.progressAt = now
	d := b.reserve(now, u.kind, n, u)
	if d.Granted {
		u.held += n
		b.hold(u.source, n, 0)
	}
	return d
}

// Shrink returns n bytes of an upload.
func (u *Upload) Shrink(n int) {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.give(n)
}

// give returns n bytes of an upload. The mutex must be held.
func (u *Upload) give(n int) {
	u.held -= n
	if u.reason != None {
		u.budget.ending -= n
		return
	}
	u.budget.used[u.kind] -= n
	u.budget.hold(u.source, -n, 0)
}

// hold adds bytes and uploads to what a source holds.
func (b *Budget) hold(source string, bytes, uploads int) {
	h := b.sources[source]
	if h = (holding{bytes: h.bytes + bytes, uploads: h.uploads + uploads}); h == (holding{}) {
		delete(b.sources, source)
		return
	}
	b.sources[source] = h
}

// Complete records that the body is complete: the upload holds its memory until Release. It returns false if the
// upload has been told to end.
func (u *Upload) Complete() bool {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.budget.forget(u)
	return u.reason == None
}

// Release returns the memory of the upload. It may be called more than once.
func (u *Upload) Release() {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.budget.forget(u)
	u.give(u.held)
	if !u.released && u.reason == None {
		u.budget.hold(u.source, 0, -1)
	}
	u.released = true
}

// Ended returns why the upload has been told to end, None if it has not.
func (u *Upload) Ended() Reason {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.reason
}

// ReserveCall asks for n bytes for a call.
func (b *Budget) ReserveCall(now time.Time, n int) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(now, Calls, n, nil)
}

// reserve reserves n bytes of a kind, for an upload if that is not nil, and ends others for them. It refuses them if
// the next upload to end is that one, or if too much is still held by uploads that were told to end.
func (b *Budget) reserve(now time.Time, kind Kind, n int, by *Upload) Decision {
	var d Decision
	for {
		var candidates []*Upload
		switch {
		case !b.inSourceShare(n, by):
			candidates = b.uploadsOf(by.source)
		case !b.fits(kind, n):
			candidates = b.candidates(kind, n, by)
		default:
			b.used[kind] += n
			d.Granted = true
			return d
		}
		u, reason := nextToEnd(now, candidates)
		if u == nil || u == by || float64(b.ending+u.held) > overdraftShare*float64(b.total) {
			return d
		}
		u.reason = reason
		b.used[u.kind] -= u.held
		b.hold(u.source, -u.held, -1)
		b.ending += u.held
		b.forget(u)
		d.End = append(d.End, u)
	}
}

// inSourceShare reports whether n more bytes of an upload are within the share of its source. A source with one upload has
// no share of its own.
func (b *Budget) inSourceShare(n int, by *Upload) bool {
	if by == nil || by.kind != Bodies || by.source == "" {
		return true
	}
	h := b.sources[by.source]
	return h.uploads < 2 || float64(h.bytes+n) <= sourceShare*shares[Bodies]*float64(b.total)
}

// uploadsOf returns the unfinished uploads of a source that hold memory, oldest first.
func (b *Budget) uploadsOf(source string) []*Upload {
	return slices.DeleteFunc(slices.Clone(b.uploads), func(u *Upload) bool { return u.source != source || u.held == 0 })
}

// candidates returns the unfinished uploads of which one is to end for n bytes of a kind, oldest first. If a source with
// several uploads holds more than the upload that asks would hold with its source, they are those of the source that
// holds most. Else they are those of the source of the upload that asks, or all if that source has no other. Unless
// others help too, they are of the kind for which memory is short.
func (b *Budget) candidates(kind Kind, n int, by *Upload) []*Upload {
	othersHelp := b.inShare(kind, n)
	var all []*Upload
	var heaviest *Upload
	most, hasOther := 0, false
	if by != nil {
		most = b.sources[by.source].bytes + n
	}
	for _, u := range b.uploads {
		if u.held == 0 || u.kind != kind && !othersHelp {
			continue
		}
		all = append(all, u)
		isOwn := by != nil && u.source == by.source
		hasOther = hasOther || isOwn && u != by
		if h := b.sources[u.source]; !isOwn && h.uploads > 1 && h.bytes > most {
			heaviest, most = u, h.bytes
		}
	}
	if heaviest == nil && hasOther {
		heaviest = by
	}
	if heaviest == nil {
		return all
	}
	return slices.DeleteFunc(all, func(u *Upload) bool { return u.source != heaviest.source })
}

// nextToEnd returns the upload that ends first: the one that has made no progress
// for the longest time, then the one that has been unfinished for the longest time, then the newest.
func nextToEnd(now time.Time, uploads []*Upload) (*Upload, Reason) {
	var stalled *Upload
	for _, u := range uploads {
		if now.Sub(u.progressAt) >= stallTime && (stalled == nil || u.progressAt.Before(stalled.progressAt)) {
			stalled = u
		}
	}
	switch {
	case len(uploads) == 0:
		return nil, None
	case stalled != nil:
		return stalled, Stalled
	case now.Sub(uploads[0].beganAt) >= longTime:
		return uploads[0], Long
	default:
		return uploads[len(uploads)-1], Newest
	}
}

// forget removes an upload from the unfinished ones.
func (b *Budget) forget(u *Upload) {
	if i := slices.Index(b.uploads, u); i >= 0 {
		b.uploads = slices.Delete(b.uploads, i, i+1)
	}
}
