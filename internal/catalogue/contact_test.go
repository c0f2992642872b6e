package catalogue_test

import (
	"context"
	"math"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

// interruptedStore is a store whose machine's reader is interrupted while it answers.
type interruptedStore struct{ during func() }

func (s interruptedStore) Read(context.Context) (keyvalue.Page, error) {
	s.during()
	return keyvalue.Page{Revision: 1}, nil
}

func (s interruptedStore) Changes(_ context.Context, after int64) ([]keyvalue.Event, int64, error) {
	return nil, after, nil
}

// hangingStore is a store that answers no call that waits for changes.
type hangingStore struct {
	interruptedStore
	ended chan struct{}
}

func (s hangingStore) Changes(context.Context, int64) ([]keyvalue.Event, int64, error) {
	<-s.ended
	return nil, 0, context.Canceled
}

// hurriedClock is a clock that is set by hand and whose waits are short.
type hurriedClock struct{ manualClock }

func (*hurriedClock) After(time.Duration) <-chan time.Time { return time.After(time.Millisecond) }

// contactHost is a host whose requests to the store and to other hosts call during and get difference.
type contactHost struct {
	*catalogue.Follower
	clock      *manualClock
	during     func()
	difference catalogue.Difference
}

func newContactHost(clock *manualClock) *contactHost {
	h := &contactHost{clock: clock, during: func() {}}
	fetch := func(context.Context, int64) (catalogue.Difference, error) {
		h.during()
		return h.difference, nil
	}
	own := catalogue.New(testDecoder{}, map[string]string{"n1": "north"}, catalogue.WithClock(clock))
	h.Follower = catalogue.NewFollower(own, interruptedStore{during: func() { h.during() }}, fetch, memberGroup{}, clock, logr.Discard())
	return h
}

// Guards against withdrawn keys that run, as a host takes its configuration for the newest one without proof.
var _ = Describe("the time until which a host has all changes", func() {
	ctx := context.Background()
	age := func(ms int64) *int64 { return &ms }

	DescribeTable("is not proven by", func(act func(h *contactHost)) {
		h := newContactHost(&manualClock{now: time.Unix(1000, 0)})
		act(h)
		Expect(h.LastContact()).To(BeZero())
	},
		Entry("the answer to a read from before a suspension", func(h *contactHost) {
			h.during = h.ForgetContact
			h.ReadOnce(ctx)
		}),
		Entry("the answer of another host to a request from before a suspension", func(h *contactHost) {
			h.during, h.difference = h.ForgetContact, catalogue.Difference{ContactAgeMs: age(0)}
			h.FetchFromPeer(ctx)
		}),
		Entry("an update whose time was found out before a suspension", func(h *contactHost) {
			contact := h.NewContact().At(h.clock.Now())
			h.ForgetContact()
			h.HandleUpdate(catalogue.Update{Revision: 1}, contact)
		}),
		Entry("an update of which no time is known", func(h *contactHost) { h.HandleUpdate(catalogue.Update{Revision: 1}, catalogue.Contact{}) }),
		Entry("an update without a revision", func(h *contactHost) {
			h.HandleUpdate(catalogue.Update{Partial: true}, h.NewContact().At(h.clock.Now()))
		}),
		Entry("an update after a gap", func(h *contactHost) {
			h.HandleUpdate(catalogue.Update{After: 7, Revision: 8}, h.NewContact().At(h.clock.Now()))
		}),
		Entry("changes of another host without an age", func(h *contactHost) { h.FetchFromPeer(ctx) }),
		Entry("changes with an age below zero", func(h *contactHost) {
			h.difference.ContactAgeMs = age(-1)
			h.FetchFromPeer(ctx)
		}),
		Entry("changes with an age that overflows", func(h *contactHost) {
			h.difference.ContactAgeMs = age(math.MaxInt64 / 2)
			h.FetchFromPeer(ctx)
		}),
	)

	It("is that of the request, before the answer", func() {
		clock := &manualClock{now: time.Unix(1000, 0)}
		h, asked := newContactHost(clock), clock.Now()
		h.during = func() { clock.advance(3 * time.Second) }
		h.ReadOnce(ctx)
		Expect(h.LastContact()).To(Equal(asked))
		asked = clock.Now()
		h.difference.ContactAgeMs = age(700)
		h.FetchFromPeer(ctx)
		Expect(h.LastContact()).To(Equal(asked.Add(-700 * time.Millisecond)))
	})

	// Guards against a proof that becomes younger as hosts without a store pass it around.
	It("does not advance on a ring of hosts of which none reaches the store", func() {
		clock := &manualClock{now: time.Unix(1000, 0)}
		const hosts, rounds, onTheWay = 4, 5, 40 * time.Millisecond
		ring := make([]*contactHost, hosts)
		for i := range ring {
			ring[i] = newContactHost(clock)
		}
		ring[0].ReadOnce(ctx)
		proven := ring[0].LastContact()
		for n := range rounds * hosts {
			from, to := ring[n%hosts], ring[(n+1)%hosts]
			to.during = func() {
				clock.advance(onTheWay)
				to.difference.ContactAgeMs = age(clock.Now().Sub(from.LastContact()).Milliseconds())
				clock.advance(onTheWay)
			}
			to.FetchFromPeer(ctx)
			Expect(to.LastContact()).NotTo(BeZero())
			Expect(to.LastContact()).NotTo(BeTemporally(">", proven))
		}
	})

	// Guards against calls that are refused, as a call to the store hangs for as long as the proof holds.
	It("is asked of other hosts while a call to the store hangs", func() {
		clock := &hurriedClock{manualClock{now: time.Unix(1000, 0)}}
		store := hangingStore{interruptedStore{during: func() {}}, make(chan struct{})}
		fetched := make(chan struct{}, 1)
		fetch := func(context.Context, int64) (catalogue.Difference, error) {
			select {
			case fetched <- struct{}{}:
			default:
			}
			return catalogue.Difference{ContactAgeMs: age(0)}, nil
		}
		group := readerGroup{sent: make(chan catalogue.Update, 8)}
		own := catalogue.New(testDecoder{}, map[string]string{"n1": "north"}, catalogue.WithClock(clock))
		follower := catalogue.NewFollower(own, store, fetch, group, clock, logr.Discard())
		ctx, cancel := context.WithCancel(ctx)
		ended := make(chan error, 2)
		go func() { ended <- follower.FollowStore(ctx) }()
		Eventually(follower.LastContact).Should(Equal(clock.Now()))
		go func() { ended <- follower.FollowPeers(ctx) }()
		DeferCleanup(func() {
			cancel()
			close(store.ended)
			for range cap(ended) {
				Eventually(ended).WithTimeout(5 * time.Second).Should(Receive())
			}
		})
		clock.advance(2600 * time.Millisecond)
		Eventually(fetched).WithTimeout(5 * time.Second).Should(Receive())
		Eventually(follower.LastContact).WithTimeout(5 * time.Second).Should(Equal(clock.Now()))
	})
})
