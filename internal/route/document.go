// Package route holds the configuration of what callers may ask for: routes by
// host and path, the services behind them, and the limits on callers. The
// package does no I/O.
package route

import "time"

// Kind says what may be repeated on a route.
type Kind int

// The kinds.
const (
	// Idempotent calls may run more than once.
	Idempotent Kind = iota
	// Once calls run at most once.
	Once
	// Stream calls are answered by events, and run at most once unless they may
	// be resumed.
	Stream
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"Idempotent", "Once", "Stream"}[k] }

// Split is a service with its share of a route's calls.
type Split struct {
	Service string
	Weight  int
}

// Route says what becomes of the calls to a host and a path.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the whole call. Zero leaves it to the caller's deadline.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event, that is still good.
	TargetLatency time.Duration
	// MaxGap is the longest pause between two events that is still good.
	MaxGap time.Duration
	// Priority orders routes of one service; 0 goes first.
	Priority int
	// MaxAttempts bounds the targets that one call may be sent to.
	MaxAttempts int
	Splits      []Split
	// HomeRegions are the regions that may serve the route; none means all.
	HomeRegions []string
	// Sticky routes carry prompts whose parts targets keep.
	Sticky bool
	// Resumable streams go on at another target after their last event.
	Resumable bool
}

// Repeatable reports whether a call may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// MayServe reports whether a region may serve the route.
func (r *Route) MayServe(region string) bool {
	if len(r.HomeRegions) == 0 {
		return true
	}
	for _, home := range r.HomeRegions {
		if home == region {
			return true
		}
	}
	return false
}

// Service is a set of targets that answer the same calls.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all hosts to one target.
	MaxConnections int
	// ColdStart is how long a target is slow after its start.
	ColdStart time.Duration
	// ColdPerSecond is the rate of calls that a cold target bears.
	ColdPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}
