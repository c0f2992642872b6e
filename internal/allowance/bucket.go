package allowance

import (
	"math"
	"time"
)

const (
	// maxOverdraft is the most by which a call may exceed the tokens of an owner: the cost of a large call.
	// Without an overdraft, small calls would take all tokens before there are enough for a large one.
	maxOverdraft = 60_000
	// fleetOverdraft and overdraftShare bound the overdraft of all owners but one together: an amount, and a
	// part of what the quota allows in quotaWindow. With maxOverdraft of one owner it is less than the slack
	// of 140,000 tokens, see also slackBurst.
	fleetOverdraft = 40_000
	overdraftShare = 0.02
	quotaWindow    = 8 // seconds
	// minBurstSeconds is the least size of the buckets in seconds of the rate: the transfers of several hosts
	// come at once.
	minBurstSeconds = 0.4
	// slackBurst bounds what buckets hold beyond the burst where the rate is low: a bucket of one region must
	// hold a whole call. With the overdrafts it is within the slack of 140,000 tokens.
	slackBurst = 40_000
	// lotTTL and maxLotSeconds bound the tokens that come from other regions, which are not part of the
	// bucket.
	lotTTL        = time.Second
	maxLotSeconds = 0.3
	// demandTime is the time constant of the mean of demand.
	demandTime = 500 * time.Millisecond
	// wantSeconds is the time for which an owner wants to have tokens, and keepSeconds that for which others
	// keep them.
	wantSeconds = 0.4
	keepSeconds = 0.5
)

// Limit is the quota of a workspace.
type Limit struct{ PerSecond, Burst float64 }

// burst returns the size of the buckets of all owners together.
func (l Limit) burst() float64 {
	return max(l.Burst+min(l.PerSecond, slackBurst), minBurstSeconds*l.PerSecond)
}

// overdraft returns the overdraft of an owner with a share of the fleet.
func (l Limit) overdraft(share float64) float64 {
	return min(maxOverdraft, share*(fleetOverdraft+overdraftShare*(quotaWindow*l.PerSecond+l.Burst)))
}

// lot is tokens from another region.
type lot struct {
	tokens  float64
	expires time.Time
}

// ask is what the owner in another region wants in each giveInterval.
type ask struct {
	tokens float64
	until  time.Time
}

// account is what a host knows of a workspace.
type account struct {
	name            string
	limit           Limit
	shard           int
	overdraftRegion string
	// bucket may be negative, down to the overdraft.
	bucket   float64
	lots     []lot
	demand   float64 // tokens per second
	demandAt time.Time
	asks     map[string]ask // by host
	refunds  float64        // for the next transfer
	// askAt is the earliest time of the next ask, and fruitless the number of asks since tokens came last.
	askAt     time.Time
	fruitless int
}

// add adds tokens to the bucket, up to a capacity.
func (a *account) add(tokens, capacity float64) {
	a.bucket = min(a.bucket+tokens, capacity)
}

// addLot adds tokens from another host. They are negative if that hands over an overdraft.
func (a *account) addLot(now time.Time, tokens float64) {
	if tokens <= 0 {
		a.bucket += max(tokens, -maxOverdraft)
		return
	}
	a.fruitless = 0
	if a.bucket < 0 {
		repaid := min(tokens, -a.bucket)
		a.bucket += repaid
		tokens -= repaid
	}
	tokens = min(tokens, maxLotSeconds*a.limit.PerSecond-a.lotTokens(now))
	if tokens > 0 {
		a.lots = append(a.lots, lot{tokens: tokens, expires: now.Add(lotTTL)})
	}
}

// lotTokens returns the tokens of the lots, without those that have expired.
func (a *account) lotTokens(now time.Time) float64 {
	for len(a.lots) > 0 && !now.Before(a.lots[0].expires) {
		a.lots = a.lots[1:]
	}
	sum := 0.0
	for _, l := range a.lots {
		sum += l.tokens
	}
	return sum
}

// balance returns the tokens that calls may use.
func (a *account) balance(now time.Time) float64 { return a.bucket + a.lotTokens(now) }

// take takes the cost of a call if that does not exceed the balance by more than an overdraft.
func (a *account) take(now time.Time, cost, overdraft float64) bool {
	if balance := a.balance(now); balance <= 0 || cost > balance+overdraft {
		return false
	}
	for len(a.lots) > 0 && cost > 0 {
		used := min(cost, a.lots[0].tokens)
		cost -= used
		if a.lots[0].tokens -= used; a.lots[0].tokens <= 0 {
			a.lots = a.lots[1:]
		}
	}
	a.bucket -= cost
	return true
}

// observe adds a call to the demand.
func (a *account) observe(now time.Time, cost float64) {
	a.demand = a.demandNow(now) + min(cost, quotaWindow*a.limit.PerSecond+a.limit.burst())/demandTime.Seconds()
	a.demandAt = now
}

// demandNow returns the demand in tokens per second.
func (a *account) demandNow(now time.Time) float64 {
	if a.demand == 0 {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandTime.Seconds())
}
