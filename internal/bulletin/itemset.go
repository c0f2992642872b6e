// Package bulletin holds the small items that hosts exchange by gossip. For each key, the
// item with the highest stamp wins, so that hosts converge in whatever order the items
// arrive. The package does no I/O.
package bulletin

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

// Scope is the part of the fleet that receives an item.
type Scope string

// The scopes.
const (
	DataCentre Scope = "DataCentre"
	Fleet      Scope = "Fleet"
)

// Item is a key-value record that hosts exchange by gossip.
type Item struct {
	Key   string          `json:"Key"   cbor:"1,keyasint"`
	Stamp int64           `json:"Stamp" cbor:"2,keyasint"`
	Scope Scope           `json:"Scope" cbor:"3,keyasint"`
	Value json.RawMessage `json:"Value" cbor:"4,keyasint"`
	// TTLSeconds bounds the lifetime of the item at each host after its arrival; zero means
	// no limit.
	TTLSeconds int `json:"TTLSeconds,omitempty" cbor:"5,keyasint,omitempty"`
}

type entry struct {
	item    Item
	arrived time.Time
	sends   int
}

// ItemSet is the set of items that one host holds. It is not safe for concurrent use.
type ItemSet struct {
	entries  map[string]*entry
	maxItems int // bounds what other hosts can add
}

// NewItemSet returns an empty ItemSet that holds at most maxItems items.
func NewItemSet(maxItems int) *ItemSet {
	return &ItemSet{entries: map[string]*entry{}, maxItems: maxItems}
}

// Merge adds an item, or replaces the one with the same key if that has a lower stamp. It
// reports whether the set has changed; a full set takes no new keys.
func (s *ItemSet) Merge(now time.Time, item Item) bool {
	known, ok := s.entries[item.Key]
	if ok && known.item.Stamp >= item.Stamp {
		return false
	}
	if !ok && len(s.entries) >= s.maxItems {
		return false
	}
	s.entries[item.Key] = &entry{item: item, arrived: now}
	return true
}

// Get returns the item with the key.
func (s *ItemSet) Get(key string) (Item, bool) {
	if e, ok := s.entries[key]; ok {
		return e.item, true
	}
	return Item{}, false
}

// Delete removes the item with the key.
func (s *ItemSet) Delete(key string) { delete(s.entries, key) }

// Len returns the number of items.
func (s *ItemSet) Len() int { return len(s.entries) }

// Sweep removes the items whose TTL has expired.
func (s *ItemSet) Sweep(now time.Time) {
	for key, e := range s.entries {
		ttl := time.Duration(e.item.TTLSeconds) * time.Second
		if ttl > 0 && now.Sub(e.arrived) > ttl {
			delete(s.entries, key)
		}
	}
}

// Pick returns items of at most budgetBytes to send with a heartbeat, those sent least often
// first, and counts them as sent. It leaves out items that were sent maxSends times; only
// All returns these.
func (s *ItemSet) Pick(budgetBytes, maxSends int, scope Scope) []Item {
	candidates := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		if e.sends < maxSends && (scope == DataCentre || e.item.Scope == Fleet) {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.sends, y.sends), y.arrived.Compare(x.arrived), cmp.Compare(x.item.Key, y.item.Key))
	})
	out := []Item{}
	for _, e := range candidates {
		size := Size(e.item)
		if size > budgetBytes {
			continue
		}
		budgetBytes -= size
		e.sends++
		out = append(out, e.item)
	}
	return out
}

// itemOverheadBytes is what the JSON encoding of an item adds to its key and value.
const itemOverheadBytes = 80

// Size returns the estimated size of an encoded item in bytes.
func Size(item Item) int { return itemOverheadBytes + len(item.Key) + len(item.Value) }

// All returns the items of the scope, sorted by key.
func (s *ItemSet) All(scope Scope) []Item {
	out := make([]Item, 0, len(s.entries))
	for _, e := range s.entries {
		if scope == DataCentre || e.item.Scope == Fleet {
			out = append(out, e.item)
		}
	}
	slices.SortFunc(out, func(x, y Item) int { return cmp.Compare(x.Key, y.Key) })
	return out
}
