package gateway

import (
	"maps"
	"sync"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// maxOutboxEvents bounds the changes that wait for one host.
const maxOutboxEvents = 1024

// outboxes hold the updates that wait for other hosts. Updates for a host that hangs are joined, so that it
// gets all of them at once, and at the age of the newest.
type outboxes struct {
	mu     sync.Mutex
	byHost map[string]*outbox
}

type outbox struct {
	updates []catalogue.Update
	sending bool
}

func newOutboxes() *outboxes { return &outboxes{byHost: map[string]*outbox{}} }

// Put queues an update for a host. If too many changes wait, it drops all but the update and returns false.
func (o *outboxes) Put(host string, u catalogue.Update) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.byHost[host]
	if box == nil {
		box = &outbox{}
		o.byHost[host] = box
	}
	box.updates = joined(append(box.updates, u))
	if len(box.updates) <= maxQueuedUpdates && countEvents(box.updates) <= maxOutboxEvents {
		return true
	}
	box.updates = []catalogue.Update{u}
	return false
}

// Begin reports whether updates wait for a host to which none is being sent. The caller then sends those that
// Take returns until it returns none or one fails.
func (o *outboxes) Begin(host string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.byHost[host]
	if box == nil || box.sending || len(box.updates) == 0 {
		return false
	}
	box.sending = true
	return true
}

// Take removes the first update that waits for a host. If there is none, it returns false, and sending ends.
func (o *outboxes) Take(host string) (catalogue.Update, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.byHost[host]
	if box == nil {
		return catalogue.Update{}, false
	}
	if len(box.updates) == 0 {
		box.sending = false
		return catalogue.Update{}, false
	}
	u := box.updates[0]
	box.updates = box.updates[1:]
	return u, true
}

// Return puts back an update that has failed, so that it waits for the next Begin. It returns how many wait.
func (o *outboxes) Return(host string, u catalogue.Update) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.byHost[host]
	if box == nil {
		return 0
	}
	box.sending = false
	box.updates = joined(append([]catalogue.Update{u}, box.updates...))
	return len(box.updates)
}

// Retain drops the updates for all but the given hosts, unless one is being sent.
func (o *outboxes) Retain(hosts map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.byHost, func(host string, box *outbox) bool { return !hosts[host] && !box.sending })
}

// joined returns updates with those joined that can be.
func joined(updates []catalogue.Update) []catalogue.Update {
	var out []catalogue.Update
	for _, u := range updates {
		if n := len(out); n > 0 {
			if both, ok := out[n-1].Then(u); ok {
				out[n-1] = both
				continue
			}
		}
		out = append(out, u)
	}
	return out
}

func countEvents(updates []catalogue.Update) int {
	n := 0
	for _, u := range updates {
		n += len(u.Events)
	}
	return n
}
