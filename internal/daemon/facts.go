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

// Keys of the facts that hosts tell one another.
const (
	versionKey           = "config"
	leavingKeyPrefix     = "leaving/"
	evidenceKeyPrefix    = "death/"
	leavingTTLSeconds    = 3600
	evidenceTTLSeconds   = 3600
	maxInlineRecordBytes = 900
)

// versionItem says which configuration a host has, with the patch that made it
// when that is small.
type versionItem struct {
	Version uint64         `json:"Version"`
	Peer    string         `json:"Peer"`
	Record  *ledger.Record `json:"Record,omitempty"`
}

type leavingItem struct {
	Target  string `json:"Target"`
	Leaving bool   `json:"Leaving"`
}

func (d *Daemon) postItem(key string, stamp int64, scope bulletin.Scope, ttl int, v any, immediate bool) {
	value, err := json.Marshal(v)
	if err != nil {
		d.log.Error(err, "A fact could not be encoded.", "Key", key)
		return
	}
	item := bulletin.Item{Key: key, Stamp: stamp, Scope: scope, TTLSeconds: ttl, Value: value}
	if immediate {
		d.gossip.PostNow(item)
		return
	}
	d.gossip.Post(item)
}

// postVersion tells all hosts which configuration is in force here.
func (d *Daemon) postVersion(state *ledger.State, record *ledger.Record) {
	fact := versionItem{Version: state.Version, Peer: d.settings.PeerAddress}
	if record != nil && len(record.Body) < maxInlineRecordBytes {
		fact.Record = record
	}
	d.postItem(versionKey, int64(state.Version), bulletin.Fleet, 0, fact, true)
}

func (d *Daemon) postTargetLeaving(target string) {
	d.postLeaving(leavingItem{Target: target, Leaving: true})
}

func (d *Daemon) postLeaving(fact leavingItem) {
	d.postItem(leavingKeyPrefix+fact.Target, d.clock.Now().UnixMilli(), bulletin.DataCentre, leavingTTLSeconds, fact, true)
}

func (d *Daemon) postEvidence(e quarantine.Evidence) {
	d.postItem(evidenceKeyPrefix+e.Digest+"/"+e.Death, 1, bulletin.Fleet, evidenceTTLSeconds, e, true)
}

// onItem takes a fact that is news. It must not wait.
func (d *Daemon) onItem(item bulletin.Item) {
	switch {
	case item.Key == versionKey:
		d.applyVersionItem(item)
	case strings.HasPrefix(item.Key, loadKeyPrefix):
		d.regions.add(d.clock.Now(), item)
	case strings.HasPrefix(item.Key, leavingKeyPrefix):
		var fact leavingItem
		if json.Unmarshal(item.Value, &fact) == nil {
			state := dispatch.TargetReturned
			if fact.Leaving {
				state = dispatch.TargetLeaving
			}
			d.dispatcher.TrySetTargetState(fact.Target, state)
		}
	case strings.HasPrefix(item.Key, evidenceKeyPrefix):
		var e quarantine.Evidence
		if json.Unmarshal(item.Value, &e) == nil {
			d.dispatcher.TryAddCrashReport(e)
		}
	}
}

func (d *Daemon) applyVersionItem(item bulletin.Item) {
	var fact versionItem
	if json.Unmarshal(item.Value, &fact) != nil {
		return
	}
	if fact.Record != nil && fact.Record.Version == d.feed.State().Version+1 {
		if err := d.feed.AdoptRecord(*fact.Record); err != nil {
			d.log.Error(err, "A peer's patch was refused.")
		}
		return
	}
	d.feed.Hint(feed.Hint{Version: fact.Version, Peer: fact.Peer})
}
