package allowance

import (
	"maps"
	"slices"
	"time"
)

const (
	// transferInterval is the interval of transfers to an owner.
	transferInterval = 400 * time.Millisecond
	// askInterval is the interval at which an owner tells another of its demand, askIntervalPerRegion that for
	// each other region where there are several, so that the traffic does not grow with them.
	askInterval          = 150 * time.Millisecond
	askIntervalPerRegion = 75 * time.Millisecond
	giveInterval         = 150 * time.Millisecond
	// askMargin is how much longer than two intervals a demand holds, so that one message may be lost.
	askMargin = 100 * time.Millisecond
	// giveSeconds is the tokens that an owner wants in each giveInterval, in seconds of its demand of
	// maxDemand times the rate at most: more than is generated meanwhile.
	giveSeconds = 0.2
	maxDemand   = 1.5
	// minDemand is the least demand, as a part of the rate, for which an owner asks.
	minDemand = 1e-6
	// maxFruitless bounds the doublings of the interval of asks that bring no tokens.
	maxFruitless = 3
	// minGiveShare is the least part of what is wanted that is worth a message.
	minGiveShare = 0.01
	// maxAmounts bounds the amounts in one message, so that it fits into a datagram.
	maxAmounts = 24
)

// outgoing collects what is to be sent, by recipient.
type outgoing struct {
	limiter  *Limiter
	messages map[string]*Message
	full     []Message
}

// to returns the message to a host, a further one if the last has no room.
func (o *outgoing) to(host string) *Message {
	m := o.messages[host]
	if m != nil && m.amounts() >= maxAmounts {
		o.full = append(o.full, *m)
		m = nil
	}
	if m == nil {
		o.limiter.sequence++
		m = &Message{To: host, Sequence: o.limiter.sequence}
		o.messages[host] = m
	}
	return m
}

// amounts returns the number of amounts in a message.
func (m *Message) amounts() int {
	n := len(m.Wants) + len(m.Gives)
	for _, t := range m.Transfers {
		n += len(t.Refunds)
	}
	return n
}

// list returns the messages.
func (o *outgoing) list() []Message {
	out := o.full
	for _, host := range slices.Sorted(maps.Keys(o.messages)) {
		out = append(out, *o.messages[host])
	}
	return out
}

// Due returns the messages that are to be sent now. What they carry has been deducted.
func (l *Limiter) Due(now time.Time) []Message {
	l.advance(now)
	l.trim(now)
	o := &outgoing{limiter: l, messages: map[string]*Message{}}
	for i := range l.shards {
		l.transfer(now, i, o)
	}
	gives := !now.Before(l.nextGive)
	if gives {
		l.nextGive = now.Add(giveInterval)
	}
	for i := range l.shards {
		for _, a := range l.shards[i].accounts {
			if gives {
				l.give(now, a, o)
			}
			l.ask(now, a, o)
		}
	}
	for host, w := range l.windows {
		if now.Sub(w.at) > forgetTime {
			delete(l.windows, host)
		}
	}
	return o.list()
}

// transfer sends the pending share-time and refunds of a shard to its owner. A host that leaves, or has a new
// owner, does so at once.
func (l *Limiter) transfer(now time.Time, i int, o *outgoing) {
	s := &l.shards[i]
	if s.released != "" {
		m := o.to(s.released)
		m.Transfers = append(m.Transfers, Transfer{Shard: i, Release: true})
		s.released = ""
	}
	if s.owner == l.self {
		l.keepPending(now, s)
		return
	}
	if now.Before(s.nextTransfer) && !l.fleet.Leaving {
		return
	}
	if s.nextTransfer = s.nextTransfer.Add(transferInterval); !now.Before(s.nextTransfer) {
		s.nextTransfer = now.Add(transferInterval)
	}
	l.handOver(now, s, o)
	t := Transfer{Shard: i, Seconds: s.pendingSeconds, Share: s.pendingShare}
	for _, a := range s.accounts {
		if a.refunds > 0 && len(t.Refunds) < maxAmounts {
			t.Refunds = append(t.Refunds, Amount{Workspace: a.name, Tokens: a.refunds})
			a.refunds = 0
		}
	}
	if t.Seconds == 0 && len(t.Refunds) == 0 {
		return
	}
	s.pendingSeconds, s.pendingShare = 0, 0
	m := o.to(s.owner)
	m.Transfers = append(m.Transfers, t)
	l.stats.TransfersSent++
}

// keepPending moves what was to be transferred into the buckets of a host that has become the owner.
func (l *Limiter) keepPending(now time.Time, s *shard) {
	if s.pendingShare > 0 {
		l.credit(now, s, s.pendingShare)
		s.pendingSeconds, s.pendingShare = 0, 0
	}
	for _, a := range s.accounts {
		if a.refunds > 0 {
			a.add(a.refunds, l.capacity(now, s, a))
			a.refunds = 0
		}
	}
}

// handOver sends the owner the tokens and the overdrafts in buckets of a host that is not the owner, or not
// any longer.
func (l *Limiter) handOver(now time.Time, s *shard, o *outgoing) {
	for _, a := range s.accounts {
		if tokens := a.balance(now); tokens != 0 {
			a.bucket, a.lots = 0, nil
			m := o.to(s.owner)
			m.Gives = append(m.Gives, Amount{Workspace: a.name, Tokens: tokens})
			l.stats.GivesSent++
		}
	}
}

// askInterval returns the interval of asks in a fleet with several regions.
func (l *Limiter) askInterval() time.Duration {
	return max(askInterval, time.Duration(len(l.fleet.Regions)-1)*askIntervalPerRegion)
}

// ask tells the owners in other regions the demand of a workspace for which this owner will lack tokens.
func (l *Limiter) ask(now time.Time, a *account, o *outgoing) {
	demand := min(a.demandNow(now), maxDemand*a.limit.PerSecond)
	if now.Before(a.askAt) || l.shards[a.shard].owner != l.self || demand < minDemand*a.limit.PerSecond || a.balance(now) >= wantSeconds*demand {
		return
	}
	a.fruitless = min(a.fruitless+1, maxFruitless)
	a.askAt = now.Add(l.askInterval() << (a.fruitless - 1))
	others := l.fleet.others(a.shard)
	hosts := 0.0
	for _, r := range others {
		hosts += r.Hosts
	}
	for _, r := range others {
		m := o.to(r.Owners[a.shard])
		m.Wants = append(m.Wants, Amount{Workspace: a.name, Tokens: giveSeconds * demand * r.Hosts / max(1, hosts)})
		l.stats.Asks++
	}
}

// give sends the owners in other regions what they ask for, as far as this one has more than it will need.
func (l *Limiter) give(now time.Time, a *account, o *outgoing) {
	if len(a.asks) == 0 {
		return
	}
	for _, host := range slices.Sorted(maps.Keys(a.asks)) {
		wanted := a.asks[host]
		if !now.Before(wanted.until) {
			delete(a.asks, host)
			continue
		}
		tokens := min(wanted.tokens, a.bucket-keepSeconds*a.demandNow(now))
		if tokens <= minGiveShare*wanted.tokens {
			continue
		}
		a.bucket -= tokens
		m := o.to(host)
		m.Gives = append(m.Gives, Amount{Workspace: a.name, Tokens: tokens})
		l.stats.GivesSent++
	}
}

// Receive applies the message of another host. It returns false for a duplicate.
func (l *Limiter) Receive(now time.Time, host string, incarnation int64, m Message) bool {
	w := l.windows[host]
	if w == nil {
		w = &peerWindow{}
		l.windows[host] = w
	}
	if w.at = now; !w.accept(incarnation, m.Sequence) {
		l.stats.Duplicates++
		return false
	}
	l.advance(now)
	for _, t := range m.Transfers {
		if t.Shard >= 0 && t.Shard < Shards {
			l.receiveTransfer(now, host, t)
		}
	}
	for _, g := range m.Gives {
		if a := l.accounts[g.Workspace]; a != nil {
			a.addLot(now, g.Tokens)
		}
	}
	for _, want := range m.Wants {
		if a := l.accounts[want.Workspace]; a != nil && want.Tokens > 0 {
			a.asks[host] = ask{tokens: want.Tokens, until: now.Add(2*l.askInterval() + askMargin)}
		}
	}
	return true
}

// receiveTransfer applies a transfer.
func (l *Limiter) receiveTransfer(now time.Time, host string, t Transfer) {
	s := &l.shards[t.Shard]
	p := s.senders[host]
	if t.Release {
		delete(s.senders, host)
		s.shareAt = time.Time{}
		return
	}
	if p == nil {
		p = &sender{credit: maxCredit.Seconds(), creditAt: now}
		s.senders[host] = p
		s.shareAt = time.Time{}
	}
	share := p.accept(now, t)
	l.credit(now, s, share)
	for _, r := range t.Refunds {
		if a := l.accounts[r.Workspace]; a != nil && a.shard == t.Shard && r.Tokens > 0 {
			a.add(r.Tokens, l.capacity(now, s, a))
		}
	}
	l.stats.TransfersReceived++
}
