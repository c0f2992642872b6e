// Package ring joins two duties by a bounded ring. A full ring never blocks a
// sender for longer than its context allows.
package ring

import "context"

// Queue is a bounded first-in, first-out ring that many goroutines may use.
type Queue[T any] struct {
	items chan T
}

// New returns a Ring that holds at most size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{items: make(chan T, size)}
}

// TryPut adds v unless the ring is full, and reports whether it did.
func (r *Queue[T]) TryPut(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Put adds v, waiting for room until ctx ends.
func (r *Queue[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from.
func (r *Queue[T]) Items() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Queue[T]) Len() int { return len(r.items) }
