package placement

import (
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

const (
	downDuration     = 2 * time.Second
	rampUpDuration   = 10 * time.Second
	rampUpStartShare = 0.25
	reportMaxAge     = 10 * time.Second

	recentReports = 5
)

// trackedTarget is the state of one target in a Scheduler.
type trackedTarget struct {
	Target
	monitor         *straggler.Monitor
	own             [2]int             // calls placed by this host, by class
	isolated        bool               // runs a call that is suspected of crashing targets
	others          int                // calls of other hosts, from the last report
	recentOthers    [recentReports]int // others of the last few reports, as a ring buffer
	reports         int
	reportedAt      time.Time
	downUntil       time.Time
	returnedAt      time.Time
	lastPlaced      time.Time
	reportedLeaving bool // the target refused a call because it is shutting down
}

func (t *trackedTarget) ownTotal() int { return t.own[core.Short] + t.own[core.Long] }

// report records a load report. Calls in it beyond this host's own are attributed
// to other hosts. A report also ends the time for which the target is down.
func (t *trackedTarget) report(now time.Time, load Load) {
	t.others = max(0, load.Running+load.Waiting-t.ownTotal())
	t.recentOthers[t.reports%recentReports] = t.others
	t.reports++
	t.reportedAt = now
	if now.Before(t.downUntil) {
		t.downUntil = now
	}
}

// busy estimates the slots in use. Load reports older than reportMaxAge are ignored.
func (t *trackedTarget) busy(now time.Time, sharing Sharing) int {
	switch {
	case now.Sub(t.reportedAt) > reportMaxAge || sharing == Slices:
		return t.ownTotal()
	case sharing == Exclusive:
		return t.ownTotal() + t.persistentOthers()
	}
	return t.ownTotal() + t.others
}

// persistentOthers returns the number of other hosts' calls that all recent reports
// show, such as calls placed by the previous placing host. A surplus that only some
// reports show is due to their delay.
func (t *trackedTarget) persistentOthers() int {
	if t.reports < recentReports {
		return t.others
	}
	return slices.Min(t.recentOthers[:])
}

// slots returns how many slots may be used now. A target that has just come back
// has cold caches, so its limit ramps up over rampUpDuration.
func (t *trackedTarget) slots(now time.Time, sharing Sharing, hosts int) int {
	n := t.Slots
	if sharing == Slices {
		n = max(1, (t.Slots+hosts-1)/hosts)
	}
	since := now.Sub(t.returnedAt)
	if t.returnedAt.IsZero() || since >= rampUpDuration {
		return n
	}
	share := rampUpStartShare + (1-rampUpStartShare)*since.Seconds()/rampUpDuration.Seconds()
	return max(1, int(share*float64(n)))
}

func (t *trackedTarget) usable(now time.Time) bool {
	return !t.Leaving && !t.reportedLeaving && !now.Before(t.downUntil)
}

// longCap returns the number of slots that long calls may use at once.
func longCap(slots int, share float64) int {
	if slots == 1 {
		return 1
	}
	return min(slots-1, max(1, int(share*float64(slots))))
}
