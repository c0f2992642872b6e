package continuation

import (
	"slices"
	"time"
)

// History holds the versions of each service that were in service lately, as far as this host has
// seen.
type History struct {
	retention time.Duration
	since     time.Time // of the first observation
	services  map[string]map[Version]*period
}

// period is the time in which a version was in service.
type period struct {
	from, to time.Time // to is zero while it lasts, from if it began before the first observation
}

// NewHistory returns an empty History that keeps versions for the retention time after they were
// last in service.
func NewHistory(retention time.Duration) *History {
	return &History{retention: retention, services: map[string]map[Version]*period{}}
}

// Observe records the versions that are in service now, by service.
func (h *History) Observe(now time.Time, versions map[string][]Version) {
	first := h.since.IsZero()
	if first {
		if len(versions) == 0 {
			return
		}
		h.since = now
	}
	for service, list := range versions {
		known := h.services[service]
		if known == nil {
			known = map[Version]*period{}
			h.services[service] = known
		}
		for _, v := range list {
			switch p := known[v]; {
			case p == nil && first:
				known[v] = &period{}
			case p == nil:
				known[v] = &period{from: now}
			default:
				p.to = time.Time{}
			}
		}
	}
	for service, known := range h.services {
		for v, p := range known {
			if p.to.IsZero() && !slices.Contains(versions[service], v) {
				p.to = now
			}
			if !p.to.IsZero() && now.Sub(p.to) >= h.retention {
				delete(known, v)
			}
		}
	}
}

// Only returns the version of a service if no other one was in service within the window, which
// must not exceed the retention time. It returns Unknown if there were several, or if this host
// has not observed for so long.
func (h *History) Only(now time.Time, service string, window time.Duration) Version {
	if h.since.IsZero() || now.Sub(h.since) < window || window > h.retention {
		return Unknown
	}
	return h.single(now, service, window)
}

// single returns the version of a service if this host has seen no other one within the window.
func (h *History) single(now time.Time, service string, window time.Duration) Version {
	only := Unknown
	for v, p := range h.services[service] {
		if !p.to.IsZero() && now.Sub(p.to) >= window {
			continue
		}
		if only != Unknown {
			return Unknown
		}
		only = v
	}
	return only
}

// Agrees reports whether this host has seen no version of a service but the given one within the
// window.
func (h *History) Agrees(now time.Time, service string, v Version, window time.Duration) bool {
	return h.single(now, service, window) == v
}

// Young returns the versions of a service that came into service less than a time ago, if there
// are older ones.
func (h *History) Young(now time.Time, service string, age time.Duration) []Version {
	var young []Version
	old := 0
	for v, p := range h.services[service] {
		switch {
		case !p.to.IsZero():
		case p.from.IsZero() || now.Sub(p.from) >= age:
			old++
		default:
			young = append(young, v)
		}
	}
	if old == 0 {
		return nil
	}
	return young
}
