package placement

import (
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

const (
	downFor      = 2 * time.Second
	rampTime     = 10 * time.Second
	rampStart    = 0.25
	reportMaxAge = 10 * time.Second

	foreignReports = 5
)

// replica is what a Scheduler knows of a target.
type replica struct {
	Target
	track       *straggler.Monitor
	own         [2]int              // calls placed, by class
	alone       bool                // runs a call that is suspected of ending targets
	others      int                 // calls of other hosts, by the last report
	foreign     [foreignReports]int // the same, by the last few reports
	reports     int
	reportedAt  time.Time
	downUntil   time.Time
	returnedAt  time.Time
	lastPlaced  time.Time
	leavingSeen bool // the target itself refused work as leaving
}

func (r *replica) ownTotal() int { return r.own[core.Short] + r.own[core.Long] }

// report takes a load report. What it counts beyond the own calls is put down
// to other hosts.
func (r *replica) report(now time.Time, load Load) {
	r.others = max(0, load.Running+load.Waiting-r.ownTotal())
	r.foreign[r.reports%foreignReports] = r.others
	r.reports++
	r.reportedAt = now
	if now.Before(r.downUntil) {
		r.downUntil = now
	}
}

// busy estimates the slots in use.
func (r *replica) busy(now time.Time, sharing Sharing) int {
	switch {
	case now.Sub(r.reportedAt) > reportMaxAge || sharing == Slices:
		return r.ownTotal()
	case sharing == Exclusive:
		return r.ownTotal() + r.lasting()
	}
	return r.ownTotal() + r.others
}

// lasting returns the calls that all of the last reports count beyond the own
// ones: those that another host has placed, as before this one took over. What
// only some count is the lag of the reports.
func (r *replica) lasting() int {
	if r.reports < foreignReports {
		return r.others
	}
	return slices.Min(r.foreign[:])
}

// slots returns how many slots may be used now. A target that has just
// returned, with cold caches, is filled step by step.
func (r *replica) slots(now time.Time, sharing Sharing, hosts int) int {
	n := r.Slots
	if sharing == Slices {
		n = max(1, (r.Slots+hosts-1)/hosts)
	}
	since := now.Sub(r.returnedAt)
	if r.returnedAt.IsZero() || since >= rampTime {
		return n
	}
	share := rampStart + (1-rampStart)*since.Seconds()/rampTime.Seconds()
	return max(1, int(share*float64(n)))
}

func (r *replica) usable(now time.Time) bool {
	return !r.Leaving && !r.leavingSeen && !now.Before(r.downUntil)
}

// longCap is the number of slots that long calls may use at once.
func longCap(slots int, share float64) int {
	if slots == 1 {
		return 1
	}
	return min(slots-1, max(1, int(share*float64(slots))))
}
