package balance

import (
	"time"
)

const (
	// comfortShare is the part of the aim within which a call stays at home
	// without a look at other regions.
	comfortShare = 0.5
	// keeperShare is the part of the aim within which the first byte must be expected
	// from the region that keeps a call's parts.
	keeperShare = 0.75
	// awayGain is what sending away must save at least.
	awayGain = 40 * time.Millisecond
	// minWaitShare is the part of the aim that a call may always wait.
	minWaitShare = 0.3
	// minRetryAfter is the least time after which a refused caller is to return.
	minRetryAfter = 150 * time.Millisecond
	// returnShare is the part of its time left over which refused callers are told
	// to come back.
	returnShare = 0.25
)

// Shares of the longest good pause that the mean pause of a region may reach when
// one more call comes. Beyond it the pauses that are longer than the mean make
// streams late, and long streams do not end in time. More urgent calls find some
// room kept.
const (
	urgentPauseShare = 0.6
	pauseShare       = 0.4
)

// strained reports whether streams pause so long that a call of the work's rank
// is better not begun.
func strained(w Work, pause time.Duration) bool {
	share := pauseShare
	if w.Rank == 0 {
		share = urgentPauseShare
	}
	return w.Gap > 0 && pause > scale(w.Gap, share)
}

// Away is another region that may serve a call.
type Away struct {
	Region string
	// Wait and Own predict the time there, without the way.
	Wait time.Duration
	Own  time.Duration
	// Trip is the time there and back.
	Trip time.Duration
	// Pause is the mean pause between events there.
	Pause time.Duration
}

// Total is the predicted time to the first byte.
func (a Away) Total() time.Duration { return a.Wait + a.Own + a.Trip }

// Question is what a decision depends on.
type Question struct {
	// Local is the best target at home, if Here.
	Local Choice
	Here  bool
	// Away are the other regions that may be asked.
	Away []Away
	// Spill are the shares of the work that go to other regions, by region.
	Spill map[string]float64
	// Keeper is the region that keeps the shared parts of the call, if one does.
	Keeper string
	Work   Work
	// Aim is the time to the first byte that is still good; Left is the time
	// until the caller gives up.
	Aim  time.Duration
	Left time.Duration
	// Typical is the usual own time of calls like this one.
	Typical time.Duration
	// Spread is a number from 0 to 1 that differs from call to call.
	Spread float64
}

// Answer is where a call goes.
type Answer struct {
	// Local and Region exclude each other; with neither the call is refused.
	Local  bool
	Region string
	// RetryAfter is when a refused caller is to come back.
	RetryAfter time.Duration
	Reason     string
	// Spilled tells that the call goes away for want of capacity at home.
	Spilled bool
}

// Decide returns where a call goes. A call stays at home while it is expected to
// be in good time there, and goes away only where that saves something. What
// would wait so long that calls of its size are late everywhere is refused.
func Decide(q Question) Answer {
	limit := max(q.Aim-q.Typical, scale(q.Aim, minWaitShare))
	if q.Aim == 0 {
		limit = q.Left
	}
	limit = min(limit, q.Left)
	away, found := nearest(q.Away)
	full := q.Here && strained(q.Work, q.Local.Pause)
	spill, spilled := spillTo(q.Spill, q.Away, q.Work)
	keeper, kept := find(q.Away, q.Keeper)
	switch {
	case q.Here && kept && !strained(q.Work, keeper.Pause) && keeper.Total() <= scale(q.Aim, keeperShare):
		return Answer{Region: keeper.Region, Reason: "the region that keeps its parts"}
	case q.Here && spilled && !strained(q.Work, spill.Pause) && spill.Wait <= limit && spill.Total() < max(q.Aim, q.Local.Prediction.Total()):
		return Answer{Region: spill.Region, Reason: "the region's share for another one", Spilled: true}
	case q.Here && !full && (q.Local.Prediction.Total() <= scale(q.Aim, comfortShare) || q.Aim == 0):
		return Answer{Local: true, Reason: "in good time"}
	case found && !strained(q.Work, away.Pause) && away.Wait <= limit && away.Total() < q.Left && (!q.Here || full || away.Total()+awayGain < q.Local.Prediction.Total()):
		return Answer{Region: away.Region, Reason: "sooner in another region"}
	case q.Here && !full && q.Local.Prediction.Wait <= limit:
		return Answer{Local: true, Reason: "within the wait that is allowed"}
	case !q.Here && !found:
		return Answer{RetryAfter: retryAfter(q, 0), Reason: "no target"}
	case full:
		return Answer{RetryAfter: retryAfter(q, limit), Reason: "the streams pause for too long"}
	default:
		return Answer{RetryAfter: retryAfter(q, limit), Reason: "the wait is too long"}
	}
}

func find(regions []Away, name string) (Away, bool) {
	for _, a := range regions {
		if a.Region == name {
			return a, true
		}
	}
	return Away{}, false
}

func nearest(regions []Away) (Away, bool) {
	var best Away
	for i, a := range regions {
		if i == 0 || a.Total() < best.Total() {
			best = a
		}
	}
	return best, len(regions) > 0
}

// retryAfter is when the wait is expected to have fallen to half of the limit.
func retryAfter(q Question, limit time.Duration) time.Duration {
	over := time.Duration(0)
	if q.Here {
		over = max(0, q.Local.Prediction.Wait-limit/2)
	}
	return minRetryAfter + over + scale(q.Left, returnShare*q.Spread)
}
