package daemon

import (
	"cmp"
	"context"
	"maps"
	"runtime"
	"slices"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/placement"
)

// hostRow is a host as callers see it.
type hostRow struct {
	Host       string `json:"Host"`
	Region     string `json:"Region"`
	DataCentre string `json:"DataCentre"`
	Address    string `json:"Address"`
}

type hostsBody struct {
	Hosts []hostRow `json:"Hosts"`
}

// hostRows returns the hosts that callers may use, nearest first. It names this
// host when it knows no other, and this host last while it is leaving.
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

// hostStates returns every known host for operators.
func (d *Daemon) hostStates() []member.Info { return d.gossip.View().Members }

// Dump is the state of a host at one moment. It holds no data and no secret of
// a caller.
type Dump struct {
	Host            string
	Region          string
	DataCentre      string
	Incarnation     int64
	At              time.Time
	Draining        bool
	Version         uint64
	StoreUp         bool
	StoreBehind     bool
	Delegate        bool
	InFlight        int64
	Waiting         int
	Quarantined     int
	RunningKeys     int
	Members         []member.Info
	CutCentres      []string
	Targets         []placement.TargetState
	Services        map[string]placement.Summary
	Facts           []factRow
	Goroutines      int
	HeapBytes       uint64
	SentBytes       int64
	ReceivedBytes   int64
	PlacementSent   int64
	AskedElsewhere  int64
	PlacedAlone     int64
	GrantedToOthers int
	ClaimWrites     int64
	Claims          int64
}

type factRow struct {
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
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Dump{
		Host: d.settings.Host, Region: d.settings.Region, DataCentre: d.settings.DataCentre,
		Incarnation: d.incarnation, At: d.clock.Now(), Draining: d.draining.Load(),
		Version: state.Version, StoreUp: d.feed.FollowsStore.Load(), StoreBehind: d.feed.StoreBehind.Load(),
		Delegate: view.Delegate, InFlight: d.inFlight.Load(), Waiting: snapshot.Waiting,
		Quarantined: snapshot.Quarantined, RunningKeys: d.book.Running(),
		Members: view.Members, CutCentres: slices.Sorted(maps.Keys(view.CutCentres)),
		Targets: snapshot.Targets, Services: snapshot.Services, Facts: d.factRows(ctx),
		Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
		SentBytes: sent, ReceivedBytes: received,
		PlacementSent: d.placed.Sent(), AskedElsewhere: d.placer.Asked.Load(), PlacedAlone: d.placer.Alone.Load(), GrantedToOthers: d.placing.Granted(),
		ClaimWrites: d.committer.Transactions.Load(), Claims: d.committer.Claims.Load(),
	}
}

func (d *Daemon) factRows(ctx context.Context) []factRow {
	items, err := d.gossip.Items(ctx)
	if err != nil {
		return nil
	}
	rows := make([]factRow, len(items))
	for i, item := range items {
		rows[i] = factRow{Key: item.Key, Stamp: item.Stamp, Scope: item.Scope}
	}
	return rows
}

// Version returns the version of the configuration in force, zero for none.
func (d *Daemon) Version() uint64 { return d.feed.State().Version }

// HostsInUse returns how many hosts of the fleet this host takes to be in use.
func (d *Daemon) HostsInUse() int {
	n := 0
	for _, m := range d.gossip.View().Members {
		if m.InUse() {
			n++
		}
	}
	return n
}

// ControlBytes returns how many bytes the host has sent and received for
// control: datagrams between hosts, and what it read from peers and the store.
func (d *Daemon) ControlBytes() (sent, received int64) {
	counts := d.gossip.Counts()
	return counts.SentBytes.Load() + d.control.Sent(), counts.ReceivedBytes.Load() + d.control.Received()
}
