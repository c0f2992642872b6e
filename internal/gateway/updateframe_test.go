package gateway

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/delta"
	"github.com/sequoiarack/sequoiarack/internal/gossip"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// plainDecoder takes all entries for ones that the gateway does not use.
type plainDecoder struct{}

func (plainDecoder) Decode(string, []byte) (catalogue.DecodedEntry, error) {
	return catalogue.DecodedEntry{Kind: catalogue.Ignored}, nil
}

// newFramingGateway returns the parts of a gateway that encode and decode updates, with some entries.
func newFramingGateway(entries ...keyvalue.Entry) *Gateway {
	g := &Gateway{catalogue: catalogue.New(plainDecoder{}, nil), codec: delta.NewCodec(1 << 20)}
	var events []keyvalue.Event
	for _, e := range entries {
		events = append(events, keyvalue.Event{Entry: e})
	}
	g.catalogue.Apply(events, 0, catalogue.FromStore)
	return g
}

// write returns the entry of a long value that was written at a revision.
func write(revision int64) keyvalue.Entry {
	var value bytes.Buffer
	for i := range 500 {
		fmt.Fprintf(&value, "route %d of %d;", i*i, max(revision, int64(i)))
	}
	return keyvalue.Entry{Key: "config", Value: value.Bytes(), CreateRevision: 1, ModRevision: revision}
}

// Guards against hosts that adopt a value which differs from the one in the store, as its base was another one.
func TestUpdateFrames(t *testing.T) {
	short := keyvalue.Event{Entry: keyvalue.Entry{Key: "target", Value: []byte("ready"), ModRevision: 4, Lease: 7}}
	gone := keyvalue.Event{Deleted: true, Entry: keyvalue.Entry{Key: "other", ModRevision: 5}}
	series := []keyvalue.Event{short, {Entry: write(6)}, gone, {Entry: write(8)}, {Entry: write(9)}}
	for _, c := range []struct {
		name    string
		sender  []keyvalue.Entry
		knows   []keyvalue.Entry
		events  []keyvalue.Event
		short   bool // the frame has differences only
		decodes bool
	}{
		{"the base that the sender has", []keyvalue.Entry{write(3)}, []keyvalue.Entry{write(3)}, series, true, true},
		{"a later write than the base", []keyvalue.Entry{write(3)}, []keyvalue.Entry{write(4)}, series, true, false},
		{"no base where the sender has one", []keyvalue.Entry{write(3)}, nil, series, true, false},
		{"no base where the sender has none", nil, nil, series, false, true},
		{"a write where the sender has none", nil, []keyvalue.Entry{write(3)}, series, false, true},
		{"the value that is sent", []keyvalue.Entry{write(6)}, []keyvalue.Entry{write(6)}, []keyvalue.Event{{Entry: write(6)}}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sender, recipient := newFramingGateway(c.sender...), newFramingGateway(c.knows...)
			u := catalogue.Update{After: 3, Revision: 9, FullRead: true, Keys: []string{"config", "target"}, StoreRecovered: true, Events: c.events, Bases: sender.catalogue.Bases(c.events)}
			frame, err := sender.encodeUpdate(u, true)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(frame) < 1000).To(Equal(c.short), "%d bytes", len(frame))
			decoded, err := recipient.decodeUpdate(frame)
			g.Expect(lacksBase(err)).To(Equal(!c.decodes), "%v", err)
			if !c.decodes {
				whole, err := sender.encodeUpdate(u, false)
				g.Expect(err).NotTo(HaveOccurred())
				decoded, err = recipient.decodeUpdate(whole)
				g.Expect(err).NotTo(HaveOccurred())
			}
			u.Bases = nil
			g.Expect(decoded).To(Equal(u))
		})
	}
}

// Guards against updates that were joined while they waited, of which recipients lack the base.
func TestJoinedUpdatesKeepTheFirstBase(t *testing.T) {
	g := NewWithT(t)
	update := func(after, revision int64, bases ...keyvalue.Entry) catalogue.Update {
		u := catalogue.Update{After: after, Revision: revision, Events: []keyvalue.Event{{Entry: write(revision)}}, Bases: map[string]keyvalue.Entry{}}
		for _, b := range bases {
			u.Bases[b.Key] = b
		}
		return u
	}
	joined, ok := update(3, 6, write(3)).Then(update(6, 8, write(6)))
	g.Expect(ok).To(BeTrue())
	g.Expect(joined.Bases).To(HaveKeyWithValue("config", write(3)))
	joined, ok = update(3, 6).Then(update(6, 8, write(6)))
	g.Expect(ok).To(BeTrue())
	g.Expect(joined.Bases).To(BeEmpty(), "the first write of the key had no base")
}

// Guards against a data centre whose updates all leave by a narrow link while another host has a wide one.
func TestReadersHaveWideLinks(t *testing.T) {
	g := NewWithT(t)
	host := func(name string, mbps float64, status member.Status, leaving bool) member.Info {
		return member.Info{Host: name, DataCentre: "n1", LinkMbps: mbps, Status: status, Leaving: leaving}
	}
	names := func(members ...member.Info) []string {
		var out []string
		for _, m := range readerCandidates(&gossip.View{Members: members}, "n1") {
			out = append(out, m.Host)
		}
		return out
	}
	g.Expect(names(host("a", 10, member.Alive, false), host("b", 200, member.Alive, false), host("c", 150, member.Alive, false), host("old", 0, member.Alive, false))).To(Equal([]string{"b", "c"}))
	g.Expect(names(host("a", 10, member.Alive, false), host("b", 200, member.Suspect, false), host("c", 200, member.Alive, true))).To(Equal([]string{"a"}))
	g.Expect(names(host("a", 0, member.Alive, false), host("b", 0, member.Alive, false))).To(Equal([]string{"a", "b"}))
}
