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

type evidence struct {
	deaths map[string]struct{} // incarnations of targets that died
	at     time.Time
}

// Evidence says that a target died while it ran a request.
type Evidence struct {
	Digest string `json:"Digest"`
	// Death names the target and the moment, so that one death that several
	// hosts see counts once.
	Death string `json:"Death"`
}

// Register collects evidence against digests. Its owner is one goroutine.
type Register struct {
	digests map[string]*evidence
	deaths  int // that quarantine a digest
}

// Option changes a Register under construction.
type Option func(*Register)

// WithDeaths sets how many deaths of targets quarantine a digest.
func WithDeaths(n int) Option { return func(r *Register) { r.deaths = n } }

// NewRegister returns an empty Register.
func NewRegister(options ...Option) *Register {
	r := &Register{digests: map[string]*evidence{}, deaths: deathsToQuarantine}
	for _, option := range options {
		option(r)
	}
	return r
}

// Verdict is what a Register says of a digest.
type Verdict int

// The verdicts.
const (
	// Innocent digests are served as any.
	Innocent Verdict = iota
	// Suspected digests were there at one death; they are served one at a time.
	Suspected
	// Quarantined digests are refused.
	Quarantined
)

// Add takes evidence and reports whether it was news.
func (r *Register) Add(now time.Time, e Evidence) bool {
	known := r.digests[e.Digest]
	if known == nil {
		r.sweep(now)
		if len(r.digests) >= maxDigests {
			return false
		}
		known = &evidence{deaths: map[string]struct{}{}}
		r.digests[e.Digest] = known
	}
	known.at = now
	if _, ok := known.deaths[e.Death]; ok {
		return false
	}
	known.deaths[e.Death] = struct{}{}
	return true
}

// Judge returns the verdict on a digest.
func (r *Register) Judge(now time.Time, digest string) Verdict {
	known := r.digests[digest]
	switch {
	case known == nil || now.Sub(known.at) > evidenceLifetime:
		return Innocent
	case len(known.deaths) >= r.deaths:
		return Quarantined
	default:
		return Suspected
	}
}

func (r *Register) sweep(now time.Time) {
	for digest, known := range r.digests {
		if now.Sub(known.at) > evidenceLifetime {
			delete(r.digests, digest)
		}
	}
}

// Len returns the number of digests with evidence.
func (r *Register) Len() int { return len(r.digests) }
