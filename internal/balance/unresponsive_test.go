package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

var _ = Describe("a target that goes dark with its streams", func() {
	const pause = 50 * time.Millisecond
	// stream begins streams at the first target that bring events for a second.
	stream := func(b *balance.Balancer, streams int) []*balance.Flight {
		var out []*balance.Flight
		for range streams {
			f := b.Begin(start, "t00", prompt(100))
			b.FirstByte(start, f)
			for at := pause; at <= time.Second; at += pause {
				b.Event(start.Add(at), f, pause)
			}
			out = append(out, f)
		}
		return out
	}
	chosen := func(b *balance.Balancer, at time.Duration) map[string]bool {
		ids := map[string]bool{}
		for range 50 {
			ids[choose(b, start.Add(at), prompt(100))] = true
		}
		return ids
	}

	It("gets no more calls once all are silent, well before the first caller gives up", func() {
		b := book(2)
		stream(b, 3)
		Expect(chosen(b, 1100*time.Millisecond)).To(HaveKey("t00"))
		Expect(chosen(b, 2*time.Second)).To(Equal(map[string]bool{"t01": true}))
	})

	It("is left out for a while when its streams end in silence", func() {
		b := book(2)
		for _, f := range stream(b, 2) {
			b.End(start.Add(2500*time.Millisecond), f, balance.Silent)
		}
		Expect(chosen(b, 2600*time.Millisecond)).To(Equal(map[string]bool{"t01": true}))
		Expect(chosen(b, 20*time.Second)).To(HaveKey("t00"))
	})

	It("is used again as soon as one goes on", func() {
		b := book(2)
		flights := stream(b, 3)
		b.Event(start.Add(2*time.Second), flights[0], time.Second)
		Expect(chosen(b, 2100*time.Millisecond)).To(HaveKey("t00"))
	})

	It("is not to be told from one with a single slow stream", func() {
		b := book(2)
		stream(b, 1)
		Expect(chosen(b, 3*time.Second)).To(HaveKey("t00"))
	})

	It("is used all the same when there is no other", func() {
		b := book(1)
		stream(b, 3)
		Expect(chosen(b, 3*time.Second)).To(HaveKey("t00"))
	})
})
