// Package residency decides in which regions a call may be served and its data
// stored. What is unknown is not allowed.
package residency

import "github.com/sequoiarack/sequoiarack/internal/config"

// Allowed reports the regions that may serve a call of the workspace to the
// service, in the order of the service's regions. A data class narrows the
// workspace's residency; an empty one leaves it as it is.
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

// Permits reports whether region is one of the allowed ones.
func Permits(allowed []string, region string) bool {
	for _, name := range allowed {
		if name == region {
			return true
		}
	}
	return false
}

// MayHold reports whether data of the workspace may be in the region at all,
// which also binds the hosts that only pass a call on.
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
