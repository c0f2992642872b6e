// Package route holds the routing configuration: routes by host and path, the services that
// they lead to, and the limits on requests of callers. The package does no I/O.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/permission"
)

// Kind is the kind of calls on a route. It determines whether a call may be repeated.
type Kind int

// The kinds.
const (
	// Idempotent calls may run more than once.
	Idempotent Kind = iota
	// Once calls run at most once.
	Once
	// Stream calls are answered by a stream of events. They run at most once unless the
	// route is resumable.
	Stream
	// Unknown is a kind that this build does not know. A Table has no such routes.
	Unknown
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"Idempotent", "Once", "Stream", "Unknown"}[k] }

// Split is a service with its weight among the services of a route.
type Split struct {
	Service string
	Weight  int
}

// Route configures how the calls to a host and a path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the whole call; zero means that only the caller's deadline does.
	Timeout time.Duration
	// LatencyObjective is the longest acceptable time to the response, or to the first event.
	LatencyObjective time.Duration
	// MaxGap is the longest acceptable pause between two events.
	MaxGap time.Duration
	// Priority orders the calls of a service by route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of targets that one call is sent to.
	MaxAttempts int
	Splits      []Split
	// HomeRegions are the regions that may serve the route; empty means all.
	HomeRegions []string
	// Sticky routes carry prompts of which targets cache parts.
	Sticky bool
	// Resumable streams can continue at another target after the last event received.
	Resumable bool
	// Public routes also serve calls without a key.
	Public bool
	// WorkspaceRegions are the regions that may serve the workspace of a call, beside HomeRegions; empty means
	// all. Only the routes that For returns have them.
	WorkspaceRegions []string
}

// Repeatable reports whether a call may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Homes returns the regions that may serve the route.
func (r *Route) Homes() permission.Homes {
	return permission.NewHomes(r.HomeRegions, r.WorkspaceRegions)
}

// Service is a set of targets that answer the same calls.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all hosts together to one target.
	MaxConnections int
	// ColdStart is how long a target is slow after its start.
	ColdStart time.Duration
	// ColdPerSecond is the rate of calls that a cold target can serve.
	ColdPerSecond float64
}

// Limits bound the requests of a caller.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Location is the host and the path prefix of a route.
type Location struct {
	Host       string
	PathPrefix string
}

// isWithholdable reports whether a call can match the location.
func (l Location) isWithholdable() bool { return l.Host != "" && strings.HasPrefix(l.PathPrefix, "/") }

// Document is one version of the configuration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKeys is set if calls must carry the key of a workspace, except on public routes.
	RequiresKeys bool
	Workspaces   []Workspace
	// Withheld are the locations of routes that cannot be used. No region may serve their calls, by
	// routes with shorter path prefixes either.
	Withheld []Location
}

// WithWithheld returns a copy that also withholds a location, if calls can match it.
func (d Document) WithWithheld(l Location) Document {
	if l.isWithholdable() {
		d.Withheld = append(slices.Clone(d.Withheld), l)
	}
	return d
}
