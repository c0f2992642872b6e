package exchange

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// freeBodyBytes is the part of each body that is not counted: usual answers are
// smaller, and their number is bounded by that of connections.
const freeBodyBytes = 64 << 10

// MemoryBudget bounds what long bodies that are read whole hold together. It is safe for
// concurrent use.
type MemoryBudget struct {
	limit int64
	held  atomic.Int64
}

// NewMemoryBudget returns a Memory of limit bytes.
func NewMemoryBudget(limit int) *MemoryBudget { return &MemoryBudget{limit: int64(limit)} }

// Reserved returns the bytes that are held.
func (m *MemoryBudget) Reserved() int { return int(m.held.Load()) }

func (m *MemoryBudget) take(n int) bool {
	if m.held.Add(int64(n)) <= m.limit {
		return true
	}
	m.held.Add(-int64(n))
	return false
}

// Body is a body that was read whole.
type Body struct {
	Bytes  []byte
	memory *MemoryBudget
	taken  int
}

// HasReservation reports whether the body holds a part of the memory.
func (b *Body) HasReservation() bool { return b.taken > 0 }

// Release gives back what the body holds. It may be called more than once.
func (b *Body) Release() {
	if b.taken > 0 {
		b.memory.held.Add(-int64(b.taken))
		b.taken = 0
	}
}

// grow makes room for more bytes within the memory.
func (b *Body) grow() bool {
	next := max(readBufferBytes, 2*cap(b.Bytes))
	if next > freeBodyBytes {
		more := next - max(cap(b.Bytes), freeBodyBytes)
		if !b.memory.take(more) {
			return false
		}
		b.taken += more
	}
	longer := make([]byte, len(b.Bytes), next)
	copy(longer, b.Bytes)
	b.Bytes = longer
	return true
}

// ReadAllWithin reads a body of at most limit bytes within a Memory and closes the
// answer. The body is to be released.
func (r *Response) ReadAllWithin(m *MemoryBudget, limit int) (Body, error) {
	defer r.Close()
	b := Body{memory: m}
	for {
		if len(b.Bytes) > limit || (len(b.Bytes) == cap(b.Bytes) && !b.grow()) {
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
