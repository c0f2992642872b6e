// Package permission decides whether the body of a call may go to a region: by the homes that a configuration
// has, and by how recently that configuration was shown to be in force. The package does no I/O.
package permission

import (
	"slices"
	"time"
)

// MaxAge is the age of evidence from which on it proves nothing. It is shorter than the 3 s in which a
// configuration must be in force, by a margin for the way of a body.
const MaxAge = 2500 * time.Millisecond

// Witness is what shows that a configuration is in force.
type Witness int

// The witnesses, from the weakest one.
const (
	// Nobody means that there is no evidence.
	Nobody Witness = iota
	// Hosts means that hosts of other regions, which have lost contact with the store themselves, know no newer
	// configuration.
	Hosts
	// Store means that the store has no newer configuration, by its answer to this host or to another one.
	Store
)

// String returns the witness's name.
func (w Witness) String() string { return [...]string{"Nobody", "Hosts", "Store"}[w] }

// Evidence is what a host knows of whether its configuration is in force.
type Evidence struct {
	Witness Witness
	// Age is the time since the witness was asked. It means nothing if the witness is Nobody.
	Age time.Duration
	// Regions are the other regions whose hosts know no newer configuration, if the witness is Hosts.
	Regions []string
	// Isolated means that no host of another region has answered lately, although the host was running and asked, if the
	// witness is Nobody.
	Isolated bool
}

// Fleet has the regions of a fleet as a host of the region Own sees them.
type Fleet struct {
	Own     string
	Regions []string // all of them
}

// Recent reports whether the evidence is young enough to prove something.
func (e Evidence) Recent() bool { return e.Witness != Nobody && e.Age < MaxAge }

// proves reports whether a region has the homes by which a decision at a host of the region own goes. Hosts of
// other regions vouch for their own region and for that of the host that asked them.
func (e Evidence) proves(own, region string) bool {
	switch {
	case !e.Recent():
		return false
	case e.Witness == Store:
		return true
	case region == own:
		return len(e.Regions) > 0
	default:
		return slices.Contains(e.Regions, region)
	}
}

// Use is what a permission is for.
type Use int

// The uses.
const (
	// Run is to run a call at targets of the host's own region.
	Run Use = iota
	// Forward is to send the body of a call to a host of another region.
	Forward
	// Name is to lead callers of other regions to a region.
	Name
)

// String returns the use's name.
func (u Use) String() string { return [...]string{"Run", "Forward", "Name"}[u] }

// Verdict is whether a body may go to a region.
type Verdict int

// The verdicts.
const (
	// Outside means that the region is no home.
	Outside Verdict = iota
	// Unproven means that the region is a home by a configuration that may not be in force any more.
	Unproven
	// Granted means that the body may go there.
	Granted
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"Outside", "Unproven", "Granted"}[v] }

// Decide returns whether bodies may go to a region, as a host of the fleet decides. Calls run in the own region
// without proof, so that a region that is cut off from all others serves its callers. A region that can't ask any other,
// as they may all be lost, is named without proof where all regions are homes.
func Decide(use Use, homes Homes, f Fleet, region string, e Evidence) Verdict {
	switch {
	case !homes.include(region):
		return Outside
	case use == Run && region == f.Own, e.proves(f.Own, region):
		return Granted
	case use == Name && region == f.Own && e.Witness == Nobody && e.Isolated && homes.includeAll(f.Regions):
		return Granted
	default:
		return Unproven
	}
}
