package balance

import "time"

// cachedPart is a part of a prompt that a target has cached.
type cachedPart struct {
	usedAt time.Time
	// readyAt is when the target is expected to have read it.
	readyAt time.Time
}

// addParts records that the target caches the given parts of a prompt. Parts that it did
// not have cached before are available from readyAt on.
func (t *target) addParts(now, readyAt time.Time, parts []partKey) {
	if len(t.parts)+len(parts) > maxParts {
		for id, part := range t.parts {
			if now.Sub(part.usedAt) > partTTL {
				delete(t.parts, id)
			}
		}
	}
	for _, id := range parts {
		part, ok := t.parts[id]
		switch {
		case ok:
			t.parts[id] = cachedPart{usedAt: now, readyAt: part.readyAt}
		case len(t.parts) < maxParts:
			t.parts[id] = cachedPart{usedAt: now, readyAt: readyAt}
		}
	}
}

// cachedTokens returns the number of leading prompt tokens that the target has already read
// and cached.
func (t *target) cachedTokens(now time.Time, w Work) int {
	tokens := 0
	for _, p := range w.Parts {
		part, ok := t.parts[keyOf(p)]
		if !ok || now.Sub(part.usedAt) > partTTL || now.Before(part.readyAt) {
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

// withFetches adds the candidates that fetch cached parts of the prompt from the target
// that has the most of it cached.
func (p Policy) withFetches(w Work, candidates []candidate) []candidate {
	var source *candidate
	for i := range candidates {
		if source == nil || candidates[i].cached > source.cached {
			source = &candidates[i]
		}
	}
	if source == nil || p.MinFetchTokens == 0 || source.cached < p.MinFetchTokens {
		return candidates
	}
	out := candidates
	for _, c := range candidates {
		if fetched := c.unread - (w.Tokens - source.cached); c.ID != source.ID && fetched >= p.MinFetchTokens {
			c.fetchSource, c.fetched, c.unread = source.target, fetched, c.unread-fetched
			out = append(out, c)
		}
	}
	return out
}
