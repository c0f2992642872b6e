// Package residency decides in which regions a call may be served and its data
// stored. Unknown workspaces, services and data classes are allowed in no region.
package residency

import "github.com/sequoiarack/sequoiarack/internal/config"

// Allowed returns the regions that may serve a call of the workspace to the service,
// in the order of the service's regions. A data class restricts the workspace's
// residency further. An empty data class adds no restriction.
func Allowed(x *config.Index, workspace, service, dataClass string) []string {
	w, ok := x.Document.Workspaces[workspace]
	if !ok {
		return nil
	}
	s, ok := x.Document.Services[service]
	if !ok {
		return nil
	}
	regions := intersect(s.Regions, w.Residency)
	if dataClass == "" {
		return regions
	}
	class, ok := x.Document.DataClasses[dataClass]
	if !ok {
		return nil
	}
	return intersect(regions, class.Regions)
}

// Permits reports whether allowed contains region.
func Permits(allowed []string, region string) bool {
	for _, name := range allowed {
		if name == region {
			return true
		}
	}
	return false
}

// MayHold reports whether data of the workspace may be in the region at all. This
// also applies to hosts that only forward a call.
func MayHold(x *config.Index, workspace, dataClass, region string) bool {
	w, ok := x.Document.Workspaces[workspace]
	if !ok || !Permits(w.Residency, region) {
		return false
	}
	if dataClass == "" {
		return true
	}
	class, ok := x.Document.DataClasses[dataClass]
	return ok && Permits(class.Regions, region)
}

func intersect(list, with []string) []string {
	out := make([]string, 0, len(list))
	for _, name := range list {
		if Permits(with, name) {
			out = append(out, name)
		}
	}
	return out
}
