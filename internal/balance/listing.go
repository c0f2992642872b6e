package balance

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

// A host that has just started does not know which parts targets have cached from earlier
// prompts. One host of the region asks each target for a list and sends it to the others.

const (
	// listDelay is how long a host waits before it asks a target for a list, so that it
	// knows the other hosts of the region by then.
	listDelay = 300 * time.Millisecond
	// listFallbackDelay is how long a host waits for the list of a target that is assigned
	// to another host before it asks itself.
	listFallbackDelay = 1200 * time.Millisecond
	// listRetryInterval is the interval between requests to a target that returned no list,
	// and maxListAttempts the number of requests in all.
	listRetryInterval = 2 * time.Second
	maxListAttempts   = 3
	// minListedTokens is the smallest length of a part that is included in a listing.
	minListedTokens = 1000
)

// listing is the state of requesting the list of cached parts from a target.
type listing struct {
	done     bool
	nextAt   time.Time // earliest time of the next attempt
	attempts int
}

// CacheListing is the list of parts that a target has cached, as sent to the other hosts of
// a region.
type CacheListing struct {
	Target string    `cbor:"1,keyasint"`
	Parts  []partKey `cbor:"2,keyasint"`
}

// DueListings returns the targets that the host must now ask for their cached parts, and
// counts the attempt.
func (b *Balancer) DueListings(now time.Time) []catalogue.Target {
	if !b.policy.ListKept {
		return nil
	}
	var out []catalogue.Target
	for _, t := range b.targets {
		if t.listing.done || !b.promptServices[t.Service] || t.listing.attempts >= maxListAttempts {
			continue
		}
		assigned := t.assigned.host == b.hosts.Self
		if t.listing.nextAt.IsZero() {
			t.listing.nextAt = now.Add(listDelay)
			if !assigned {
				t.listing.nextAt = now.Add(listFallbackDelay)
			}
		}
		if !now.Before(t.listing.nextAt) && (assigned || !b.Coordinated()) && b.admitListing(now, t, assigned) {
			t.listing.nextAt = now.Add(listRetryInterval)
			t.listing.attempts++
			out = append(out, t.Target)
		}
	}
	return out
}

// admitListing reports whether a target may be asked for a list now. At a cold target and one
// with a limit, a request counts like a call, and only the host that the target is assigned to
// sends one.
func (b *Balancer) admitListing(now time.Time, t *target, assigned bool) bool {
	if t.restricted(now) && !b.admitCold(now, t).Granted {
		return false
	}
	return !t.limit.Limited || (assigned && b.takeToken(now, t, priorityClasses-1))
}

// RecordListing records the parts that a target reports as cached, and returns the listing
// for the other hosts.
func (b *Balancer) RecordListing(now time.Time, id string, parts []Part) CacheListing {
	list := CacheListing{Target: id}
	for _, p := range parts {
		if p.Tokens >= minListedTokens {
			list.Parts = append(list.Parts, keyOf(p))
		}
	}
	b.ApplyListing(now, list)
	return list
}

// ApplyListing records a listing of a target's cached parts.
func (b *Balancer) ApplyListing(now time.Time, list CacheListing) {
	if t := b.targets[list.Target]; t != nil {
		t.listing.done = true
		t.addParts(now, now, list.Parts)
	}
}
