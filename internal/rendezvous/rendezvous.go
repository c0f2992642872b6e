// Package rendezvous picks one of several that all who know the same list agree
// on, and that changes only when the one picked goes or a better one comes.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the item whose text has the highest hash, and false for an empty
// list. The text holds the item's name and what it is picked for.
func Pick[T any](list []T, text func(T) string) (best T, ok bool) {
	highest := uint64(0)
	for _, item := range list {
		if h := xxhash.Sum64String(text(item)); !ok || h > highest {
			best, highest, ok = item, h, true
		}
	}
	return best, ok
}
