package route

import (
	"fmt"
	"slices"
)

// Unit is what a quota counts.
type Unit int

// The units.
const (
	// Calls counts each call as one.
	Calls Unit = iota
	// Tokens counts the tokens of the prompt and those that the call may generate.
	Tokens
)

// String returns the unit's name.
func (u Unit) String() string { return [...]string{"Calls", "Tokens"}[u] }

// Quota bounds the calls of a workspace at all hosts together. The zero Quota has no bound.
type Quota struct {
	// PerSecond is the sustained rate and Burst what may exceed it at once, both in Unit. A PerSecond of 0
	// means that there is no bound.
	PerSecond float64
	Burst     float64
	Unit      Unit
	// PlainTokens is the cost of a call that states no tokens, where Unit is Tokens.
	PlainTokens float64
}

// Limited reports whether the quota has a bound.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns what a call with the given number of tokens counts; tokens is negative for a call that states
// none.
func (q Quota) Cost(tokens float64) float64 {
	switch {
	case q.Unit == Calls:
		return 1
	case tokens < 0:
		return q.PlainTokens
	default:
		return tokens
	}
}

// Workspace is a customer of the operator. Its callers identify themselves by one of its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route. It is nil for workspaces without one.
	Priority *int
	// HomeRegions are the regions that may serve the workspace; empty means all.
	HomeRegions []string
	Quota       Quota
}

// For returns the route as it applies to the calls of a workspace, nil for calls without one.
func (r *Route) For(w *Workspace) *Route {
	if w == nil || w.Priority == nil && len(w.HomeRegions) == 0 {
		return r
	}
	out := *r
	out.WorkspaceRegions = w.HomeRegions
	if w.Priority != nil {
		out.Priority = *w.Priority
	}
	return &out
}

// checkWorkspaces adds what is wrong with the workspaces of a document.
func (c *checker) checkWorkspaces(list []Workspace) {
	names, holders := map[string]bool{}, keyHolders(list)
	for i, w := range list {
		path := fmt.Sprintf("Workspaces[%d]", i)
		c.problems.Require(w.Name != "" && !names[w.Name], path+".Name", "expected a unique name, got %q", w.Name)
		names[w.Name] = true
		for j, key := range w.Keys {
			keyPath := fmt.Sprintf("%s.Keys[%d]", path, j) // the problem does not show the key
			c.problems.Require(key != "", keyPath, "expected a key")
			c.problems.Require(key == "" || holders[key] == 1, keyPath, "expected a key of one workspace only")
		}
		c.problems.Require(w.Priority == nil || *w.Priority >= 0, path+".Priority", "expected no negative priority")
		q := w.Quota
		c.problems.Require(q.PerSecond >= 0 && q.Burst >= 0 && q.PlainTokens >= 0, path+".Quota", "expected no negative figures, got %g, %g and %g", q.PerSecond, q.Burst, q.PlainTokens)
	}
}

// keyHolders returns the number of workspaces that hold each key.
func keyHolders(list []Workspace) map[string]int {
	holders := map[string]int{}
	for _, w := range list {
		for _, key := range slices.Compact(slices.Sorted(slices.Values(w.Keys))) {
			holders[key]++
		}
	}
	return holders
}

// usableWorkspaces returns the workspaces that can be used, and adds the wrong fields that it corrects or
// leaves out. A key that several workspaces hold identifies none of them.
func usableWorkspaces(list []Workspace, problems *Problems) []Workspace {
	var out []Workspace
	names, holders := map[string]bool{}, keyHolders(list)
	for i, w := range list {
		path := fmt.Sprintf("Workspaces[%d]", i)
		if w.Name == "" || names[w.Name] {
			problems.Add(path+".Name", "expected a unique name, got %q", w.Name)
			continue
		}
		names[w.Name] = true
		var keys []string
		for j, key := range w.Keys {
			if key == "" || holders[key] > 1 {
				problems.Add(fmt.Sprintf("%s.Keys[%d]", path, j), "expected a key of one workspace only")
				continue
			}
			keys = append(keys, key)
		}
		w.Keys = keys
		if w.Priority != nil && *w.Priority < 0 {
			problems.Add(path+".Priority", "expected no negative priority, got %d", *w.Priority)
			w.Priority = nil
		}
		for _, field := range []struct {
			name  string
			value *float64
		}{{"PerSecond", &w.Quota.PerSecond}, {"Burst", &w.Quota.Burst}, {"PlainTokens", &w.Quota.PlainTokens}} {
			if !(*field.value >= 0) {
				problems.Add(path+".Quota."+field.name, "expected no negative figure, got %g", *field.value)
				*field.value = 0
			}
		}
		out = append(out, w)
	}
	return out
}
