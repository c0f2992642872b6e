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
				index.workspaces[g.keyDigest(key)] = &list[i]
			}
		}
		g.keyIndex.Store(index)
	}
	return index.workspaces[digest]
}

// keyDigest returns the digest by which hosts name a key to one another.
func (g *Gateway) keyDigest(key string) string {
	return g.signer.Digest([]byte("workspace key"), []byte(key))
}

// identify finds the workspace of the call by its key, or by the digest that another host states. The call keeps
// the digest only.
func (c *activeCall) identify(stated string) {
	table := c.gateway.catalogue.Snapshot().Table
	if !table.RequiresKeys() {
		c.meta.Key = ""
		return
	}
	c.credential = stated
	if stated == "" && c.meta.Key != "" {
		c.credential = c.gateway.keyDigest(c.meta.Key)
	}
	c.meta.Key = ""
	if c.workspace = c.gateway.workspaceIn(table, c.credential); c.workspace == nil {
		return
	}
	if r := table.Find(c.meta.Host, pathOf(c.meta.Target)); r != nil {
		c.setRoute(table, r)
	}
}

// requireWorkspace returns the reply to a call that needs a workspace and has none.
func (c *activeCall) requireWorkspace() (reply, bool) {
	g := c.gateway
	if c.workspace != nil || c.route.Public || !g.catalogue.Snapshot().Table.RequiresKeys() {
		return reply{}, false
	}
	switch {
	case c.meta.AmbiguousKey:
		return c.refuseKey(keyAmbiguous), true
	case c.credential == "":
		return c.refuseKey(keyMissing), true
	case !g.hasRecentNews() && !g.provesKeys(): // the key may be new
		return c.refuseKey(keyUnproven), true
	default:
		return c.refuseKey(keyUnknown), true
	}
}

// refuseKey returns the reply to a call that is refused for its key. A caller may try another host only where
// that may know more of the key.
func (c *activeCall) refuseKey(reason string) reply {
	g := c.gateway
	g.metrics.add(fmt.Sprintf("calls_refused_for_key_total{reason=%q}", reason), 1)
	g.log.Info("A call is refused for its key.", "ID", c.meta.ID, "Reason", reason, "Fingerprint", c.credential[:min(len(c.credential), fingerprintDigits)],
		"Version", c.version, "NewsAgeMs", g.newsAgeMs(g.clock.Now()), "Received", c.fromPeer)
	if reason == keyUnproven || c.maybeRun {
		return c.hostReply(reason, g.jitter(shortRetryAfter))
	}
	return reply{status: fasthttp.StatusUnauthorized, outcome: core.NotRun, reason: reason}
}

// checkKey returns the reply to a call whose key holds no longer, or may not hold.
func (c *activeCall) checkKey() (reply, bool) {
	if problem := c.keyProblem(); problem != "" {
		return c.refuseKey(problem), true
	}
	return reply{}, false
}

// keyProblem returns why the call must not be sent to a target, empty if its key holds or it needs none. The
// key is looked up in the configuration in force, as the call may have waited since it was identified.
func (c *activeCall) keyProblem() string {
	g := c.gateway
	if c.workspace == nil {
		return ""
	}
	g.noticeSuspension()
	if !g.provesKeys() {
		return keyUnproven
	}
	if g.workspaceIn(g.catalogue.Snapshot().Table, c.credential) == nil {
		return keyUnknown
	}
	return ""
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
