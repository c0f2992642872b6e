package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a call. It is immutable.
type Table struct {
	document Document
	hosts    map[string][]*Route // longest path prefix first
	services map[string]*Service
	// longestStream is the longest timeout of a streaming route, endlessStream whether one has none.
	longestStream time.Duration
	endlessStream bool
}

// NewTable checks a document and returns its Table.
func NewTable(d Document) (*Table, error) {
	if err := Check(d); err != nil {
		return nil, err
	}
	t := &Table{document: d, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
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

// Find returns the route of the host with the longest matching path prefix, or nil. The host
// may include a port.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.routesOf(host) {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// routesOf returns the routes of a host, which may include a port.
func (t *Table) routesOf(host string) []*Route {
	if list, ok := t.hosts[host]; ok {
		return list
	}
	name, _, _ := strings.Cut(host, ":")
	return t.hosts[name]
}

// MayServeAll reports whether a region may serve every route of a host. For a host without routes it
// returns false.
func (t *Table) MayServeAll(host, region string) bool {
	list := t.routesOf(host)
	return len(list) > 0 && !slices.ContainsFunc(list, func(r *Route) bool { return !r.MayServe(region) })
}

// LongestStream returns the longest time for which a stream lasts, or fallback if a streaming route
// has no timeout.
func (t *Table) LongestStream(fallback time.Duration) time.Duration {
	if t.endlessStream {
		return fallback
	}
	return t.longestStream
}

// Service returns a service of the configuration, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HomeRegionCounts returns how many routes of a host each region may serve. It leaves out
// routes that every region may serve.
func (t *Table) HomeRegionCounts(host string) map[string]int {
	counts := map[string]int{}
	for _, r := range t.routesOf(host) {
		for _, region := range r.HomeRegions {
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
