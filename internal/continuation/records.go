package continuation

import "time"

// maxRecords bounds the streams of one generation. With more of them, streams are remembered for
// less time.
const maxRecords = 1 << 15

// Records holds the versions of the streams that began lately. It keeps two generations, of which
// the older one is dropped as a whole.
type Records struct {
	retention         time.Duration
	current, previous map[StreamKey]Version
	startedAt         time.Time // of the current generation
}

// NewRecords returns empty Records that keep each stream for the retention time, and for twice
// that time at most.
func NewRecords(retention time.Duration) *Records {
	return &Records{retention: retention, current: map[StreamKey]Version{}}
}

// Add records the version of a stream.
func (r *Records) Add(now time.Time, key StreamKey, v Version) {
	r.rotate(now)
	if len(r.current) >= maxRecords {
		r.previous, r.current, r.startedAt = r.current, map[StreamKey]Version{}, now
	}
	r.current[key] = v
}

// Find returns the version of a stream, or Unknown.
func (r *Records) Find(now time.Time, key StreamKey) Version {
	r.rotate(now)
	if v, ok := r.current[key]; ok {
		return v
	}
	return r.previous[key]
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.current) + len(r.previous) }

func (r *Records) rotate(now time.Time) {
	switch age := now.Sub(r.startedAt); {
	case age >= 2*r.retention:
		r.previous, r.current, r.startedAt = nil, map[StreamKey]Version{}, now
	case age >= r.retention:
		r.previous, r.current, r.startedAt = r.current, map[StreamKey]Version{}, now
	}
}
