// Package clock passes the time as an interface, so that tests set it.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time and waits for it.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the machine.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// After waits on the machine's timer.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that moves only when told to. It is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiting []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewManual returns a Manual that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time last set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time once Advance has passed d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiting = append(m.waiting, waiter{at: m.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and releases every waiter that is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.waiting[:0]
	for _, w := range m.waiting {
		if w.at.After(m.now) {
			kept = append(kept, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiting = kept
}
