// Package affinity remembers which targets are likely to hold a prompt's
// prefix in their cache. It learns from the calls that were placed and from the
// targets' own events, which come late and with gaps, so that it is a hint and
// no more. The package does no I/O.
package affinity

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Levels is the number of prefix lengths that are kept for a prompt.
const Levels = 2

var levelBytes = [Levels]int{256, 2048}

// Prefix identifies the beginnings of a prompt, the shortest first. A zero
// means that the prompt is shorter than that.
type Prefix [Levels]uint64

// PrefixOf returns the prefix of a prompt.
func PrefixOf(prompt []byte) Prefix {
	var out Prefix
	for i, n := range levelBytes {
		if len(prompt) >= n {
			out[i] = xxhash.Sum64(prompt[:n])
		}
	}
	return out
}

const targetsPerPrefix = 2

type entry struct {
	hash    uint64
	targets [targetsPerPrefix]string
}

// Index is a bounded, least-recently-used map of prefixes to targets. Its owner
// is one goroutine.
type Index struct {
	max   int
	order *list.List
	byKey map[uint64]*list.Element
}

// NewIndex returns an Index of at most size prefixes.
func NewIndex(size int) *Index {
	return &Index{max: size, order: list.New(), byKey: map[uint64]*list.Element{}}
}

// Add notes that a target has the prefix.
func (x *Index) Add(p Prefix, target string) {
	for _, hash := range p {
		if hash != 0 {
			x.store(hash, target)
		}
	}
}

func (x *Index) store(hash uint64, target string) {
	element, ok := x.byKey[hash]
	if !ok {
		element = x.order.PushFront(&entry{hash: hash})
		x.byKey[hash] = element
		x.evict()
	}
	x.order.MoveToFront(element)
	e, _ := element.Value.(*entry)
	if e.targets[0] != target {
		e.targets[1], e.targets[0] = e.targets[0], target
	}
}

func (x *Index) evict() {
	if x.order.Len() <= x.max {
		return
	}
	last := x.order.Back()
	e, _ := x.order.Remove(last).(*entry)
	delete(x.byKey, e.hash)
}

// RemoveTarget notes that a target has lost everything, as after a restart.
func (x *Index) RemoveTarget(target string) {
	for element := x.order.Front(); element != nil; element = element.Next() {
		e, _ := element.Value.(*entry)
		for i := range e.targets {
			if e.targets[i] == target {
				e.targets[i] = ""
			}
		}
	}
}

// Match returns how many levels of the prefix the target is likely to hold.
func (x *Index) Match(p Prefix, target string) int {
	n := 0
	for _, hash := range p {
		if hash == 0 {
			break
		}
		element, ok := x.byKey[hash]
		if !ok {
			break
		}
		e, _ := element.Value.(*entry)
		if e.targets[0] != target && e.targets[1] != target {
			break
		}
		n++
	}
	return n
}
