package claim

import (
	"sync"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// Response is what became of a call, as its host remembers it.
type Response struct {
	Outcome     core.Outcome
	Status      int
	ContentType string
	Body        []byte
}

// Entry is a call that this process has run, runs, or has refused to run.
type Entry struct {
	body string
	done chan struct{}
	at   time.Time

	answer Response
}

// Done is closed when the call has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Response returns what became of the call, once Done is closed.
func (e *Entry) Response() Response { return e.answer }

// KeyStatus is what a Registry says of a key.
type KeyStatus int

// The verdicts.
const (
	// Fresh keys are now being run by whoever asked.
	Fresh KeyStatus = iota
	// Known keys were begun before.
	Known
	// Mismatch keys were begun before with another body.
	Mismatch
	// Full means that the key cannot be remembered, so that it is not begun.
	Full
)

const maxEntries = 200_000

// Registry is the memory of one process for the keys that it has begun. It is safe
// for concurrent use.
type Registry struct {
	mu        sync.Mutex
	entries   map[string]*Entry
	retention time.Duration
	swept     time.Time
	bytes     int
}

// maxAnswerBytes bounds the memory for answers that are kept for resends.
const maxAnswerBytes = 16 << 20

// NewRegistry returns an empty Registry that keeps entries for the retention.
func NewRegistry(retention time.Duration) *Registry {
	return &Registry{entries: map[string]*Entry{}, retention: retention}
}

// Begin looks a key up by its digest and, if it is unknown, begins it.
func (b *Registry) Begin(now time.Time, digest, body string) (*Entry, KeyStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	if e, ok := b.entries[digest]; ok {
		if e.body != body {
			return e, Mismatch
		}
		return e, Known
	}
	if len(b.entries) >= maxEntries {
		return nil, Full
	}
	e := &Entry{body: body, done: make(chan struct{}), at: now}
	b.entries[digest] = e
	return e, Fresh
}

// Lookup returns the entry of a key, without beginning it.
func (b *Registry) Lookup(digest string) (*Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[digest]
	return e, ok
}

// Finish notes what became of a call. A call that was not run is forgotten, so
// that its key may be begun again.
func (b *Registry) Finish(digest string, e *Entry, answer Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.answer = answer
	if b.bytes+len(answer.Body) > maxAnswerBytes {
		e.answer.Body = nil
		e.answer.ContentType = ""
	}
	b.bytes += len(e.answer.Body)
	if answer.Outcome == core.NotRun && b.entries[digest] == e {
		b.bytes -= len(e.answer.Body)
		delete(b.entries, digest)
	}
	close(e.done)
}

// Forget drops a key that another process holds. Those who wait for it get the
// answer that was got from there.
func (b *Registry) Forget(digest string, e *Entry, answer Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries[digest] == e {
		delete(b.entries, digest)
	}
	e.answer = answer
	close(e.done)
}

// Running returns the number of calls that have not ended.
func (b *Registry) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.entries {
		select {
		case <-e.done:
		default:
			n++
		}
	}
	return n
}

const sweepInterval = time.Minute

func (b *Registry) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	for digest, e := range b.entries {
		if now.Sub(e.at) > b.retention {
			b.bytes -= len(e.answer.Body)
			delete(b.entries, digest)
		}
	}
}
