package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

var _ = Describe("a target whose streams all stop", func() {
	const pause = 50 * time.Millisecond
	// startStreams starts streams at the first target that bring events for a second.
	startStreams := func(b *balance.Balancer, streams int) []*balance.Flight {
		var out []*balance.Flight
		for range streams {
			f := b.Begin(start, "t00", promptWork(100))
			b.FirstByte(start, f)
			for at := pause; at <= time.Second; at += pause {
				b.Event(start.Add(at), f, pause)
			}
			out = append(out, f)
		}
		return out
	}
	chosenIDs := func(b *balance.Balancer, at time.Duration) map[string]bool {
		ids := map[string]bool{}
		for range 50 {
			ids[chooseID(b, start.Add(at), promptWork(100))] = true
		}
		return ids
	}

	It("gets no more calls soon after the streams stop, well before the first caller's deadline", func() {
		b := newBalancer(2)
		startStreams(b, 3)
		Expect(chosenIDs(b, 1100*time.Millisecond)).To(HaveKey("t00"))
		Expect(chosenIDs(b, 2*time.Second)).To(Equal(map[string]bool{"t01": true}))
	})

	It("is ejected for some time when its streams end without an answer", func() {
		b := newBalancer(2)
		for _, f := range startStreams(b, 2) {
			b.End(start.Add(2500*time.Millisecond), f, balance.Silent)
		}
		Expect(chosenIDs(b, 2600*time.Millisecond)).To(Equal(map[string]bool{"t01": true}))
		Expect(chosenIDs(b, 20*time.Second)).To(HaveKey("t00"))
	})

	It("is used again as soon as one stream continues", func() {
		b := newBalancer(2)
		flights := startStreams(b, 3)
		b.Event(start.Add(2*time.Second), flights[0], time.Second)
		Expect(chosenIDs(b, 2100*time.Millisecond)).To(HaveKey("t00"))
	})

	It("is not considered unresponsive for a single silent stream", func() {
		b := newBalancer(2)
		startStreams(b, 1)
		Expect(chosenIDs(b, 3*time.Second)).To(HaveKey("t00"))
	})

	It("is used if there is no other target", func() {
		b := newBalancer(1)
		startStreams(b, 3)
		Expect(chosenIDs(b, 3*time.Second)).To(HaveKey("t00"))
	})
})
