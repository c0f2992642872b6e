package allowance

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/rendezvous"
)

// Shards is the number of shards of workspaces. More of them spread the work over more owners, and take more
// messages.
const Shards = 4

// Region is a region as a host sees it.
type Region struct {
	Name string
	// Hosts counts the hosts that may generate tokens, with those that are silent.
	Hosts float64
	// Owners are the owners of the shards, empty where none is known.
	Owners [Shards]string
}

// Fleet is what a host knows of the hosts of the fleet.
type Fleet struct {
	// Own is the host's region. Its owners are the host itself where the host knows no other.
	Own string
	// Regions are all regions with hosts, sorted by name.
	Regions []Region
	// Settled is set once the host knows the other hosts: before, it generates no tokens.
	Settled bool
	// Leaving is set when the host is about to stop and others remain: it generates no more tokens.
	Leaving bool
}

const (
	// settleTime is how long a started host waits to discover the others, and aloneSettleTime how long if it
	// has discovered none.
	settleTime      = 1200 * time.Millisecond
	aloneSettleTime = 15 * time.Second
)

// View is what a host knows of the members of the fleet.
type View struct {
	Self, Region string
	// Regions are the regions of the deployment, known from the settings.
	Regions []string
	// Hosts are all known hosts that have not left, also those that are silent.
	Hosts   []Host
	Uptime  time.Duration
	Leaving bool
}

// Host is a member of the fleet.
type Host struct {
	Name, Region string
	// Live is set for hosts that may be owners.
	Live bool
}

// SameFleet reports whether NewFleet returns the same for both views.
func (v View) SameFleet(w View) bool {
	return v.Leaving == w.Leaving && v.Uptime > settleTime == (w.Uptime > settleTime) && v.Uptime > aloneSettleTime == (w.Uptime > aloneSettleTime) &&
		slices.Equal(v.Hosts, w.Hosts)
}

// NewFleet returns the fleet as a host sees it.
func NewFleet(v View) Fleet {
	f := Fleet{Own: v.Region, Leaving: v.Leaving && slices.ContainsFunc(v.Hosts, func(h Host) bool { return h.Live && h.Name != v.Self })}
	f.Settled = v.Uptime > aloneSettleTime || v.Uptime > settleTime && len(v.Hosts) > 1
	live, counts := map[string][]string{}, map[string]int{}
	for _, h := range v.Hosts {
		counts[h.Region]++
		if h.Live {
			live[h.Region] = append(live[h.Region], h.Name)
		}
	}
	// While the fleet may be partitioned, regions that have not been heard from since the start count as
	// large as the others: else each of them would generate the whole rate after a restart of all hosts.
	unknown := float64(len(v.Hosts)) / float64(max(1, len(counts)))
	names := slices.AppendSeq(slices.Clone(v.Regions), maps.Keys(counts))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		r := Region{Name: name, Hosts: float64(counts[name]), Owners: PickOwners(live[name])}
		if r.Hosts == 0 && v.Uptime < aloneSettleTime {
			r.Hosts = unknown
		}
		if r.Hosts > 0 {
			f.Regions = append(f.Regions, r)
		}
	}
	return f
}

// PickOwners returns the owners of the shards in a region, chosen among its live hosts.
func PickOwners(hosts []string) [Shards]string {
	var out [Shards]string
	for shard := range out {
		prefix := "quota " + strconv.Itoa(shard) + " "
		out[shard], _ = rendezvous.Pick(hosts, func(host string) string { return prefix + host })
	}
	return out
}

// hosts returns the number of hosts that may generate tokens, 1 at least.
func (f Fleet) hosts() float64 {
	n := 0.0
	for _, r := range f.Regions {
		n += r.Hosts
	}
	return max(1, n)
}

// region returns a region of the fleet, empty if it has no hosts.
func (f Fleet) region(name string) Region {
	for _, r := range f.Regions {
		if r.Name == name {
			return r
		}
	}
	return Region{Name: name}
}

// others returns the other regions in which an owner of a shard is known.
func (f Fleet) others(shard int) []Region {
	var out []Region
	for _, r := range f.Regions {
		if r.Name != f.Own && r.Owners[shard] != "" {
			out = append(out, r)
		}
	}
	return out
}

// overdraftRegion returns the region whose owner grants calls of a workspace that are larger than the
// overdraft of other regions. Silent hosts count, so that regions without contact agree on it.
func (f Fleet) overdraftRegion(workspace string) string {
	picked, ok := rendezvous.Pick(f.Regions, func(r Region) string { return "overdraft " + workspace + " " + r.Name })
	if !ok {
		return f.Own
	}
	return picked.Name
}
