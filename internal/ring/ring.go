// Package ring provides a bounded queue between background tasks. A full queue blocks a
// sender no longer than the sender's context allows.
package ring

import "context"

// Queue is a bounded first-in, first-out queue. It is safe for concurrent use.
type Queue[T any] struct {
	items chan T
}

// New returns a Queue of at most size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TryPut adds v unless the queue is full, and reports whether it did.
func (q *Queue[T]) TryPut(v T) bool {
	select {
	case q.items <- v:
		return true
	default:
		return false
	}
}

// Put adds v. While the queue is full, it blocks until ctx ends, and then returns the
// context's error.
func (q *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case q.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }
