package gateway

import (
	"maps"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// defaultWordPatience is a few times the way between the data centres of a region.
const defaultWordPatience = 12 * time.Millisecond

// question asks the coordinator of targets what they would be like for a call.
type question struct {
	Number  uint64         `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	Rank    int            `cbor:"3,keyasint"`
	Tokens  int            `cbor:"4,keyasint"`
	Parts   []balance.Part `cbor:"5,keyasint,omitempty"`
	Targets []string       `cbor:"6,keyasint"`
}

// word is the answer to a question.
type word struct {
	Number uint64                        `cbor:"1,keyasint"`
	Loads  map[string]balance.TargetLoad `cbor:"2,keyasint"`
}

// confer asks the coordinators of some targets before the call is sent to one. It
// asks none in a small region.
func (f *flight) confer() {
	g := f.g
	asked, own := g.ask(f)
	f.work.Loads = own
	if len(asked.to) == 0 {
		return
	}
	defer g.forgetQuestion(asked.number)
	for host, targets := range asked.to {
		g.sendShare(shareMessage{Question: &question{
			Number: asked.number, Service: f.work.Service, Rank: f.work.Priority, Tokens: f.work.Tokens, Parts: f.work.Parts, Targets: targets,
		}}, g.infos([]string{host}))
	}
	late := g.clock.After(g.wordPatience)
	for range asked.to {
		select {
		case w := <-asked.words:
			maps.Copy(f.work.Loads, w.Loads)
		case <-late:
			g.metrics.add("words_late_total", 1)
			return
		case <-f.ctx.Done():
			return
		}
	}
}

// asking is a question that waits for words.
type asking struct {
	number uint64
	to     map[string][]string // targets by coordinator
	words  chan word
}

// ask picks the targets to ask about, and answers for those that the host
// coordinates itself.
func (g *Gateway) ask(f *flight) (asking, map[string]balance.TargetLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := asking{to: map[string][]string{}}
	if !g.book.Coordinated() {
		return out, nil
	}
	now := g.clock.Now()
	own := map[string]balance.TargetLoad{}
	for _, id := range g.book.Candidates(now, f.work, f.tried) {
		host := g.book.CoordinatorOf(id)
		if host != g.settings.Host {
			out.to[host] = append(out.to[host], id)
		} else if load, ok := g.book.LoadOf(now, id, f.work); ok {
			own[id] = load
		}
	}
	if len(out.to) > 0 {
		g.asked++
		out.number, out.words = g.asked, make(chan word, len(out.to))
		g.askings[out.number] = out
	}
	return out, own
}

func (g *Gateway) forgetQuestion(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.askings, number)
}

// answer tells a host what the targets that it asks about would be like for a call.
func (g *Gateway) answer(host string, q question) {
	w := word{Number: q.Number, Loads: map[string]balance.TargetLoad{}}
	work := balance.Work{Service: q.Service, Priority: q.Rank, Tokens: q.Tokens, Parts: q.Parts}
	g.mu.Lock()
	now := g.clock.Now()
	for _, id := range q.Targets {
		if load, ok := g.book.LoadOf(now, id, work); ok {
			w.Loads[id] = load
		}
	}
	g.mu.Unlock()
	g.sendShare(shareMessage{Word: &w}, g.infos([]string{host}))
}

// hear takes the answer to a question, unless nobody waits for it any more.
func (g *Gateway) hear(w word) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a, ok := g.askings[w.Number]; ok {
		select {
		case a.words <- w:
		default: // told twice
		}
	}
}

// tellChange tells other hosts what this one has at a target now, after a call with
// the given work has begun there, or with empty work for other changes.
func (g *Gateway) tellChange(id string, w balance.Work) {
	g.telling.Lock()
	defer g.telling.Unlock()
	g.mu.Lock()
	c, ok := g.book.ChangeFor(g.clock.Now(), id, w)
	to := g.book.ChangeRecipients(id)
	g.mu.Unlock()
	if ok {
		g.sendShare(shareMessage{Changes: []balance.Change{c}}, g.infos(to))
	}
}

// repeatChanges tells the coordinators of targets again what the host has there.
func (g *Gateway) repeatChanges(now time.Time) {
	g.telling.Lock()
	defer g.telling.Unlock()
	to := map[string][]balance.Change{}
	g.mu.Lock()
	for _, c := range g.book.DueRepeats(now) {
		for _, host := range g.book.ChangeRecipients(c.Target) {
			to[host] = append(to[host], c)
		}
	}
	g.mu.Unlock()
	for host, list := range to {
		g.sendShare(shareMessage{Changes: list}, g.infos([]string{host}))
	}
}

// infos returns what is known of hosts.
func (g *Gateway) infos(hosts []string) []member.Info {
	view := g.gossip.View()
	out := make([]member.Info, 0, len(hosts))
	for _, host := range hosts {
		if info, ok := view.Find(host); ok {
			out = append(out, info)
		}
	}
	return out
}
