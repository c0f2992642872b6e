// Package memory shares out the memory of a process among its connections, calls and bodies, and decides what to
// refuse and which uploads to end when it is short. It keeps accounts only: callers pass the time, and apply what it
// decides.
package memory

import (
	"sync"
	"time"
)

// Kind is what memory is used for.
type Kind int

// The kinds.
const (
	Connections Kind = iota // of callers, with their read buffers
	Calls                   // the buffers of running calls, with short bodies
	Bodies                  // of callers' requests
	Responses               // bodies and events of targets
	Control                 // bodies of other hosts: of their requests, and of responses to control requests
	kinds
)

// String returns the kind as it appears in metrics.
func (k Kind) String() string {
	return [...]string{"connections", "calls", "bodies", "responses", "control"}[k]
}

const (
	// reserveShare is the part of the memory that only calls and other hosts may use, so that requests with short
	// bodies are served while long bodies use up the rest.
	reserveShare = 0.1
	// overdraftShare is the part of the memory that uploads that are being ended may hold beyond it.
	overdraftShare = 0.125
	// maxBodyShare is the part of the memory for bodies that one body may have. It holds two copies while it grows.
	maxBodyShare = 0.6
	// sourceShare is the part of the memory for bodies that the uploads of one source may have, if it has several. The rest
	// is for other sources, as uploads that are complete are not ended for them.
	sourceShare = 0.75
	// stallTime is the time without progress after which an upload makes room for others. It exceeds the pauses of a
	// connection that loses some packets.
	stallTime = time.Second
	// ProgressBytes is what an upload must receive within stallTime to count as in progress.
	ProgressBytes = 4 << 10
	// longTime is the time after which an unfinished upload makes room for newer ones: that of 4 MiB over a third of
	// the slowest link of a host, 10 Mbit/s.
	longTime = 10 * time.Second
)

const (
	// programMB is the memory of a program and its tables. budgetShare is the part of the rest that connections, calls
	// and bodies may use; what remains is for garbage until it is collected.
	programMB   = 40
	budgetShare = 0.6
	bytesPerMB  = 1_000_000
	// defaultMB is what counts as the memory of a machine that is not known.
	defaultMB = 4096
	// MinMB is the least memory of a machine, in millions of bytes.
	MinMB = 64
)

// shares are the parts of the memory that the kinds may use at most.
var shares = [kinds]float64{Connections: 0.5, Calls: 1, Bodies: 0.6, Responses: 0.25, Control: 0.5}

// Budget is the memory of a process for connections, calls and bodies. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	total   int
	used    [kinds]int
	uploads []*Upload          // unfinished ones, in the order in which they began
	ending  int                // bytes of uploads that have been told to end
	sources map[string]holding // by source, of uploads that have not been told to end
}

// holding is what the uploads of a source hold, those that are complete included.
type holding struct{ bytes, uploads int }

// NewBudget returns a Budget of a number of bytes.
func NewBudget(total int) *Budget { return &Budget{total: total, sources: map[string]holding{}} }

// NewMachineBudget returns the Budget of a process on a machine with memory of mb millions of bytes, 0 if that is not
// known.
func NewMachineBudget(mb float64) *Budget {
	if mb == 0 {
		mb = defaultMB
	}
	return NewBudget(int(budgetShare * (mb - programMB) * bytesPerMB))
}

// Use is how much of a Budget is used.
type Use struct {
	Total   int
	Bytes   map[Kind]int
	Uploads int // unfinished ones
	Ending  int // bytes of uploads that have been told to end
	Sources int // that have uploads
}

// Use returns how much of the budget is used.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Use{Total: b.total, Bytes: map[Kind]int{}, Uploads: len(b.uploads), Ending: b.ending, Sources: len(b.sources)}
	for k, n := range b.used {
		u.Bytes[Kind(k)] = n
	}
	return u
}

// MaxBody returns the length of the longest body that the budget has room for.
func (b *Budget) MaxBody() int { return int(maxBodyShare * shares[Bodies] * float64(b.total)) }

// inShare reports whether n more bytes of a kind are within its share.
func (b *Budget) inShare(kind Kind, n int) bool {
	return float64(b.used[kind]+n) <= shares[kind]*float64(b.total)
}

// fits reports whether n more bytes of a kind are within the budget.
func (b *Budget) fits(kind Kind, n int) bool {
	sum := n
	for _, used := range b.used {
		sum += used
	}
	limit := float64(b.total)
	if kind != Calls && kind != Control {
		limit *= 1 - reserveShare
	}
	return b.inShare(kind, n) && float64(sum) <= limit
}

// Reserve reserves n bytes and reports whether they are within the budget.
func (b *Budget) Reserve(kind Kind, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(kind, n) {
		return false
	}
	b.used[kind] += n
	return true
}

// Charge reserves n bytes, also beyond the budget: something else bounds them.
func (b *Budget) Charge(kind Kind, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] += n
}

// Release returns n bytes.
func (b *Budget) Release(kind Kind, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] -= n
}

// Share is the part of a Budget for one kind.
type Share struct {
	Budget *Budget
	Kind   Kind
}

// Reserve reserves n bytes and reports whether they are within the budget.
func (s Share) Reserve(n int) bool { return s.Budget.Reserve(s.Kind, n) }

// Release returns n bytes.
func (s Share) Release(n int) { s.Budget.Release(s.Kind, n) }
