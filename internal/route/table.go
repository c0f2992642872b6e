package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiarack/sequoiarack/internal/permission"
)

// Table finds the route of a call. It is immutable.
type Table struct {
	document Document
	hosts    map[string][]entry // longest path prefix first
	services map[string]*Service
	// longestStream is the longest timeout of a streaming route, endlessStream whether one has none.
	longestStream time.Duration
	endlessStream bool
}

// entry is a path prefix of a host.
type entry struct {
	prefix string
	route  *Route // nil if the route is withheld
}

// NewTable checks a document and returns its Table.
func NewTable(d Document) (*Table, error) {
	if err := Check(d); err != nil {
		return nil, err
	}
	t := &Table{document: d, hosts: map[string][]entry{}, services: map[string]*Service{}}
	for _, l := range d.Withheld { // before the routes, of which one may have the same prefix
		t.hosts[l.Host] = append(t.hosts[l.Host], entry{prefix: l.PathPrefix})
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], entry{prefix: r.PathPrefix, route: r})
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b entry) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for _, r := range d.Routes {
		if r.Kind == Stream {
			t.longestStream = max(t.longestStream, r.Timeout)
			t.endlessStream = t.endlessStream || r.Timeout == 0
		}
	}
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.document.Version }

// Limits returns the limits on requests of callers.
func (t *Table) Limits() Limits { return t.document.Limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.document.Routes) }

// Find returns the route of the host with the longest matching path prefix, or nil if there is none or it
// is withheld. The host may include a port.
func (t *Table) Find(host, path string) *Route {
	e, _ := t.match(host, path)
	return e.route
}

// Withholds reports whether the route that Find looks for is withheld.
func (t *Table) Withholds(host, path string) bool {
	e, ok := t.match(host, path)
	return ok && e.route == nil
}

// match returns the entry of the host with the longest matching path prefix, and false if there is none.
func (t *Table) match(host, path string) (entry, bool) {
	for _, e := range t.entriesOf(host) {
		if strings.HasPrefix(path, e.prefix) {
			return e, true
		}
	}
	return entry{}, false
}

// entriesOf returns the entries of a host, which may include a port.
func (t *Table) entriesOf(host string) []entry {
	if list, ok := t.hosts[host]; ok {
		return list
	}
	name, _, _ := strings.Cut(host, ":")
	return t.hosts[name]
}

// Homes returns the regions that may serve every route of a host: none for a host without routes, or of which
// one is withheld.
func (t *Table) Homes(host string) permission.Homes {
	list := t.entriesOf(host)
	if len(list) == 0 {
		return permission.Nowhere()
	}
	var out permission.Homes
	for _, e := range list {
		if e.route == nil {
			return permission.Nowhere()
		}
		out = out.WithAll(e.route.Homes())
	}
	return out
}

// LongestStream returns the longest time for which a stream lasts, or fallback if a streaming route
// has no timeout.
func (t *Table) LongestStream(fallback time.Duration) time.Duration {
	if t.endlessStream {
		return fallback
	}
	return t.longestStream
}

// RequiresKeys reports whether calls must carry the key of a workspace, except on public routes.
func (t *Table) RequiresKeys() bool { return t.document.RequiresKeys }

// Workspaces returns the workspaces of the configuration. The caller must not change them.
func (t *Table) Workspaces() []Workspace { return t.document.Workspaces }

// Service returns a service of the configuration, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HomeRegionCounts returns how many routes of a host each region may serve. It leaves out
// routes that every region may serve.
func (t *Table) HomeRegionCounts(host string) map[string]int {
	counts := map[string]int{}
	for _, e := range t.entriesOf(host) {
		if e.route == nil {
			continue
		}
		for _, region := range e.route.HomeRegions {
			counts[region]++
		}
	}
	return counts
}

// PickService picks the service for a call in proportion to the weights of the splits. The
// same call ID always yields the same service.
func (r *Route) PickService(callID string) string {
	totalWeight := 0
	for _, s := range r.Splits {
		totalWeight += s.Weight
	}
	point := int(xxhash.Sum64String(callID) % uint64(totalWeight))
	for _, s := range r.Splits {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
