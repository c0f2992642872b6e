package daemon

import (
	"encoding/json"
	"strings"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/feed"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/quarantine"
)

// Keys and limits of the items that hosts exchange by gossip.
const (
	versionKey           = "config"
	leavingKeyPrefix     = "leaving/"
	crashKeyPrefix       = "death/"
	leavingTTLSeconds    = 3600
	crashTTLSeconds      = 3600
	maxInlineRecordBytes = 900
)

// versionItem is the value of the item that announces the version of a host's
// configuration. Record is the patch that led to it, if that has fewer than
// maxInlineRecordBytes.
type versionItem struct {
	Version uint64         `json:"Version"`
	Peer    string         `json:"Peer"`
	Record  *ledger.Record `json:"Record,omitempty"`
}

// leavingItem is the value of the item that announces whether a target is leaving.
type leavingItem struct {
	Target  string `json:"Target"`
	Leaving bool   `json:"Leaving"`
}

// postItem passes an item to the gossip service, which broadcasts it at once if immediate is
// set and otherwise sends it with the heartbeats.
func (d *Daemon) postItem(key string, stamp int64, scope bulletin.Scope, ttl int, v any, immediate bool) {
	value, err := json.Marshal(v)
	if err != nil {
		d.log.Error(err, "An item could not be encoded.", "Key", key)
		return
	}
	item := bulletin.Item{Key: key, Stamp: stamp, Scope: scope, TTLSeconds: ttl, Value: value}
	if immediate {
		d.gossip.PostNow(item)
		return
	}
	d.gossip.Post(item)
}

// postVersion announces the version of this host's configuration to all hosts.
func (d *Daemon) postVersion(state *ledger.State, record *ledger.Record) {
	value := versionItem{Version: state.Version, Peer: d.settings.PeerAddress}
	if record != nil && len(record.Body) < maxInlineRecordBytes {
		value.Record = record
	}
	d.postItem(versionKey, int64(state.Version), bulletin.Fleet, 0, value, true)
}

func (d *Daemon) postTargetLeaving(target string) {
	d.postLeaving(leavingItem{Target: target, Leaving: true})
}

func (d *Daemon) postLeaving(value leavingItem) {
	d.postItem(leavingKeyPrefix+value.Target, d.clock.Now().UnixMilli(), bulletin.DataCentre, leavingTTLSeconds, value, true)
}

func (d *Daemon) postCrashReport(report quarantine.CrashReport) {
	d.postItem(crashKeyPrefix+report.Digest+"/"+report.CrashID, 1, bulletin.Fleet, crashTTLSeconds, report, true)
}

// onItem applies a new item from another host. The gossip calls it, so it must not
// block.
func (d *Daemon) onItem(item bulletin.Item) {
	switch {
	case item.Key == versionKey:
		d.applyVersionItem(item)
	case strings.HasPrefix(item.Key, loadKeyPrefix):
		d.regions.add(d.clock.Now(), item)
	case strings.HasPrefix(item.Key, leavingKeyPrefix):
		var value leavingItem
		if json.Unmarshal(item.Value, &value) == nil {
			state := dispatch.TargetReturned
			if value.Leaving {
				state = dispatch.TargetLeaving
			}
			d.dispatcher.TrySetTargetState(value.Target, state)
		}
	case strings.HasPrefix(item.Key, crashKeyPrefix):
		var report quarantine.CrashReport
		if json.Unmarshal(item.Value, &report) == nil {
			d.dispatcher.TryAddCrashReport(report)
		}
	}
}

// applyVersionItem adopts a patch that directly follows this host's configuration.
// For any other version, it gives the feed the host to fetch it from.
func (d *Daemon) applyVersionItem(item bulletin.Item) {
	var value versionItem
	if json.Unmarshal(item.Value, &value) != nil {
		return
	}
	if value.Record != nil && value.Record.Version == d.feed.State().Version+1 {
		if err := d.feed.AdoptRecord(*value.Record); err != nil {
			d.log.Error(err, "The patch of a peer was rejected.")
		}
		return
	}
	d.feed.Hint(feed.Hint{Version: value.Version, Peer: value.Peer})
}
