package gateway

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

const (
	// revocationMargin is subtracted from the time for which a withdrawn key may work. It covers the way of a
	// call to its target, and a watch of the store that misses changes for a moment.
	revocationMargin = 500 * time.Millisecond
	// minRevocationMs leaves a host time for several reads of the store.
	minRevocationMs = 3000
	// fingerprintDigits is the length of the part of a key's digest in logs.
	fingerprintDigits = 8
)

// The reasons for which calls are refused for their key, also for metrics.
const (
	keyMissing   = "the call carries no key"
	keyAmbiguous = "the call carries several keys"
	keyUnknown   = "the key is not known"
	keyUnproven  = "the host cannot prove that the key still holds"
	keyMoved     = "the workspace of the key has changed"
)

// keyIndex has the workspaces of a configuration by the digests of their keys.
type keyIndex struct {
	table      *route.Table
	workspaces map[string]*route.Workspace
}

// workspaceIn returns the workspace of a configuration that holds the key with a digest, or nil.
func (g *Gateway) workspaceIn(table *route.Table, digest string) *route.Workspace {
	if digest == "" {
		return nil
	}
	index := g.keyIndex.Load()
	if index == nil || index.table != table {
		index = &keyIndex{table: table, workspaces: map[string]*route.Workspace{}}
		list := table.Workspaces()
		for i := range list {
			for _, key := range list[i].Keys {
				for _, digest := range g.signer.Digests(keyDomain, []byte(key)) { // hosts may sign with another fleet key
					index.workspaces[digest] = &list[i]
				}
			}
		}
		g.keyIndex.Store(index)
	}
	return index.workspaces[digest]
}

// keyDomain tells digests of keys from others.
var keyDomain = []byte("workspace key")

// identify finds the workspace of the call by its key, or by the digest that another host states. The call keeps
// the digest only.
func (c *activeCall) identify(stated string) {
	c.credential = stated
	if stated == "" && c.meta.Key != "" {
		c.credential = c.gateway.signer.Digest(keyDomain, []byte(c.meta.Key))
	}
	c.meta.Key = ""
	table := c.gateway.catalogue.Snapshot().Table
	if c.workspace = c.gateway.workspaceIn(table, c.credential); c.workspace == nil {
		return
	}
	if r := table.Find(c.meta.Host, pathOf(c.meta.Target)); r != nil {
		c.setRoute(table, r)
		return
	}
	c.route = c.route.For(c.workspace) // the route was removed since the call came
	c.work.Priority = c.route.Priority
}

// refuseKey returns the reply to a call that is refused for its key. A caller may try another host only where
// that may know more of the key.
func (c *activeCall) refuseKey(reason string) reply {
	g := c.gateway
	g.metrics.add(fmt.Sprintf("calls_refused_for_key_total{reason=%q}", reason), 1)
	g.log.Info("A call is refused for its key.", "ID", c.meta.ID, "Reason", reason, "Fingerprint", c.credential[:min(len(c.credential), fingerprintDigits)],
		"Version", c.version, "NewsAgeMs", g.newsAgeMs(g.clock.Now()), "Received", c.fromPeer)
	if reason == keyUnproven || reason == keyMoved || c.maybeRun {
		return c.hostReply(reason, g.jitter(shortRetryAfter))
	}
	return reply{status: fasthttp.StatusUnauthorized, outcome: core.NotRun, reason: reason}
}

// checkKey returns the reply to a call that lacks a key which holds, and lets the call go by the workspace that
// holds its key now.
func (c *activeCall) checkKey() (reply, bool) {
	problem := c.keyProblem()
	if problem == keyMoved && c.reroute() {
		c.addStep("goes on by version %d, for workspace %q", c.version, c.workspaceName())
		problem = c.keyProblem()
	}
	if problem != "" {
		return c.refuseKey(problem), true
	}
	return reply{}, false
}

// keyProblem returns why the call must not be sent to a target, empty if its key holds or it needs none. The
// key is looked up in the configuration in force, as the call may have waited since it was identified.
func (c *activeCall) keyProblem() string {
	g := c.gateway
	table := g.catalogue.Snapshot().Table
	if !table.RequiresKeys() && c.workspace == nil {
		return ""
	}
	g.noticeSuspension()
	holder := g.workspaceIn(table, c.credential)
	switch {
	case holder != nil && c.workspace != nil && holder.Name == c.workspace.Name:
		if !g.provesKeys() {
			return keyUnproven
		}
		return ""
	case holder != nil || c.workspace != nil:
		return keyMoved
	case !c.needsKey(table):
		return ""
	case c.meta.AmbiguousKey:
		return keyAmbiguous
	case c.credential == "":
		return keyMissing
	case !g.hasRecentNews(): // the key may be new
		return keyUnproven
	default:
		return keyUnknown
	}
}

// needsKey reports whether a configuration serves the call for a workspace only.
func (c *activeCall) needsKey(table *route.Table) bool {
	r := table.Find(c.meta.Host, pathOf(c.meta.Target))
	if r == nil {
		r = c.route
	}
	return table.RequiresKeys() && !r.Public
}

// provesKeys reports whether a key that this host knows cannot have been withdrawn for longer than the operator
// allows: the host had all changes of the store a short time ago.
func (g *Gateway) provesKeys() bool {
	if g.settings.RevocationMs == 0 {
		return true
	}
	age, known := g.newsAge(g.clock.Now())
	return known && age < time.Duration(g.settings.RevocationMs*float64(time.Millisecond))-revocationMargin
}

// workspaceName returns the name of the caller's workspace, empty for calls without one.
func (c *activeCall) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
