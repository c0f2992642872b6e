package placement

import "time"

const (
	reserveShare = 0.12 // of a service's slots, that a hog leaves free
	hogFactor    = 2.0  // times its equal share, from which a workspace is a hog
	activeWithin = 30 * time.Second
)

// holdings counts the slots of a service that each workspace holds.
type holdings struct {
	held map[string]int
	seen map[string]time.Time // last call of a workspace
	next time.Time            // of the next sweep
}

func newHoldings() holdings {
	return holdings{held: map[string]int{}, seen: map[string]time.Time{}}
}

// asked notes that a workspace has made a call.
func (h *holdings) asked(now time.Time, workspace string) {
	h.seen[workspace] = now
	if now.Before(h.next) {
		return
	}
	h.next = now.Add(activeWithin)
	for name, at := range h.seen {
		if now.Sub(at) > activeWithin {
			delete(h.seen, name)
		}
	}
}

func (h *holdings) take(workspace string) { h.held[workspace]++ }

func (h *holdings) release(workspace string) {
	if h.held[workspace]--; h.held[workspace] <= 0 {
		delete(h.held, workspace)
	}
}

// mayTake reports whether a workspace may take another slot of a service. One
// that holds far more than its equal share leaves a reserve to the others, so
// that their calls need not wait for its to end.
func (h *holdings) mayTake(workspace string, busy, slots int) bool {
	if len(h.seen) < 2 {
		return true
	}
	equal := float64(slots) / float64(len(h.seen))
	if float64(h.held[workspace]) < hogFactor*equal {
		return true
	}
	return float64(busy) < (1-reserveShare)*float64(slots)
}
