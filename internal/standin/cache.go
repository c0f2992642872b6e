package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is a least-recently-used cache of prompt blocks. It publishes
// its changes late and omits every cacheEventGap-th one.
type prefixCache struct {
	capacity int // in blocks
	order    *list.List
	index    map[uint64]*list.Element
	events   []cacheEvent
}

// cacheEvent reports that a block was stored or evicted.
type cacheEvent struct {
	Sequence int    `json:"Sequence"`
	Kind     string `json:"Kind"`
	Block    uint64 `json:"Block,string"`
}

const (
	cacheEventLag = 4  // number of the newest events that are not published yet
	cacheEventGap = 10 // events whose sequence number is a multiple are omitted
)

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{capacity: capacity, order: list.New(), index: map[uint64]*list.Element{}}
}

// touch stores the blocks of a prompt and returns the number of tokens in its cached
// prefix.
func (c *prefixCache) touch(text string) int {
	hits := 0
	missed := false
	hash := xxhash.New()
	for at := 0; at+cacheBlockBytes <= len(text); at += cacheBlockBytes {
		_, _ = hash.WriteString(text[at : at+cacheBlockBytes])
		block := hash.Sum64()
		if element, ok := c.index[block]; ok {
			c.order.MoveToFront(element)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		c.store(block)
	}
	return hits * cacheBlockBytes / bytesPerToken
}

func (c *prefixCache) store(block uint64) {
	if c.capacity == 0 {
		return
	}
	c.index[block] = c.order.PushFront(block)
	c.publish("Stored", block)
	if c.order.Len() <= c.capacity {
		return
	}
	last := c.order.Back()
	evicted, _ := c.order.Remove(last).(uint64)
	delete(c.index, evicted)
	c.publish("Evicted", evicted)
}

func (c *prefixCache) publish(kind string, block uint64) {
	c.events = append(c.events, cacheEvent{Sequence: len(c.events) + 1, Kind: kind, Block: block})
}

func (e *Engine) cacheEvents(after int) []cacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, event := range e.cache.events[:max(0, len(e.cache.events)-cacheEventLag)] {
		if event.Sequence > after && event.Sequence%cacheEventGap != 0 {
			out = append(out, event)
		}
	}
	return out
}
