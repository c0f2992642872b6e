// Package quarantine stops a request that has ended targets. It works on keyed
// digests of requests, so that no data leaves its region. The package does no
// I/O.
package quarantine

import "time"

const (
	deathsToQuarantine = 2
	evidenceLifetime   = time.Hour
	maxDigests         = 4096
)

type crashes struct {
	deaths map[string]struct{} // incarnations of targets that died
	at     time.Time
}

// CrashReport says that a target died while it ran a request.
type CrashReport struct {
	Digest string `json:"Digest"`
	// CrashID names the target and the moment, so that one death that several
	// hosts see counts once.
	CrashID string `json:"Death"`
}

// Registry collects evidence against digests. Its owner is one goroutine.
type Registry struct {
	digests map[string]*crashes
	deaths  int // that quarantine a digest
}

// Option changes a Register under construction.
type Option func(*Registry)

// WithCrashThreshold sets how many deaths of targets quarantine a digest.
func WithCrashThreshold(n int) Option { return func(r *Registry) { r.deaths = n } }

// NewRegistry returns an empty Register.
func NewRegistry(options ...Option) *Registry {
	r := &Registry{digests: map[string]*crashes{}, deaths: deathsToQuarantine}
	for _, option := range options {
		option(r)
	}
	return r
}

// Status is what a Register says of a digest.
type Status int

// The verdicts.
const (
	// Clear digests are served as any.
	Clear Status = iota
	// Suspected digests were there at one death; they are served one at a time.
	Suspected
	// Quarantined digests are refused.
	Quarantined
)

// Add takes evidence and reports whether it was news.
func (r *Registry) Add(now time.Time, e CrashReport) bool {
	known := r.digests[e.Digest]
	if known == nil {
		r.sweep(now)
		if len(r.digests) >= maxDigests {
			return false
		}
		known = &crashes{deaths: map[string]struct{}{}}
		r.digests[e.Digest] = known
	}
	known.at = now
	if _, ok := known.deaths[e.CrashID]; ok {
		return false
	}
	known.deaths[e.CrashID] = struct{}{}
	return true
}

// Status returns the verdict on a digest.
func (r *Registry) Status(now time.Time, digest string) Status {
	known := r.digests[digest]
	switch {
	case known == nil || now.Sub(known.at) > evidenceLifetime:
		return Clear
	case len(known.deaths) >= r.deaths:
		return Quarantined
	default:
		return Suspected
	}
}

func (r *Registry) sweep(now time.Time) {
	for digest, known := range r.digests {
		if now.Sub(known.at) > evidenceLifetime {
			delete(r.digests, digest)
		}
	}
}

// Len returns the number of digests with evidence.
func (r *Registry) Len() int { return len(r.digests) }
