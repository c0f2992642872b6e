// Package rendezvous implements rendezvous hashing. All hosts with the same list pick the
// same item, and the choice changes only when that item is removed or an item with a
// higher hash is added.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the item whose key has the highest hash, and false for an empty list. The
// key must contain the name of the item and the purpose of the choice.
func Pick[T any](items []T, key func(T) string) (best T, ok bool) {
	highest := uint64(0)
	for _, item := range items {
		if h := xxhash.Sum64String(key(item)); !ok || h > highest {
			best, highest, ok = item, h, true
		}
	}
	return best, ok
}
