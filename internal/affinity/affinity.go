// Package affinity tracks which targets are likely to have a prompt's prefix in
// their cache. Its data comes from placed calls and from events of the targets,
// which arrive late and with gaps, so a match is only a hint. The package does no
// I/O.
package affinity

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Levels is the number of prefix lengths that are hashed for a prompt.
const Levels = 2

// levelBytes holds the prefix lengths.
var levelBytes = [Levels]int{256, 2048}

// Prefix holds the hashes of a prompt's prefixes, the shortest first. A zero means
// that the prompt is shorter than the prefix.
type Prefix [Levels]uint64

// PrefixOf returns the prefix hashes of a prompt.
func PrefixOf(prompt []byte) Prefix {
	var out Prefix
	for i, n := range levelBytes {
		if len(prompt) >= n {
			out[i] = xxhash.Sum64(prompt[:n])
		}
	}
	return out
}

// targetsPerPrefix is the number of targets stored for a prefix hash.
const targetsPerPrefix = 2

type entry struct {
	hash    uint64
	targets [targetsPerPrefix]string // latest first
}

// Index maps prefix hashes to targets, up to a number of hashes. The least recently
// used one is evicted first. It is not safe for concurrent use.
type Index struct {
	maxEntries int
	recency    *list.List
	byHash     map[uint64]*list.Element
}

// NewIndex returns an Index of at most size prefix hashes.
func NewIndex(size int) *Index {
	return &Index{maxEntries: size, recency: list.New(), byHash: map[uint64]*list.Element{}}
}

// Add records that a target has the prefix in its cache.
func (x *Index) Add(p Prefix, target string) {
	for _, hash := range p {
		if hash != 0 {
			x.store(hash, target)
		}
	}
}

func (x *Index) store(hash uint64, target string) {
	element, ok := x.byHash[hash]
	if !ok {
		element = x.recency.PushFront(&entry{hash: hash})
		x.byHash[hash] = element
		x.evict()
	}
	x.recency.MoveToFront(element)
	e, _ := element.Value.(*entry)
	if e.targets[0] != target {
		e.targets[1], e.targets[0] = e.targets[0], target
	}
}

func (x *Index) evict() {
	if x.recency.Len() <= x.maxEntries {
		return
	}
	last := x.recency.Back()
	e, _ := x.recency.Remove(last).(*entry)
	delete(x.byHash, e.hash)
}

// RemoveTarget removes a target that has lost its cache, such as after a restart.
func (x *Index) RemoveTarget(target string) {
	for element := x.recency.Front(); element != nil; element = element.Next() {
		e, _ := element.Value.(*entry)
		for i := range e.targets {
			if e.targets[i] == target {
				e.targets[i] = ""
			}
		}
	}
}

// Match returns the number of levels of the prefix that the target is likely to have
// in its cache.
func (x *Index) Match(p Prefix, target string) int {
	n := 0
	for _, hash := range p {
		if hash == 0 {
			break
		}
		element, ok := x.byHash[hash]
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
