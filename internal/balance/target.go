package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// target is the host's estimate of the state of one target.
type target struct {
	catalogue.Target

	readRate   *rateEstimate // prompt reading rate of the service's targets
	fetchRate  *rateEstimate // rate at which the service's targets fetch cached parts from one another
	rateFactor float64       // reading rate of this target relative to readRate
	duration   time.Duration // mean duration of a call
	inFlight   map[*Flight]struct{}
	peerShares map[string]hostShare
	load       Load
	loadAt     time.Time
	// progressAt is when the target last made observable progress in reading prompts.
	progressAt   time.Time
	parts        map[partKey]cachedPart
	health       health
	coldLimiter  coldLimiter
	readsPrompts bool // whether calls at the target have prompts
	pauses       pauseMean
	// regionTotal is the load of all hosts' calls that the target's coordinator last
	// reported. recentStarts are the calls that this host has started since.
	regionTotal  hostShare
	recentStarts []callStart
	busyPeriod   busyPeriod
	pace         pace
	reportedPace reportedPace
	// paceShared is set if the host coordinates the target and measures its pace.
	paceShared  bool
	recentCalls recentTimes // sends of this host
	// backoffUntil is the end of the time for which the target has asked this host to send
	// nothing, and peerBackoffUntil that for any other host.
	backoffUntil     time.Time
	peerBackoffUntil time.Time
	limit            limitRecord
	quota            quota
	room             room
	listing          listing
	hash             uint64 // of the ID
	assigned         assignment
	doubt            doubt
	probation        probation
	path             path
	// nextCheckAt is when the host may check the target's health again.
	nextCheckAt time.Time
	// statedColdUntil is when the target stops being cold by its own statement.
	statedColdUntil time.Time
	// reportedAt is when the host last reported its share of the target to the coordinator.
	reportedAt time.Time
}

// hostShare is the share that another host has reported for a target.
type hostShare struct {
	TargetShare
	at  time.Time
	ttl time.Duration // how long it is valid after at
}

func (s hostShare) valid(now time.Time) bool { return now.Sub(s.at) < s.ttl }

// callStart records the start of a call at a target.
type callStart struct {
	at       time.Time
	priority int
	unread   int
}

// candidate is one way to serve a call: a target, as estimated for that call.
type candidate struct {
	*target
	flights     int     // calls in flight of all hosts
	backlog     float64 // prompt tokens that the target reads before the call
	unread      int     // tokens of the call's prompt that the target has to read
	cached      int     // tokens of the call's prompt that other targets may fetch from this one
	fetched     int     // tokens of the call's prompt that the target fetches from fetchSource
	fetchSource *target // nil when nothing is fetched
	// busyFor is the length of the target's current busy period. It is 0 where busy periods
	// are ignored: in a large region, for targets whose streams do not pause.
	busyFor time.Duration
}

// candidate returns the target as estimated by this host.
func (t *target) candidate(now time.Time, w Work) candidate {
	return candidate{target: t, flights: t.flightCount(now), backlog: t.backlog(now, w.Priority), unread: t.unread(now, w), cached: t.cachedTokens(now, w)}
}

// reportedCandidate returns the target as its coordinator has just reported it.
func (t *target) reportedCandidate(w Work, l TargetLoad) candidate {
	c := candidate{target: t, flights: l.Flights, backlog: float64(l.backlog(w.Priority)), unread: l.Unread, cached: l.Cached}
	if time.Duration(l.PauseMs)*time.Millisecond > Scale(w.MaxGap, holdPauseShare) {
		c.busyFor = time.Duration(l.ReadingMs) * time.Millisecond
	}
	return c
}

func newTarget(t catalogue.Target, read, fetch *rateEstimate) *target {
	return &target{
		Target: t, hash: xxhash.Sum64String(t.ID), readRate: read, fetchRate: fetch, rateFactor: 1, duration: initialDuration, inFlight: map[*Flight]struct{}{},
		peerShares: map[string]hostShare{}, parts: map[partKey]cachedPart{},
	}
}

// restart resets the state that a new process of the target has lost.
func (t *target) restart(now time.Time, next catalogue.Target) {
	t.Target = next
	t.parts = map[partKey]cachedPart{}
	t.health = health{}
	t.listing = listing{done: true} // the host sees all that a new process caches from its start
	t.load, t.loadAt = Load{}, time.Time{}
	t.backoffUntil, t.peerBackoffUntil = time.Time{}, time.Time{}
	t.limit, t.room = limitRecord{}, room{}
	t.pace, t.reportedPace = pace{}, reportedPace{}
	if !t.doubt.outlivesEntry(now) {
		t.doubt, t.statedColdUntil = doubt{}, time.Time{}
	}
}

// flightCount returns the number of calls of all hosts at the target.
func (t *target) flightCount(now time.Time) int {
	if t.regionTotal.valid(now) {
		return t.regionTotal.Flights + len(t.startsAfter(t.regionTotal.at))
	}
	n := len(t.inFlight)
	for _, s := range t.peerShares {
		if s.valid(now) {
			n += s.Flights
		}
	}
	return n
}

// recordStart records a call that the host starts, and drops expired records.
func (t *target) recordStart(now time.Time, s callStart) {
	t.recentStarts = append(slices.DeleteFunc(t.recentStarts, func(s callStart) bool { return now.Sub(s.at) > shareTTL }), s)
}

// startsAfter returns the calls that the host has started after a time, and drops older
// records.
func (t *target) startsAfter(at time.Time) []callStart {
	t.recentStarts = slices.DeleteFunc(t.recentStarts, func(s callStart) bool { return !s.at.After(at) })
	return t.recentStarts
}

// backlog returns the number of prompt tokens that the target reads before a call of the
// given priority.
func (t *target) backlog(now time.Time, priority int) float64 {
	if t.regionTotal.valid(now) {
		return t.backlogFromTotal(now, priority)
	}
	ownTokens, oldest := 0, 0
	for f := range t.inFlight {
		if f.firstByteSeen || f.work.Priority > priority {
			continue
		}
		ownTokens += f.unread
		oldest = max(oldest, f.unread)
	}
	tokens := float64(ownTokens)
	if ownTokens > 0 {
		tokens -= min(t.effectiveRate(now)*milliseconds(now.Sub(t.progressAt)), float64(oldest))
	}
	peerTokens := 0.0
	for _, s := range t.peerShares {
		if s.valid(now) {
			peerTokens += float64(s.backlog(priority))
		}
	}
	peerTokens -= min(t.effectiveRate(now)*milliseconds(now.Sub(t.progressAt)), maxProgressShare*peerTokens)
	return max(0, tokens+peerTokens)
}

// backlogFromTotal returns the backlog that the coordinator reported, minus what the target
// has read since, plus the calls that this host has started since.
func (t *target) backlogFromTotal(now time.Time, priority int) float64 {
	tokens := float64(t.regionTotal.backlog(priority)) - t.effectiveRate(now)*milliseconds(now.Sub(t.regionTotal.at))
	tokens = max(0, tokens)
	for _, s := range t.startsAfter(t.regionTotal.at) {
		if s.priority <= priority {
			tokens += float64(s.unread)
		}
	}
	return tokens
}

func (t *target) slowdown(now time.Time) float64 {
	if t.load.Slowdown > 0 && now.Sub(t.loadAt) < loadTTL {
		return t.load.Slowdown
	}
	return 1
}

// rate returns the target's reading rate in prompt tokens per millisecond.
func (t *target) rate() float64 {
	if rate, ok := t.sharedRate(); ok {
		return rate
	}
	return t.ownRate()
}

// ownRate returns the reading rate as estimated from this host's calls. The capacity of a region goes by it:
// the levels at which work goes to other regions are stated for this estimate.
func (t *target) ownRate() float64 { return t.readRate.rate * t.rateFactor }

// readTime returns how long the target takes to read the given number of prompt tokens.
func (t *target) readTime(now time.Time, tokens float64) time.Duration {
	return fromMilliseconds(tokens / t.effectiveRate(now))
}

func (t *target) effectiveRate(now time.Time) float64 { return t.rate() / t.slowdown(now) }

// unread returns the number of prompt tokens that the target has to read: all tokens after
// the leading parts that it has cached.
func (t *target) unread(now time.Time, w Work) int {
	tokens := w.Tokens
	for _, p := range w.Parts {
		if part, cached := t.parts[keyOf(p)]; !cached || now.Sub(part.usedAt) > partTTL {
			break
		}
		tokens -= p.Tokens
	}
	return max(0, tokens)
}

// pause returns the mean pause between events of the streams at the target, averaged over
// the hosts that measured one lately. It returns false if there is none.
func (t *target) pause(now time.Time) (time.Duration, bool) {
	if t.regionTotal.valid(now) && t.regionTotal.PauseMs > 0 {
		return time.Duration(t.regionTotal.PauseMs) * time.Millisecond, true
	}
	sum, n := time.Duration(0), 0
	if d, ok := t.pauses.mean(now); ok {
		sum, n = d, 1
	}
	for _, s := range t.peerShares {
		if s.PauseMs > 0 && s.valid(now) {
			sum += time.Duration(s.PauseMs) * time.Millisecond
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / time.Duration(n), true
}

// stallShare returns the share of a target's streams that pause for longer than acceptable
// while it reads the given number of tokens without a break.
func (t *target) stallShare(now time.Time, w Work, tokens float64) float64 {
	if w.MaxGap == 0 {
		return 0
	}
	maxTokens := milliseconds(w.MaxGap) * t.effectiveRate(now)
	return min(1, max(0, (tokens/maxTokens-stallMinShare)/(stallFullShare-stallMinShare)))
}

// Prediction is the expected time to the first byte at a target.
type Prediction struct {
	// Wait is the time before the target starts to process the call.
	Wait time.Duration
	// Processing is the time to the first byte after that.
	Processing time.Duration
	// Unread is the number of prompt tokens that the target reads.
	Unread int
	// Rate is the target's reading rate in tokens per millisecond.
	Rate float64
	// Stalled is the expected number of streams that pause for longer than acceptable.
	Stalled float64
	// Hold is how long to hold the call back before it is sent, so that streams can make
	// progress before the target reads its prompt. Wait includes it.
	Hold time.Duration
}

// Total returns the time to the first byte.
func (p Prediction) Total() time.Duration { return p.Wait + p.Processing }

// predict returns the expected time to the first byte of a call that is sent now.
func (c candidate) predict(now time.Time, w Work) Prediction {
	slots := max(1, c.Slots)
	excess := max(0, c.flights+1-slots)
	if w.Tokens == 0 {
		duration := Scale(c.duration, c.slowdown(now))
		return Prediction{Wait: duration * time.Duration(excess) / time.Duration(slots), Processing: duration}
	}
	rate := c.effectiveRate(now)
	wait := c.backlog / rate
	if excess > 0 {
		wait += float64(excess) * milliseconds(c.duration) / float64(slots)
	}
	if c.fetched > 0 {
		wait = max(wait, float64(c.fetched)/c.fetchRate.rate)
	}
	return Prediction{
		Wait: fromMilliseconds(wait), Processing: firstByteOverhead + fromMilliseconds(float64(c.unread)/rate),
		Unread: c.unread, Rate: rate, Stalled: c.stallShare(now, w, milliseconds(c.busyFor)*rate+c.backlog+float64(c.unread)) * float64(c.flights+1),
	}
}

// predictHeld returns the prediction for a call that is held until the target has read its
// backlog and its streams have made progress.
func (c candidate) predictHeld(now time.Time, w Work) Prediction {
	p := c.predict(now, w)
	p.Hold = fromMilliseconds(c.backlog/c.effectiveRate(now)) + minIdle
	p.Wait = p.Hold
	p.Stalled = c.stallShare(now, w, float64(c.unread)) * float64(c.flights+1)
	return p
}

// learnFirstByte updates the reading rates from the time to the first byte of a call.
func (t *target) learnFirstByte(now time.Time, f *Flight) {
	t.progressAt = now
	elapsed := now.Sub(f.startedAt)
	if f.work.Tokens == 0 {
		return
	}
	if f.fetched > 0 {
		t.learnFetch(now, f)
		return
	}
	tokens := f.backlog + float64(f.unread)
	if ms := milliseconds(elapsed - firstByteOverhead); tokens >= minSampleTokens && ms > 0 {
		sample := min(max(tokens/ms*t.slowdown(now), minReadRate), maxReadRate)
		t.rateFactor += sampleWeight / 2 * (min(max(sample/t.readRate.rate, minRateFactor), maxRateFactor) - t.rateFactor)
		t.readRate.add(sample)
	}
}

// learnFetch updates the fetch rate from the time to the first byte of a call whose target
// fetched part of the prompt.
func (t *target) learnFetch(now time.Time, f *Flight) {
	fetchMs := milliseconds(now.Sub(f.startedAt)-firstByteOverhead) - float64(f.unread)/t.effectiveRate(now)
	if f.backlog == 0 && fetchMs > 0 {
		t.fetchRate.add(min(max(float64(f.fetched)/fetchMs, t.rate()), maxFetchRate))
	}
}

// learnEnd updates the mean duration from a call that was answered.
func (t *target) learnEnd(elapsed time.Duration) {
	t.duration += time.Duration(sampleWeight * float64(elapsed-t.duration))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Scale multiplies a duration by a factor.
func Scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// work returns the work of a call that was started, in the units of Flows.
func (t *target) work(f *Flight) float64 {
	if f.work.Tokens > 0 {
		return float64(f.unread)
	}
	return milliseconds(t.duration)
}

// capacity returns how much work the target does per second, in the units of Flows.
func (t *target) capacity() float64 {
	if t.readsPrompts {
		return t.ownRate() * milliseconds(time.Second)
	}
	return float64(max(1, t.Slots)) * milliseconds(time.Second)
}
