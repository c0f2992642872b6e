package policy

import (
	"container/heap"
	"container/list"
	"slices"
	"time"
)

// timeline is the virtual clock with its events.
type timeline struct {
	now    time.Duration
	events eventHeap
	serial int
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(v any)   { *h = append(*h, v.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

func (t *timeline) after(d time.Duration, run func()) {
	t.serial++
	heap.Push(&t.events, event{at: t.now + d, serial: t.serial, run: run})
}

func (t *timeline) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e, _ := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}

// sequence is a call at a replica.
type sequence struct {
	job      *job
	host     *host
	ticket   uint64 // of the decision that placed it
	began    time.Duration
	prefill  float64 // tokens left to read
	produced int
	mark     time.Duration // of the last sample of its speed
	marked   int           // tokens at that time
	pace     time.Duration // between tokens, in the last sample
	dropped  bool          // nobody waits for it any more
}

// replica fakes a model engine that batches continuously.
type replica struct {
	name     string
	region   *region
	spec     Replica
	clock    *timeline
	running  []*sequence
	waiting  []*sequence
	stepping bool
	factor   float64 // how many times slower it is now
	down     bool
	busy     time.Duration
	useful   int
	wasted   int
	history  []loadSample
	cached   map[int]*list.Element
	order    *list.List
	notify   func(*replica, *sequence, signal)
}

type loadSample struct {
	at      time.Duration
	running int
	waiting int
}

type signal int

const (
	firstToken signal = iota
	someTokens
	ended
	lost
)

// sampleInterval is the shortest time between two samples of a sequence's speed,
// as in the daemon.
const sampleInterval = 300 * time.Millisecond

func (r *replica) add(s *sequence) {
	if r.down {
		r.notify(r, s, lost)
		return
	}
	r.waiting = append(r.waiting, s)
	r.sample()
	r.start()
}

func (r *replica) start() {
	if r.stepping || r.down {
		return
	}
	for len(r.waiting) > 0 && len(r.running) < r.spec.Slots {
		s := r.waiting[0]
		r.waiting = r.waiting[1:]
		if s.dropped {
			continue
		}
		s.prefill = float64(s.job.prompt)
		if r.touch(s.job.prefix) {
			s.prefill *= 1 - cachedPromptShare
		}
		r.running = append(r.running, s)
	}
	if len(r.running) == 0 {
		r.sample()
		return
	}
	r.stepping = true
	took := r.stepTime()
	r.busy += took
	r.clock.after(took, r.step)
}

// cachedPromptShare is the part of a prompt that a cached prefix saves.
const cachedPromptShare = 0.7

// stepTime is the length of a step: the batch's next tokens and, bounded, the
// reading of new prompts.
func (r *replica) stepTime() time.Duration {
	const chunk = 512.0 // prompt tokens read in one step
	ms := r.spec.StepMs + r.spec.StepPerSequenceMs*float64(len(r.running)-1)
	left := chunk
	for _, s := range r.running {
		used := min(s.prefill, left)
		s.prefill -= used
		left -= used
	}
	ms += (chunk - left) / r.spec.PrefillTokensPerSecond * 1000
	return time.Duration(ms * r.factor * float64(time.Millisecond))
}

func (r *replica) step() {
	r.stepping = false
	if r.down {
		return
	}
	kept := r.running[:0]
	for _, s := range r.running {
		if s.dropped {
			continue
		}
		if s.prefill > 0 || !r.produce(s) {
			kept = append(kept, s)
		}
	}
	for i := len(kept); i < len(r.running); i++ {
		r.running[i] = nil
	}
	r.running = kept
	r.sample()
	r.start()
}

// produce makes a token and reports whether it was the last.
func (r *replica) produce(s *sequence) bool {
	s.produced++
	r.useful++
	switch {
	case s.produced == 1:
		s.mark, s.marked = r.clock.now, 1
		r.notify(r, s, firstToken)
	case r.clock.now-s.mark >= sampleInterval:
		s.pace = (r.clock.now - s.mark) / time.Duration(s.produced-s.marked)
		s.mark, s.marked = r.clock.now, s.produced
		r.notify(r, s, someTokens)
	}
	if s.produced < s.job.tokens {
		return false
	}
	r.notify(r, s, ended)
	return true
}

// drop gives up a sequence; what it has made was wasted.
func (r *replica) drop(s *sequence) {
	s.dropped = true
	r.useful -= s.produced
	r.wasted += s.produced
}

// lose takes the replica down with everything on it.
func (r *replica) lose() {
	r.down = true
	all := slices.Concat(r.running, r.waiting)
	r.running, r.waiting = nil, nil
	for _, s := range all {
		if !s.dropped {
			r.drop(s)
			r.notify(r, s, lost)
		}
	}
	r.cached, r.order = nil, nil
}

func (r *replica) touch(prefix int) bool {
	if r.cached == nil {
		r.cached, r.order = map[int]*list.Element{}, list.New()
	}
	if e, ok := r.cached[prefix]; ok {
		r.order.MoveToFront(e)
		return true
	}
	r.cached[prefix] = r.order.PushFront(prefix)
	if r.order.Len() > r.spec.CachePrefixes {
		last, _ := r.order.Remove(r.order.Back()).(int)
		delete(r.cached, last)
	}
	return false
}

func (r *replica) sample() {
	r.history = append(r.history, loadSample{r.clock.now, len(r.running), len(r.waiting)})
	const kept = 4096
	if len(r.history) > 2*kept {
		r.history = append(r.history[:0], r.history[kept:]...)
	}
}

// report returns the load as it was some time ago.
func (r *replica) report(lag time.Duration) loadSample {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].at <= r.clock.now-lag {
			return r.history[i]
		}
	}
	return loadSample{}
}
