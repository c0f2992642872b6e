package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a call. It is immutable.
type Table struct {
	document Document
	hosts    map[string][]*Route // longest path prefix first
	services map[string]*Service
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
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.document.Version }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.document.Routes) }

// Find returns the route with the longest prefix of the path, or nil. A host
// may carry a port.
func (t *Table) Find(host, path string) *Route {
	list, ok := t.hosts[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		list = t.hosts[name]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns a service of the configuration, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HomeRegionCounts returns how many of a host's routes each region may serve, of those that
// are not open to all.
func (t *Table) HomeRegionCounts(host string) map[string]int {
	counts := map[string]int{}
	for _, r := range t.hosts[host] {
		for _, region := range r.HomeRegions {
			counts[region]++
		}
	}
	return counts
}

// PickService returns the service for a call by the route's weights. The same call ID
// always gets the same service.
func (r *Route) PickService(callID string) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := int(xxhash.Sum64String(callID) % uint64(total))
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}
