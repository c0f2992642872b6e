package balance

import "time"

// A target that reads prompts one after another holds its streams up for as long as
// that goes on, however short each prompt is: each token of a stream waits for a
// piece of a prompt. So hosts know how long such a spell has lasted, and hold a
// prompt back when it would make the spell too long, until the target has read what
// it has; then they choose anew. Where targets have coordinators, a prompt is held only
// for a target whose streams are seen to pause: elsewhere first tokens come sooner.

// holdFrom is the part of the longest good pause that the mean pause of a target's
// streams must reach in a large region before prompts are held for it.
const holdFrom = 0.4

// rest is how long a target has nothing to read when a spell ends: a few times what
// word of a call takes between the hosts of a data centre, so that prompts that hosts
// send without knowing of one another are of one spell.
const rest = 10 * time.Millisecond

// spell is the time in which a target reads prompts without a rest.
type spell struct {
	from  time.Time // when it began
	until time.Time // when the last prompt was read, if none is left
	reads bool
}

// note takes whether the target has prompts to read.
func (s *spell) note(now time.Time, reads bool) {
	switch {
	case reads && !s.reads && now.Sub(s.until) >= rest:
		s.from = now
	case !reads && s.reads:
		s.until = now
	}
	s.reads = reads
}

// lasts returns how long the spell has lasted, 0 when the target rests.
func (s *spell) lasts(now time.Time) time.Duration {
	if !s.reads && now.Sub(s.until) >= rest {
		return 0
	}
	return now.Sub(s.from)
}

// noteSpell notes whether any host's prompts wait at the target.
func (t *target) noteSpell(now time.Time) {
	reads := false
	for f := range t.flying {
		reads = reads || (!f.first && f.unread > 0)
	}
	for _, s := range t.shares {
		reads = reads || (s.valid(now) && s.backlog(ranksTold) > 0)
	}
	t.spell.note(now, reads)
}
