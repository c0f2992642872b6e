package gateway

// followHomes lets the call go by the newest configuration if the homes of its route have changed since it
// came. A host that cannot show that its configuration is in force asks the others first. It returns the reply to a call
// that cannot go on.
func (c *activeCall) followHomes() (reply, bool) {
	c.gateway.seekEvidence(c.ctx)
	if !c.homesChanged() {
		return reply{}, false
	}
	if !c.reroute() || (c.maybeRun && !c.mayRetry()) {
		return c.hostReply("the homes of the route have changed", c.gateway.jitter(shortRetryAfter)), true
	}
	c.addStep("goes on by version %d, with other homes", c.version)
	return reply{}, false
}

// homesChanged reports whether a newer configuration than that of the call has other homes for it.
func (c *activeCall) homesChanged() bool {
	table, path := c.gateway.catalogue.Snapshot().Table, pathOf(c.meta.Target)
	if table.Version() <= c.version {
		return false
	}
	r := table.Find(c.meta.Host, path)
	if r == nil {
		return table.Withholds(c.meta.Host, path)
	}
	return !r.For(c.gateway.workspaceIn(table, c.credential)).Homes().Equal(c.route.Homes())
}
