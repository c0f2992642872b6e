package balance

import "time"

// A target that reads prompts one after another delays its streams for the whole busy
// period, however short each prompt is, because each token of a stream waits for a chunk of
// a prompt. Hosts therefore track how long a busy period has lasted. When a prompt would
// make it too long, the host holds the prompt until the target has read its backlog, and
// then chooses a target again. Where targets have coordinators, a prompt is held only for
// targets whose streams are observed to pause; for others, sending at once gives earlier
// first tokens.

// holdPauseShare is the share of the longest acceptable pause that the mean pause of a
// target's streams must exceed in a large region before prompts are held for the target.
const holdPauseShare = 0.4

// minIdle is how long a target has nothing to read before a busy period ends. It is a few
// times the message delay between the hosts of a data centre, so that prompts that hosts
// send without knowing of one another belong to the same busy period.
const minIdle = 10 * time.Millisecond

// busyPeriod tracks the time during which a target reads prompts without a break.
type busyPeriod struct {
	start time.Time // start of the latest busy period
	end   time.Time // when the last prompt was read, if the target is not busy
	busy  bool
}

// update records whether the target has prompts to read.
func (p *busyPeriod) update(now time.Time, busy bool) {
	switch {
	case busy && !p.busy && now.Sub(p.end) >= minIdle:
		p.start = now
	case !busy && p.busy:
		p.end = now
	}
	p.busy = busy
}

// length returns how long the busy period has lasted, 0 if the target is idle.
func (p *busyPeriod) length(now time.Time) time.Duration {
	if !p.busy && now.Sub(p.end) >= minIdle {
		return 0
	}
	return now.Sub(p.start)
}

// updateBusyPeriod records whether prompts of any host wait at the target.
func (t *target) updateBusyPeriod(now time.Time) {
	busy := false
	for f := range t.inFlight {
		busy = busy || (!f.firstByteSeen && f.unread > 0)
	}
	for _, s := range t.peerShares {
		busy = busy || (s.valid(now) && s.backlog(priorityClasses) > 0)
	}
	t.busyPeriod.update(now, busy)
}
