// Package bulletin keeps small facts that hosts tell one another. Each fact has
// one key; the one with the highest stamp wins, so that hosts agree in whatever
// order the facts arrive. The package does no I/O.
package bulletin

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

// Scope tells how far a fact travels.
type Scope string

// The scopes.
const (
	DataCentre Scope = "DataCentre"
	Fleet      Scope = "Fleet"
)

// Item is a fact.
type Item struct {
	Key   string          `json:"Key"   cbor:"1,keyasint"`
	Stamp int64           `json:"Stamp" cbor:"2,keyasint"`
	Scope Scope           `json:"Scope" cbor:"3,keyasint"`
	Value json.RawMessage `json:"Value" cbor:"4,keyasint"`
	// TTLSeconds bounds the life of the fact at each host after it arrived;
	// zero keeps it.
	TTLSeconds int `json:"TTLSeconds,omitempty" cbor:"5,keyasint,omitempty"`
}

type slot struct {
	item    Item
	arrived time.Time
	sent    int
}

// ItemSet is the set of facts that one host knows. Its owner is one goroutine.
type ItemSet struct {
	slots map[string]*slot
	// MaxItems bounds the number of facts from other hosts.
	maxItems int
}

// NewItemSet returns an empty Board that takes at most maxItems facts.
func NewItemSet(maxItems int) *ItemSet {
	return &ItemSet{slots: map[string]*slot{}, maxItems: maxItems}
}

// Merge takes a fact and reports whether it was news.
func (b *ItemSet) Merge(now time.Time, item Item) bool {
	known, ok := b.slots[item.Key]
	if ok && known.item.Stamp >= item.Stamp {
		return false
	}
	if !ok && len(b.slots) >= b.maxItems {
		return false
	}
	b.slots[item.Key] = &slot{item: item, arrived: now}
	return true
}

// Get returns the fact with the key.
func (b *ItemSet) Get(key string) (Item, bool) {
	if s, ok := b.slots[key]; ok {
		return s.item, true
	}
	return Item{}, false
}

// Delete forgets a fact.
func (b *ItemSet) Delete(key string) { delete(b.slots, key) }

// Len returns the number of facts.
func (b *ItemSet) Len() int { return len(b.slots) }

// Sweep forgets facts that have outlived their time.
func (b *ItemSet) Sweep(now time.Time) {
	for key, s := range b.slots {
		ttl := time.Duration(s.item.TTLSeconds) * time.Second
		if ttl > 0 && now.Sub(s.arrived) > ttl {
			delete(b.slots, key)
		}
	}
}

// Pick returns facts of at most budget bytes to send along, those sent least
// often first, and counts them as sent. Facts that were sent times times are
// left to All.
func (b *ItemSet) Pick(budget, times int, scope Scope) []Item {
	candidates := make([]*slot, 0, len(b.slots))
	for _, s := range b.slots {
		if s.sent < times && (scope == DataCentre || s.item.Scope == Fleet) {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(x, y *slot) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), y.arrived.Compare(x.arrived), cmp.Compare(x.item.Key, y.item.Key))
	})
	out := []Item{}
	for _, s := range candidates {
		size := Size(s.item)
		if size > budget {
			continue
		}
		budget -= size
		s.sent++
		out = append(out, s.item)
	}
	return out
}

// itemOverheadBytes is what the JSON form of an item adds to its key and value.
const itemOverheadBytes = 80

// Size estimates the bytes of an item on the wire.
func Size(item Item) int { return itemOverheadBytes + len(item.Key) + len(item.Value) }

// All returns every fact of the scope, in order of key.
func (b *ItemSet) All(scope Scope) []Item {
	out := make([]Item, 0, len(b.slots))
	for _, s := range b.slots {
		if scope == DataCentre || s.item.Scope == Fleet {
			out = append(out, s.item)
		}
	}
	slices.SortFunc(out, func(x, y Item) int { return cmp.Compare(x.Key, y.Key) })
	return out
}
