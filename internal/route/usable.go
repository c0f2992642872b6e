package route

import (
	"fmt"
	"slices"
	"strings"
)

// Usable returns what can be used of a document, and the wrong fields that it corrects or whose routes
// and services it leaves out. The document that it returns passes Check unless its version is zero. Routes
// are left out only if no call can be routed by them, and withheld if calls can match them.
func Usable(d Document) (Document, Problems) {
	var problems Problems
	out := Document{Version: d.Version, Limits: d.Limits, RequiresKeys: d.RequiresKeys, Withheld: slices.Clone(d.Withheld)}
	listed := map[string]bool{}
	for i, s := range d.Services {
		path := fmt.Sprintf("Services[%d]", i)
		if s.Name == "" || listed[s.Name] {
			problems.Add(path+".Name", "expected a unique name, got %q", s.Name)
			continue
		}
		if s.ColdPerSecond < 0 {
			problems.Add(path+".ColdPerSecond", "expected a non-negative rate, got %g", s.ColdPerSecond)
			s.ColdPerSecond = 0
		}
		listed[s.Name] = true
		out.Services = append(out.Services, s)
	}
	for i, r := range d.Routes {
		path := fmt.Sprintf("Routes[%d]", i)
		if !r.isRoutable(path, &problems) {
			out = out.WithWithheld(Location{Host: r.Host, PathPrefix: r.PathPrefix})
			continue
		}
		r = r.corrected(path, &problems)
		out.Routes = append(out.Routes, r)
		for _, s := range r.Splits {
			if !listed[s.Service] {
				problems.Add(path+".Splits", "expected a service of the document, got %q", s.Service)
				listed[s.Service] = true
				out.Services = append(out.Services, Service{Name: s.Service})
			}
		}
	}
	out.Workspaces = usableWorkspaces(d.Workspaces, &problems)
	return out, problems
}

// isRoutable reports whether calls can be routed by r, and adds what is wrong otherwise.
func (r Route) isRoutable(path string, problems *Problems) bool {
	before := len(*problems)
	problems.Require(r.Host != "", path+".Host", "expected a host")
	problems.Require(strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/"),
		path+".PathPrefix", "expected a path that begins and ends with a slash, got %q", r.PathPrefix)
	named := false
	for _, s := range r.Splits {
		named = named || (s.Service != "" && s.Weight > 0)
	}
	problems.Require(named, path+".Splits", "expected a service with a positive weight")
	return len(*problems) == before
}

// corrected returns r without wrong fields, which it adds to problems.
func (r Route) corrected(path string, problems *Problems) Route {
	if r.Kind == Unknown {
		r.Kind = Once // the kind that promises least
	}
	if r.Name == "" {
		problems.Add(path+".Name", "expected a name")
		r.Name = r.Host + r.PathPrefix
	}
	if r.MaxAttempts < 1 {
		problems.Add(path+".MaxAttempts", "expected a positive number, got %d", r.MaxAttempts)
		r.MaxAttempts = 1
	}
	if r.Timeout < 0 {
		problems.Add(path+".Timeout", "expected a non-negative duration, got %s", r.Timeout)
		r.Timeout = 0
	}
	var splits []Split
	for i, s := range r.Splits {
		if s.Service != "" && s.Weight >= 0 {
			splits = append(splits, s)
		} else {
			problems.Add(fmt.Sprintf("%s.Splits[%d]", path, i), "expected a service with a non-negative weight, got %q with %d", s.Service, s.Weight)
		}
	}
	r.Splits = splits
	return r
}
