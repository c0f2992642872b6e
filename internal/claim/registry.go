package claim

import (
	"sync"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// Response is the outcome of a call and, if one was received, its response, stored
// to be replayed when the call is resent.
type Response struct {
	Outcome     core.Outcome
	Status      int
	ContentType string
	Body        []byte
}

// Entry is the record of a call that this process has started: it is running, it
// has run, or it was refused.
type Entry struct {
	bodyDigest string
	done       chan struct{}
	startedAt  time.Time

	response Response
}

// Done is closed when the call has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Response returns the result of the call. It may be called only after Done is closed.
func (e *Entry) Response() Response { return e.response }

// KeyStatus is the result of Registry.Begin.
type KeyStatus int

// The statuses of a key.
const (
	// Fresh means that the key was unknown; the caller of Begin must run the call.
	Fresh KeyStatus = iota
	// Known means that the key was begun before with the same body.
	Known
	// Mismatch means that the key was begun before with another body.
	Mismatch
	// Full means that the registry has no room for the key; it was not begun.
	Full
)

const maxEntries = 200_000

// Registry holds the keys that this process has begun, in memory. It is safe for
// concurrent use.
type Registry struct {
	mu        sync.Mutex
	entries   map[string]*Entry
	retention time.Duration
	lastSweep time.Time
	bytes     int // stored response bodies
}

// maxStoredBytes bounds the total size of the response bodies that are stored to be
// replayed.
const maxStoredBytes = 16 << 20

// NewRegistry returns an empty Registry that keeps entries for the given retention.
func NewRegistry(retention time.Duration) *Registry {
	return &Registry{entries: map[string]*Entry{}, retention: retention}
}

// Begin looks up a key by its digest and adds an entry for it if it is unknown.
// bodyDigest is the digest of the request. The entry is nil if the status is Full.
func (r *Registry) Begin(now time.Time, digest, bodyDigest string) (*Entry, KeyStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if e, ok := r.entries[digest]; ok {
		if e.bodyDigest != bodyDigest {
			return e, Mismatch
		}
		return e, Known
	}
	if len(r.entries) >= maxEntries {
		return nil, Full
	}
	e := &Entry{bodyDigest: bodyDigest, done: make(chan struct{}), startedAt: now}
	r.entries[digest] = e
	return e, Fresh
}

// Lookup returns the entry of a key, if there is one.
func (r *Registry) Lookup(digest string) (*Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[digest]
	return e, ok
}

// Finish stores the response of a call and closes its entry. The entry of a call that
// was not run is removed, so that its key may be begun again. The body is not stored
// if it would exceed maxStoredBytes.
func (r *Registry) Finish(digest string, e *Entry, response Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.response = response
	if r.bytes+len(response.Body) > maxStoredBytes {
		e.response.Body = nil
		e.response.ContentType = ""
	}
	r.bytes += len(e.response.Body)
	if response.Outcome == core.NotRun && r.entries[digest] == e {
		r.bytes -= len(e.response.Body)
		delete(r.entries, digest)
	}
	close(e.done)
}

// Forget removes a key that another process has claimed. Calls that wait for the
// entry get the given response, which was received from that process.
func (r *Registry) Forget(digest string, e *Entry, response Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[digest] == e {
		delete(r.entries, digest)
	}
	e.response = response
	close(e.done)
}

// Running returns the number of calls that have not finished.
func (r *Registry) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		select {
		case <-e.done:
		default:
			n++
		}
	}
	return n
}

const sweepInterval = time.Minute

// sweep removes the entries that are older than the retention. It runs at most once
// per sweepInterval.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for digest, e := range r.entries {
		if now.Sub(e.startedAt) > r.retention {
			r.bytes -= len(e.response.Body)
			delete(r.entries, digest)
		}
	}
}
