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

// replica is the state of one target in a Scheduler.
type replica struct {
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

func (r *replica) ownTotal() int { return r.own[core.Short] + r.own[core.Long] }

// report records a load report. Calls in it beyond this host's own are attributed
// to other hosts. A report also ends the time for which the target is down.
func (r *replica) report(now time.Time, load Load) {
	r.others = max(0, load.Running+load.Waiting-r.ownTotal())
	r.recentOthers[r.reports%recentReports] = r.others
	r.reports++
	r.reportedAt = now
	if now.Before(r.downUntil) {
		r.downUntil = now
	}
}

// busy estimates the slots in use. Load reports older than reportMaxAge are ignored.
func (r *replica) busy(now time.Time, sharing Sharing) int {
	switch {
	case now.Sub(r.reportedAt) > reportMaxAge || sharing == Slices:
		return r.ownTotal()
	case sharing == Exclusive:
		return r.ownTotal() + r.persistentOthers()
	}
	return r.ownTotal() + r.others
}

// persistentOthers returns the number of other hosts' calls that all recent reports
// show, such as calls placed by the previous placing host. A surplus that only some
// reports show is due to their delay.
func (r *replica) persistentOthers() int {
	if r.reports < recentReports {
		return r.others
	}
	return slices.Min(r.recentOthers[:])
}

// slots returns how many slots may be used now. A target that has just come back
// has cold caches, so its limit ramps up over rampUpDuration.
func (r *replica) slots(now time.Time, sharing Sharing, hosts int) int {
	n := r.Slots
	if sharing == Slices {
		n = max(1, (r.Slots+hosts-1)/hosts)
	}
	since := now.Sub(r.returnedAt)
	if r.returnedAt.IsZero() || since >= rampUpDuration {
		return n
	}
	share := rampUpStartShare + (1-rampUpStartShare)*since.Seconds()/rampUpDuration.Seconds()
	return max(1, int(share*float64(n)))
}

func (r *replica) usable(now time.Time) bool {
	return !r.Leaving && !r.reportedLeaving && !now.Before(r.downUntil)
}

// longCap returns the number of slots that long calls may use at once.
func longCap(slots int, share float64) int {
	if slots == 1 {
		return 1
	}
	return min(slots-1, max(1, int(share*float64(slots))))
}
