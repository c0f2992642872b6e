package placement

import "time"

const (
	reserveShare   = 0.12             // of a service's slots, kept free of heavy workspaces
	heavyUseFactor = 2.0              // multiple of its equal share from which a workspace is heavy
	activeWindow   = 30 * time.Second // after its last call, in which a workspace counts as active
)

// slotUsage tracks the active workspaces of a service and the slots that each uses.
type slotUsage struct {
	inUse     map[string]int       // slots, by workspace
	lastCall  map[string]time.Time // by workspace
	nextSweep time.Time            // of inactive workspaces
}

func newSlotUsage() slotUsage {
	return slotUsage{inUse: map[string]int{}, lastCall: map[string]time.Time{}}
}

// recordCall marks a workspace as active and periodically drops inactive ones.
func (u *slotUsage) recordCall(now time.Time, workspace string) {
	u.lastCall[workspace] = now
	if now.Before(u.nextSweep) {
		return
	}
	u.nextSweep = now.Add(activeWindow)
	for name, at := range u.lastCall {
		if now.Sub(at) > activeWindow {
			delete(u.lastCall, name)
		}
	}
}

func (u *slotUsage) acquire(workspace string) { u.inUse[workspace]++ }

func (u *slotUsage) release(workspace string) {
	if u.inUse[workspace]--; u.inUse[workspace] <= 0 {
		delete(u.inUse, workspace)
	}
}

// mayAcquire reports whether a workspace may use another slot of a service. A
// workspace far above its equal share must leave reserveShare of the slots free,
// so that calls of other workspaces need not wait for its calls to end.
func (u *slotUsage) mayAcquire(workspace string, busy, slots int) bool {
	if len(u.lastCall) < 2 {
		return true
	}
	equalShare := float64(slots) / float64(len(u.lastCall))
	if float64(u.inUse[workspace]) < heavyUseFactor*equalShare {
		return true
	}
	return float64(busy) < (1-reserveShare)*float64(slots)
}
