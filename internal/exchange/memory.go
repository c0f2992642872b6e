package exchange

import (
	"io"
	"math"
	"sync/atomic"

	"github.com/pkg/errors"
)

// unreservedBodyBytes is the part of each body that needs no reservation: most
// responses are smaller, and the number of connections bounds how many there are.
const unreservedBodyBytes = 16 << 10

// MemoryBudget limits the total memory of the large bodies that are buffered at the same
// time. It is safe for concurrent use.
type MemoryBudget struct {
	limit    int64
	reserved atomic.Int64
	within   Reserver
	onShort  func(attempt int) bool
}

// Reserver is a larger budget of which a MemoryBudget is a part.
type Reserver interface {
	// Reserve reserves n bytes and reports whether they are within the budget.
	Reserve(n int) bool
	// Release returns n bytes.
	Release(n int)
}

type unlimited struct{}

func (unlimited) Reserve(int) bool { return true }

func (unlimited) Release(int) {}

// MemoryOption changes a MemoryBudget under construction.
type MemoryOption func(*MemoryBudget)

// WithinBudget makes the MemoryBudget reserve in a larger budget too.
func WithinBudget(r Reserver) MemoryOption { return func(m *MemoryBudget) { m.within = r } }

// WithOnShort sets a function that is called when a reservation fails, with the number of failures before. It may
// wait, and returns whether to try again.
func WithOnShort(f func(attempt int) bool) MemoryOption {
	return func(m *MemoryBudget) { m.onShort = f }
}

// NewMemoryBudget returns a MemoryBudget with a limit in bytes.
func NewMemoryBudget(limit int, options ...MemoryOption) *MemoryBudget {
	m := &MemoryBudget{limit: int64(limit), within: unlimited{}, onShort: func(int) bool { return false }}
	for _, option := range options {
		option(m)
	}
	return m
}

// Reserved returns the number of reserved bytes. It may exceed the limit briefly while
// a reservation is being rejected.
func (m *MemoryBudget) Reserved() int { return int(m.reserved.Load()) }

// reserve reserves n bytes and reports whether they are within the limit.
func (m *MemoryBudget) reserve(n int) bool {
	for attempt := 0; ; attempt++ {
		if m.tryReserve(n) {
			return true
		}
		if !m.onShort(attempt) {
			return false
		}
	}
}

func (m *MemoryBudget) tryReserve(n int) bool {
	if m.reserved.Add(int64(n)) <= m.limit && m.within.Reserve(n) {
		return true
	}
	m.reserved.Add(-int64(n))
	return false
}

// release returns n reserved bytes.
func (m *MemoryBudget) release(n int) {
	m.reserved.Add(-int64(n))
	m.within.Release(n)
}

// Body is a complete body that is buffered in memory.
type Body struct {
	Bytes    []byte
	budget   *MemoryBudget
	reserved int
}

// NewBody returns an empty body whose memory is reserved in m.
func NewBody(m *MemoryBudget) Body { return Body{budget: m} }

// Append adds bytes to the body. It returns false if the budget is exhausted.
func (b *Body) Append(p []byte) bool {
	for cap(b.Bytes)-len(b.Bytes) < len(p) {
		if !b.grow() {
			return false
		}
	}
	b.Bytes = append(b.Bytes, p...)
	return true
}

// Reset empties the body. It keeps the buffer unless that has a reservation.
func (b *Body) Reset() {
	if b.HasReservation() {
		b.Release()
		return
	}
	b.Bytes = b.Bytes[:0]
}

// HasReservation reports whether the body has reserved bytes of the budget.
func (b *Body) HasReservation() bool { return b.reserved > 0 }

// Release returns the body's reservation to the budget, and drops the buffer that had it. It may be called more than
// once.
func (b *Body) Release() {
	if b.reserved > 0 {
		b.Bytes = nil
		b.budget.release(b.reserved)
		b.reserved = 0
	}
}

// grow doubles the capacity of the buffer and reserves the added bytes. It returns
// false if the budget is exhausted.
func (b *Body) grow() bool { return b.growWithin(math.MaxInt) }

// growWithin is grow for a body of at most most bytes.
func (b *Body) growWithin(most int) bool {
	newCap := min(max(readBufferBytes, 2*cap(b.Bytes)), most)
	if newCap > unreservedBodyBytes {
		extra := newCap - max(cap(b.Bytes), unreservedBodyBytes)
		if !b.budget.reserve(extra) {
			return false
		}
		b.reserved += extra
	}
	grown := make([]byte, len(b.Bytes), newCap)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return true
}

// ReadAllWithin reads a body of at most limit bytes, reserves its memory in m, and
// closes the response. The caller must Release the body. A body that exceeds limit or
// the budget fails with kind TooLarge.
func (r *Response) ReadAllWithin(m *MemoryBudget, limit int) (Body, error) {
	defer r.Close()
	b := NewBody(m)
	most := limit + 1
	if n := r.Header.ContentLength(); n >= 0 {
		most = min(most, n+1) // the last byte is for the end of the body
	}
	for {
		if len(b.Bytes) > limit || (len(b.Bytes) == cap(b.Bytes) && !b.growWithin(most)) {
			b.Release()
			return Body{}, wrap("read body", TooLarge, nil)
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			b.Release()
			return Body{}, err
		}
	}
}
