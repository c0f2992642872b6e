package policy

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"
)

// virtualClock runs scheduled events in the order of their virtual time.
type virtualClock struct {
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

func (t *virtualClock) after(d time.Duration, run func()) {
	t.serial++
	heap.Push(&t.events, event{at: t.now + d, serial: t.serial, run: run})
}

func (t *virtualClock) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e, _ := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}

// sequence is one attempt of a job at a replica.
type sequence struct {
	job           *job
	host          *host
	ticket        uint64 // ID of the placement decision
	began         time.Duration
	prefill       float64 // prompt tokens not read yet
	produced      int
	sampledAt     time.Duration // time of the last speed sample
	sampledTokens int           // tokens produced by the last speed sample
	tokenInterval time.Duration // mean time between tokens in the last speed sample
	cached        bool          // the replica had the shared part of the prompt in its cache
	dropped       bool          // cancelled: no reader is left
}

// replica simulates a model engine with continuous batching.
type replica struct {
	name     string
	region   *region
	spec     Replica
	clock    *virtualClock
	running  []*sequence
	waiting  []*sequence
	stepping bool
	chunk    int     // prompt tokens read in one step, 0 for the default
	slowdown float64 // multiplies the step time; 1 is normal speed
	down     bool
	busy     time.Duration
	useful   int // tokens of sequences that were not dropped
	wasted   int // tokens of dropped sequences
	history  []loadSample
	cached   map[int]*list.Element
	order    *list.List
	notify   func(*replica, *sequence, replicaEvent)
}

type loadSample struct {
	at      time.Duration
	running int
	waiting int
}

type replicaEvent int

const (
	firstToken  replicaEvent = iota
	speedSample              // sequence.tokenInterval has a new value
	ended                    // the last token was produced
	lost                     // the replica is down
)

// sampleInterval is the minimum time between two speed samples of a sequence, the
// same as in the daemon.
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
		switch s.cached = r.touch(s.job.prefix); {
		case s.cached && s.job.shared > 0:
			s.prefill -= float64(s.job.shared)
		case s.cached:
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

// cachedPromptShare is the share of a prompt that a cached prefix covers, unless the job
// states the length of its shared part.
const cachedPromptShare = 0.7

// defaultChunk is the number of prompt tokens that a replica reads in one step.
const defaultChunk = 512

// stepTime returns the duration of a step: it produces one token for each sequence and
// reads at most chunk tokens of new prompts.
func (r *replica) stepTime() time.Duration {
	chunk := float64(cmp.Or(r.chunk, defaultChunk))
	ms := r.spec.StepMs + r.spec.StepPerSequenceMs*float64(len(r.running)-1)
	left := chunk
	for _, s := range r.running {
		used := min(s.prefill, left)
		s.prefill -= used
		left -= used
	}
	ms += (chunk - left) / r.spec.PrefillTokensPerSecond * 1000
	return time.Duration(ms * r.slowdown * float64(time.Millisecond))
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

// produce adds a token to the sequence and reports whether it was the last one.
func (r *replica) produce(s *sequence) bool {
	s.produced++
	r.useful++
	switch {
	case s.produced == 1:
		s.sampledAt, s.sampledTokens = r.clock.now, 1
		r.notify(r, s, firstToken)
	case r.clock.now-s.sampledAt >= sampleInterval:
		s.tokenInterval = (r.clock.now - s.sampledAt) / time.Duration(s.produced-s.sampledTokens)
		s.sampledAt, s.sampledTokens = r.clock.now, s.produced
		r.notify(r, s, speedSample)
	}
	if s.produced < s.job.tokens {
		return false
	}
	r.notify(r, s, ended)
	return true
}

// drop cancels a sequence and counts its tokens as wasted.
func (r *replica) drop(s *sequence) {
	s.dropped = true
	r.useful -= s.produced
	r.wasted += s.produced
}

// fail takes the replica down, drops its sequences and clears its prefix cache.
func (r *replica) fail() {
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

// reportedLoad returns the load as it was before the reporting lag.
func (r *replica) reportedLoad(lag time.Duration) loadSample {
	for i := len(r.history) - 1; i >= 0; i-- {
		if r.history[i].at <= r.clock.now-lag {
			return r.history[i]
		}
	}
	return loadSample{}
}
