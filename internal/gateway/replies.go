package gateway

import "sync"

// replies passes the replies of other hosts to the calls that wait for them.
type replies[R any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan R
}

// expect returns the ID of a new query and the channel of its replies, n at most.
func (r *replies[R]) expect(n int) (uint64, <-chan R) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = map[uint64]chan R{}
	}
	r.lastID++
	r.waiting[r.lastID] = make(chan R, n)
	return r.lastID, r.waiting[r.lastID]
}

// forget ends the wait for the replies of a query.
func (r *replies[R]) forget(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
}

// deliver passes on the reply to a query. Late replies and duplicates are dropped.
func (r *replies[R]) deliver(id uint64, reply R) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting, ok := r.waiting[id]; ok {
		select {
		case waiting <- reply:
		default:
		}
	}
}
