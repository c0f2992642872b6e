// Package quarantine rejects requests during which targets have crashed. It
// identifies requests by keyed digests, so that no data leaves its region. The
// package does no I/O.
package quarantine

import "time"

const (
	defaultCrashThreshold = 2
	reportLifetime        = time.Hour // since the last report on a digest
	maxDigests            = 4096
)

// record holds the crash reports on a digest.
type record struct {
	crashIDs   map[string]struct{} // as in CrashReport
	reportedAt time.Time           // last report
}

// CrashReport reports that a target crashed while it ran a request.
type CrashReport struct {
	Digest string `json:"Digest"`
	// CrashID identifies the target and the time or incarnation of the crash, so that a
	// crash that several hosts report counts once.
	CrashID string `json:"Death"`
}

// Registry collects crash reports by digest. It is not safe for concurrent use.
type Registry struct {
	records        map[string]*record
	crashThreshold int // number of crashes that quarantine a digest
}

// Option configures a Registry.
type Option func(*Registry)

// WithCrashThreshold sets the number of crashes that quarantine a digest.
func WithCrashThreshold(n int) Option { return func(r *Registry) { r.crashThreshold = n } }

// NewRegistry returns an empty Registry.
func NewRegistry(options ...Option) *Registry {
	r := &Registry{records: map[string]*record{}, crashThreshold: defaultCrashThreshold}
	for _, option := range options {
		option(r)
	}
	return r
}

// Status is the quarantine status of a digest.
type Status int

// Quarantine statuses.
const (
	// Clear digests have no recent crash reports. Their requests run normally.
	Clear Status = iota
	// Suspected digests have at least one crash, but fewer than the threshold. Their
	// requests run one at a time.
	Suspected
	// Quarantined digests have reached the threshold. Their requests are refused.
	Quarantined
)

// Add records a crash report. It returns false if the crash is already known, or if
// there are too many digests.
func (r *Registry) Add(now time.Time, report CrashReport) bool {
	rec := r.records[report.Digest]
	if rec == nil {
		r.sweep(now)
		if len(r.records) >= maxDigests {
			return false
		}
		rec = &record{crashIDs: map[string]struct{}{}}
		r.records[report.Digest] = rec
	}
	rec.reportedAt = now
	if _, ok := rec.crashIDs[report.CrashID]; ok {
		return false
	}
	rec.crashIDs[report.CrashID] = struct{}{}
	return true
}

// Status returns the status of a digest.
func (r *Registry) Status(now time.Time, digest string) Status {
	rec := r.records[digest]
	switch {
	case rec == nil || now.Sub(rec.reportedAt) > reportLifetime:
		return Clear
	case len(rec.crashIDs) >= r.crashThreshold:
		return Quarantined
	default:
		return Suspected
	}
}

func (r *Registry) sweep(now time.Time) {
	for digest, rec := range r.records {
		if now.Sub(rec.reportedAt) > reportLifetime {
			delete(r.records, digest)
		}
	}
}

// Len returns the number of digests with crash reports.
func (r *Registry) Len() int { return len(r.records) }
