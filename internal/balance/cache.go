package balance

import "time"

// keptPart is a part of a prompt that a target keeps in memory.
type keptPart struct {
	used time.Time
	// ready is when the target is expected to have read it.
	ready time.Time
}

// keep notes that the target keeps the parts of a prompt, once it has read what it
// lacks of it.
func (t *target) keep(now, ready time.Time, parts []partKey) {
	if len(t.parts)+len(parts) > maxParts {
		for id, known := range t.parts {
			if now.Sub(known.used) > partAge {
				delete(t.parts, id)
			}
		}
	}
	for _, id := range parts {
		known, ok := t.parts[id]
		switch {
		case ok:
			t.parts[id] = keptPart{used: now, ready: known.ready}
		case len(t.parts) < maxParts:
			t.parts[id] = keptPart{used: now, ready: ready}
		}
	}
}

// kept counts the tokens of a prompt that the target has read already.
func (t *target) kept(now time.Time, w Work) int {
	tokens := 0
	for _, p := range w.Parts {
		known, ok := t.parts[keyOf(p)]
		if !ok || now.Sub(known.used) > partAge || now.Before(known.ready) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// keysOf returns the keys of parts.
func keysOf(parts []Part) []partKey {
	keys := make([]partKey, 0, len(parts))
	for _, p := range parts {
		keys = append(keys, keyOf(p))
	}
	return keys
}

// withFetches adds the ways to serve a call in which a target fetches what another one
// keeps of the prompt, from the one that keeps the most.
func (p Policy) withFetches(w Work, views []view) []view {
	var source *view
	for i := range views {
		if source == nil || views[i].kept > source.kept {
			source = &views[i]
		}
	}
	if source == nil || p.MinFetchTokens == 0 || source.kept < p.MinFetchTokens {
		return views
	}
	out := views
	for _, v := range views {
		if fetched := v.unread - (w.Tokens - source.kept); v.ID != source.ID && fetched >= p.MinFetchTokens {
			v.source, v.fetched, v.unread = source.target, fetched, v.unread-fetched
			out = append(out, v)
		}
	}
	return out
}
