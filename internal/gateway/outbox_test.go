package gateway

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

// change returns an update with one change.
func change(after, revision int64) catalogue.Update {
	return catalogue.Update{
		After: after, Revision: revision, AsOf: time.Unix(revision, 0),
		Events: []keyvalue.Event{{Entry: keyvalue.Entry{Key: "key", ModRevision: revision}}},
	}
}

// Guards against updates that wait behind one another for a host that hangs, and against changes that are lost with
// a failed request.
func TestOutboxesJoinUpdates(t *testing.T) {
	g := NewWithT(t)
	o := newOutboxes()
	o.Put("slow", change(1, 2))
	g.Expect(o.Begin("slow")).To(BeTrue())
	sent, ok := o.Take("slow")
	g.Expect(ok).To(BeTrue())
	o.Put("slow", change(2, 3))
	o.Put("slow", change(3, 5))
	g.Expect(o.Begin("slow")).To(BeFalse(), "one is being sent")
	g.Expect(o.Return("slow", sent)).To(Equal(1))

	g.Expect(o.Begin("slow")).To(BeTrue())
	all, ok := o.Take("slow")
	g.Expect(ok).To(BeTrue())
	g.Expect([]int64{all.After, all.Revision}).To(Equal([]int64{1, 5}))
	g.Expect(all.Events).To(HaveLen(3))
	g.Expect(all.AsOf).To(Equal(time.Unix(5, 0)))
	_, ok = o.Take("slow")
	g.Expect(ok).To(BeFalse())
	g.Expect(o.Begin("slow")).To(BeFalse(), "nothing waits")
	g.Expect(o.Begin("other")).To(BeFalse())
}

func TestOutboxesAreBounded(t *testing.T) {
	g := NewWithT(t)
	o := newOutboxes()
	for revision := range int64(maxOutboxEvents) {
		g.Expect(o.Put("slow", change(revision, revision+1))).To(BeTrue())
	}
	g.Expect(o.Put("slow", change(maxOutboxEvents, maxOutboxEvents+1))).To(BeFalse())
	g.Expect(o.Begin("slow")).To(BeTrue())
	newest, _ := o.Take("slow")
	g.Expect(newest.After).To(Equal(int64(maxOutboxEvents)))

	fullRead := catalogue.Update{FullRead: true}
	for range maxQueuedUpdates {
		g.Expect(o.Put("other", fullRead)).To(BeTrue())
	}
	g.Expect(o.Put("other", fullRead)).To(BeFalse())
	o.Retain(map[string]bool{"slow": true})
	g.Expect(o.Begin("other")).To(BeFalse())
}

// Guards against a long configuration that is sent to all hosts of a data centre at once and exceeds the memory of
// the host.
func TestUpdateSizeBoundsTheBody(t *testing.T) {
	g := NewWithT(t)
	u := catalogue.Update{After: 1 << 60, Revision: 1 << 61, FullRead: true, StoreRecovered: true}
	for range 100 {
		key := strings.Repeat("k", 200)
		u.Keys = append(u.Keys, key)
		u.Events = append(u.Events, keyvalue.Event{Deleted: true, Entry: keyvalue.Entry{
			Key: key, Value: make([]byte, 10_001), CreateRevision: 1 << 61, ModRevision: 1 << 61, Lease: 1 << 61,
		}})
	}
	body, err := json.Marshal(updateMessage{Update: u, AgeMs: 1 << 40, Heard: 1 << 60, HeardIncarnation: 1 << 60})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(updateSize(u)).To(BeNumerically(">=", len(body)))
	g.Expect(updateSize(u)).To(BeNumerically("<", 2*len(body)))
}
