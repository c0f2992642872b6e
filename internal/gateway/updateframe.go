package gateway

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/delta"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

// pathPeerUpdateFrame takes updates as frames. Hosts of builds before take them as JSON at pathPeerUpdate.
const pathPeerUpdateFrame = "/peer/updates"

// updateFrame is an update as it is sent, encoded as CBOR. It is the same for all recipients.
type updateFrame struct {
	After          int64        `cbor:"1,keyasint"`
	Revision       int64        `cbor:"2,keyasint"`
	Events         []eventFrame `cbor:"3,keyasint,omitempty"`
	FullRead       bool         `cbor:"4,keyasint,omitempty"`
	Keys           []string     `cbor:"5,keyasint,omitempty"`
	StoreRecovered bool         `cbor:"6,keyasint,omitempty"`
	Partial        bool         `cbor:"7,keyasint,omitempty"`
	Omitted        bool         `cbor:"8,keyasint,omitempty"`
}

// eventFrame is a change. A long value is encoded with that of the write at revision Base as its base, or without one if
// Base is 0.
type eventFrame struct {
	Key            string `cbor:"1,keyasint"`
	Value          []byte `cbor:"2,keyasint,omitempty"`
	Encoded        []byte `cbor:"3,keyasint,omitempty"`
	Base           int64  `cbor:"4,keyasint,omitempty"`
	CreateRevision int64  `cbor:"5,keyasint,omitempty"`
	ModRevision    int64  `cbor:"6,keyasint"`
	Lease          int64  `cbor:"7,keyasint,omitempty"`
	Deleted        bool   `cbor:"8,keyasint,omitempty"`
}

// updateEnvelope is what one host gets: a frame, and what differs between recipients.
type updateEnvelope struct {
	// AgeMs, Heard and HeardIncarnation are those of updateMessage.
	AgeMs            int64  `cbor:"1,keyasint,omitempty"`
	Heard            uint64 `cbor:"2,keyasint,omitempty"`
	HeardIncarnation int64  `cbor:"3,keyasint,omitempty"`
	// ReadMs is how long the store took to answer, QueuedMs how long the update then waited at the sender, and PacedMs the
	// part of it for which it waited for its share of the link, in milliseconds.
	ReadMs   int64  `cbor:"4,keyasint,omitempty"`
	QueuedMs int64  `cbor:"5,keyasint,omitempty"`
	PacedMs  int64  `cbor:"6,keyasint,omitempty"`
	Frame    []byte `cbor:"7,keyasint"` // encoded by package delta, without a base
}

// updateReply is the response to a frame whose values cannot be decoded.
type updateReply struct {
	// LacksBase means that the sender must send the values without bases.
	LacksBase bool `json:"LacksBase"`
}

// encodeUpdate returns the frame of an update. The values are encoded with their bases if useBases is set.
func (g *Gateway) encodeUpdate(u catalogue.Update, useBases bool) ([]byte, error) {
	f := updateFrame{After: u.After, Revision: u.Revision, FullRead: u.FullRead, Keys: u.Keys, StoreRecovered: u.StoreRecovered, Partial: u.Partial, Omitted: u.Omitted}
	last := map[string]keyvalue.Entry{} // of the same update, by key
	for _, e := range u.Events {
		base := keyvalue.Entry{}
		if useBases {
			base = u.Bases[e.Key]
			if before, ok := last[e.Key]; ok {
				base = before
			}
		}
		frame, err := g.encodeEvent(e, base)
		if err != nil {
			return nil, err
		}
		f.Events = append(f.Events, frame)
		last[e.Key] = e.Entry
	}
	body, err := cbor.Marshal(f)
	if err != nil {
		return nil, err
	}
	return g.codec.Encode(body, nil)
}

func (g *Gateway) encodeEvent(e keyvalue.Event, base keyvalue.Entry) (eventFrame, error) {
	f := eventFrame{Key: e.Key, CreateRevision: e.CreateRevision, ModRevision: e.ModRevision, Lease: e.Lease, Deleted: e.Deleted}
	if len(e.Value) < catalogue.MinBaseBytes {
		f.Value = e.Value
		return f, nil
	}
	encoded, err := g.codec.Encode(e.Value, base.Value)
	f.Encoded = encoded
	if len(base.Value) > 0 {
		f.Base = base.ModRevision
	}
	return f, err
}

// decodeUpdate returns the update of an encoded frame. It fails with kind OtherBase of package delta if this host lacks the
// base of a value.
func (g *Gateway) decodeUpdate(encoded []byte) (catalogue.Update, error) {
	body, err := g.codec.Decode(encoded, nil)
	if err != nil {
		return catalogue.Update{}, err
	}
	var f updateFrame
	if err := cbor.Unmarshal(body, &f); err != nil {
		return catalogue.Update{}, err
	}
	u := catalogue.Update{After: f.After, Revision: f.Revision, FullRead: f.FullRead, Keys: f.Keys, StoreRecovered: f.StoreRecovered, Partial: f.Partial, Omitted: f.Omitted}
	for _, frame := range f.Events {
		e := keyvalue.Event{Deleted: frame.Deleted, Entry: keyvalue.Entry{
			Key: frame.Key, Value: frame.Value, CreateRevision: frame.CreateRevision, ModRevision: frame.ModRevision, Lease: frame.Lease,
		}}
		if len(frame.Encoded) > 0 {
			if e.Value, err = g.codec.Decode(frame.Encoded, g.baseOf(frame, u.Events)); err != nil {
				return catalogue.Update{}, err
			}
		}
		u.Events = append(u.Events, e)
	}
	return u, nil
}

// baseOf returns the base of a change: the value before in the same update, or the known one, nil if there is none. Its
// checksum tells whether it is the one.
func (g *Gateway) baseOf(f eventFrame, before []keyvalue.Event) []byte {
	if f.Base == 0 {
		return nil
	}
	for _, e := range slices.Backward(before) {
		if e.Key == f.Key && e.ModRevision == f.Base {
			return e.Value
		}
	}
	known, _ := g.catalogue.Entry(f.Key) // no entry has no value
	return known.Value
}

// lacksBase reports whether a frame could not be decoded as this host lacks the base of a value.
func lacksBase(err error) bool {
	kind, ok := failure.KindOf[delta.Kind](err)
	return ok && kind == delta.OtherBase
}
