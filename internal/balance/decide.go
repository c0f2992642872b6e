package balance

import (
	"slices"
	"time"
)

const (
	// awayGain is what sending away must save at least.
	awayGain = 40 * time.Millisecond
	// minWaitShare is the part of the aim that a call may always wait.
	minWaitShare = 0.3
	// minRetryAfter is the least time after which a refused caller is to return.
	minRetryAfter = 150 * time.Millisecond
	// returnShare is the part of its time left over which refused callers are told
	// to come back.
	returnShare = 0.25
	// recoverySpread is the part of the longest time that callers heed over which those
	// are spread that wait for a recovery.
	recoverySpread = 0.4
)

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
	// Rate is the tokens of a prompt that one target there reads in a millisecond, 0
	// when the region has not told.
	Rate float64
}

// WithKept returns the prediction for a call of whose prompt a target there keeps the
// given tokens.
func (a Away) WithKept(tokens int) Away {
	if a.Rate > 0 {
		a.Own = max(baseSpan, a.Own-fromMilliseconds(float64(tokens)/a.Rate))
	}
	return a
}

// Total is the predicted time to the first byte.
func (a Away) Total() time.Duration { return a.Wait + a.Own + a.Trip }

// Question is what a decision depends on.
type Question struct {
	Policy Policy
	// Local is the best target at home, if Here.
	Local Choice
	Here  bool
	// Away are the other regions that may be asked.
	Away []Away
	// Spill are the shares of the work that go to other regions, by region.
	Spill map[string]float64
	// Keeper is the region that keeps the shared parts of the call, if one does.
	Keeper string
	// Keeps tells that the own region is the keeper.
	Keeps bool
	Work  Work
	// Aim is the time to the first byte that is still good; Left is the time
	// until the caller gives up.
	Aim  time.Duration
	Left time.Duration
	// Begun tells that the call may have run, and is only to be brought to its end.
	Begun bool
	// Opens is how long it takes until a target at home is in use again that wants
	// nothing now, 0 if there is none.
	Opens time.Duration
	// Typical is the usual own time of calls like this one.
	Typical time.Duration
	// Spread is a number from 0 to 1 that differs from call to call.
	Spread float64
}

// WithKeeper names the region that keeps the shared parts of the call, whose targets
// have the rest of the prompt to read.
func (q Question) WithKeeper(region, home string) Question {
	q.Keeper, q.Keeps = region, region == home
	away := slices.Clone(q.Away)
	for i, a := range away {
		if a.Region == region {
			away[i] = a.WithKept(sharedTokens(q.Work))
		}
	}
	q.Away = away
	return q
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
	q.Policy = q.Policy.orDefault()
	limit := q.limit()
	if q.Begun && q.Here {
		return Answer{Local: true, Reason: "what was begun goes on"}
	}
	if a, ok := q.keeper(); ok {
		return a
	}
	if a, ok := q.spill(limit); ok {
		return a
	}
	local := q.Local.Prediction
	full := q.Here && q.Policy.strained(q.Work, q.Local.Pause)
	open := q.Here && !full
	if open && (q.Aim == 0 || local.Total() <= Scale(q.Aim, q.Policy.ComfortShare)) {
		return Answer{Local: true, Reason: "in good time"}
	}
	if away, ok := q.nearest(limit); ok && (!open || away.Total()+awayGain < local.Total()) {
		return Answer{Region: away.Region, Reason: "sooner in another region"}
	}
	if open && local.Wait <= limit {
		return Answer{Local: true, Reason: "within the wait that is allowed"}
	}
	return q.refuse(full, limit)
}

// refuse says why a call is begun nowhere, and when its caller is to come back.
func (q Question) refuse(full bool, limit time.Duration) Answer {
	switch {
	case full:
		return Answer{RetryAfter: retryAfter(q, limit), Reason: "the streams pause for too long"}
	case !q.Here && len(q.Away) == 0 && q.Opens > 0:
		return Answer{RetryAfter: retryAfter(q, 0), Reason: "no target"}
	case !q.Here && len(q.Away) == 0:
		return Answer{RetryAfter: q.Policy.AfterRecovery(q.Left, q.Spread), Reason: "no target"}
	default:
		return Answer{RetryAfter: retryAfter(q, limit), Reason: "the wait is too long"}
	}
}

// limit is the longest wait for which a call is begun.
func (q Question) limit() time.Duration {
	if q.Aim == 0 {
		return q.Left
	}
	return min(q.Left, max(q.Aim-q.Typical, Scale(q.Aim, minWaitShare)))
}

// keeper sends a call to the region that keeps its parts.
func (q Question) keeper() (Answer, bool) {
	if q.Keeps && q.Here && !q.Policy.strained(q.Work, q.Local.Pause) && q.Local.Prediction.Total() <= Scale(q.Aim, q.Policy.KeeperShare) {
		return Answer{Local: true, Reason: "the region keeps its parts"}, true
	}
	for _, a := range q.Away {
		if q.Here && a.Region == q.Keeper && !q.Policy.strained(q.Work, a.Pause) && a.Total() <= Scale(q.Aim, q.Policy.KeeperShare) {
			return Answer{Region: a.Region, Reason: "the region that keeps its parts"}, true
		}
	}
	return Answer{}, false
}

// spill sends the region's share for other regions there.
func (q Question) spill(limit time.Duration) (Answer, bool) {
	a, ok := spillTo(q.Spill, q.Away, q.Work)
	if !ok || !q.Here || q.Policy.strained(q.Work, a.Pause) || a.Wait > limit || a.Total() >= max(q.Aim, q.Local.Prediction.Total()) {
		return Answer{}, false
	}
	return Answer{Region: a.Region, Reason: "the region's share for another one", Spilled: true}, true
}

// nearest returns the region with the soonest answer, if it may be begun there.
func (q Question) nearest(limit time.Duration) (Away, bool) {
	var best Away
	for i, a := range q.Away {
		if i == 0 || a.Total() < best.Total() {
			best = a
		}
	}
	return best, len(q.Away) > 0 && !q.Policy.strained(q.Work, best.Pause) && best.Wait <= limit && best.Total() < q.Left
}

// AfterRecovery is when a caller with the given time left is to come back to a host that
// lacks what it needs to serve anyone. How long that lasts is not known. A caller that
// comes back in vain is mostly lost, and one that comes back late is only late; so it
// is told the longest times that callers heed. Spread is a number from 0 to 1 that
// differs from call to call.
func (p Policy) AfterRecovery(left time.Duration, spread float64) time.Duration {
	return max(minRetryAfter, Scale(left, p.orDefault().HeededShare*(1-recoverySpread*spread)))
}

// retryAfter is when the wait is expected to have fallen to half of the limit, and
// not before a target is in use.
func retryAfter(q Question, limit time.Duration) time.Duration {
	over := q.Opens
	if q.Here {
		over = max(0, q.Local.Prediction.Wait-limit/2)
	}
	return minRetryAfter + over + Scale(q.Left, returnShare*q.Spread)
}
