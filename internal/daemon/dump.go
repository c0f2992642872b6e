package daemon

import (
	"cmp"
	"context"
	"maps"
	"runtime"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

// hostRow is the entry of a host in the responses to callers.
type hostRow struct {
	Host       string `json:"Host"`
	Region     string `json:"Region"`
	DataCentre string `json:"DataCentre"`
	Address    string `json:"Address"`
}

type hostsBody struct {
	Hosts []hostRow `json:"Hosts"`
}

// serveHosts lists the hosts that callers may use. A caller with a key gets only those of regions in which its data, of
// the class that it names, may be.
func (d *Daemon) serveHosts(ctx *fasthttp.RequestCtx) {
	x, rows := d.index(), d.hostRows()
	if principal, ok := x.Authenticate(bearer(ctx)); ok && principal.Role == config.RoleCaller {
		class := string(ctx.Request.Header.Peek(core.HeaderDataClass))
		rows = slices.DeleteFunc(rows, func(r hostRow) bool { return !residency.MayHold(x, principal.Workspace, class, r.Region) })
	}
	writeJSON(ctx, fasthttp.StatusOK, hostsBody{Hosts: rows})
}

// hostRows returns the hosts that callers may use, nearest first. This host is
// omitted while it drains, unless no other host is in use.
func (d *Daemon) hostRows() []hostRow {
	x := d.index()
	view := d.gossip.View()
	var usable []member.Info
	for _, m := range view.Members {
		if m.InUse() && (m.Host != d.settings.Host || !d.draining.Load()) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		usable = append(usable, view.Self)
	}
	rank := func(m member.Info) int {
		switch {
		case m.DataCentre == d.settings.DataCentre:
			return -2
		case m.Region == d.settings.Region:
			return -1
		}
		link, _ := x.LinkBetween(d.settings.Region, m.Region)
		return link.OneWayMs
	}
	slices.SortStableFunc(usable, func(a, b member.Info) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Host, b.Host))
	})
	rows := make([]hostRow, len(usable))
	for i, m := range usable {
		rows[i] = hostRow{Host: m.Host, Region: m.Region, DataCentre: m.DataCentre, Address: m.CallerAddress}
	}
	return rows
}

// hostStates returns the state of every known host.
func (d *Daemon) hostStates() []member.Info { return d.gossip.View().Members }

// Dump is a snapshot of the state of a host. It contains neither data nor secrets
// of callers.
type Dump struct {
	Host            string
	Region          string
	DataCentre      string
	Incarnation     int64
	At              time.Time
	Draining        bool
	Version         uint64 // of the configuration, zero for none
	StoreUp         bool   // the host follows the store
	StoreBehind     bool   // the store has an older version than the host
	Delegate        bool   // the host exchanges gossip with other data centres
	InFlight        int64  // running calls
	Waiting         int    // calls that wait for a target
	Quarantined     int    // requests with crash reports
	RunningKeys     int    // keys whose calls are running
	Members         []member.Info
	CutCentres      []string // data centres that gossip cannot reach
	Targets         []placement.TargetState
	Services        map[string]placement.Summary
	Items           []itemRow `json:"Facts"` // the items of the gossip
	Goroutines      int
	HeapBytes       uint64
	Memory          map[string]int // bytes of the budget of memory, in all and by use
	SentBytes       int64          // control traffic, as from ControlBytes
	ReceivedBytes   int64
	PlacementSent   int64 // bytes sent to placing hosts
	RemoteRequests  int64 `json:"AskedElsewhere"` // placement requests to other hosts
	LocalPlacements int64 `json:"PlacedAlone"`    // calls placed here because the placing host did not respond
	GrantedToOthers int   // targets that other hosts hold
	ClaimWrites     int64 // store transactions of the claims
	Claims          int64 // claims of keys that this host has written
}

// itemRow is an item of the gossip without its value.
type itemRow struct {
	Key   string
	Stamp int64
	Scope bulletin.Scope
}

// Dump returns the state of the host.
func (d *Daemon) Dump(ctx context.Context) Dump {
	state := d.feed.State()
	view := d.gossip.View()
	snapshot, err := d.dispatcher.Snapshot(ctx, slices.Sorted(maps.Keys(state.Index.Document.Services))...)
	if err != nil {
		d.log.Error(err, "The placement state could not be read.")
	}
	sent, received := d.ControlBytes()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return Dump{
		Host: d.settings.Host, Region: d.settings.Region, DataCentre: d.settings.DataCentre,
		Incarnation: d.incarnation, At: d.clock.Now(), Draining: d.draining.Load(),
		Version: state.Version, StoreUp: d.feed.FollowsStore.Load(), StoreBehind: d.feed.StoreBehind.Load(),
		Delegate: view.Delegate, InFlight: d.inFlight.Load(), Waiting: snapshot.Waiting,
		Quarantined: snapshot.Quarantined, RunningKeys: d.claims.Running(),
		Members: view.Members, CutCentres: slices.Sorted(maps.Keys(view.CutCentres)),
		Targets: snapshot.Targets, Services: snapshot.Services, Items: d.itemRows(ctx),
		Goroutines: runtime.NumGoroutine(), HeapBytes: stats.HeapAlloc, Memory: d.memoryUse(),
		SentBytes: sent, ReceivedBytes: received,
		PlacementSent: d.placingBytes.Sent(), RemoteRequests: d.placerClient.RemoteRequests.Load(), LocalPlacements: d.placerClient.LocalPlacements.Load(), GrantedToOthers: d.placerServer.Granted(),
		ClaimWrites: d.committer.Transactions.Load(), Claims: d.committer.Claims.Load(),
	}
}

func (d *Daemon) memoryUse() map[string]int {
	use := d.memory.Use()
	return map[string]int{
		"Total": use.Total, "Connections": use.Bytes[memory.Connections], "Calls": use.Bytes[memory.Calls], "Bodies": use.Bytes[memory.Bodies],
		"Responses": use.Bytes[memory.Responses], "Control": use.Bytes[memory.Control], "Ending": use.Ending,
	}
}

func (d *Daemon) itemRows(ctx context.Context) []itemRow {
	items, err := d.gossip.Items(ctx)
	if err != nil {
		return nil
	}
	rows := make([]itemRow, len(items))
	for i, item := range items {
		rows[i] = itemRow{Key: item.Key, Stamp: item.Stamp, Scope: item.Scope}
	}
	return rows
}

// Version returns the version of the configuration in force, zero for none.
func (d *Daemon) Version() uint64 { return d.feed.State().Version }

// HostsInUse returns how many hosts of the fleet are in use as far as this host
// knows.
func (d *Daemon) HostsInUse() int {
	n := 0
	for _, m := range d.gossip.View().Members {
		if m.InUse() {
			n++
		}
	}
	return n
}

// ControlBytes returns how many bytes of control traffic the host has sent and
// received: gossip datagrams, and control requests to peers and the store.
func (d *Daemon) ControlBytes() (sent, received int64) {
	counts := d.gossip.Counts()
	return counts.SentBytes.Load() + d.controlBytes.Sent(), counts.ReceivedBytes.Load() + d.controlBytes.Received()
}
