package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

var _ = Describe("a brittle target", func() {
	const slots = 64 // of the targets of snapshotOf
	newOwner := func(tolerated int) *balance.Balancer {
		b := newBalancer(1)
		_, changed := b.RecordBrittle(start, start, "t00", balance.BrittleStatement{Brittle: true, Tolerated: tolerated})
		Expect(changed).To(BeTrue())
		return b
	}
	// fill sends calls as long as they are admitted, and returns their number.
	fill := func(b *balance.Balancer, now time.Time) []*balance.Flight {
		var out []*balance.Flight
		for len(out) < 2*slots && b.Admit(now, "t00", 1).Granted {
			out = append(out, b.Begin(now, "t00", promptWork(100)))
		}
		return out
	}

	It("gets no more calls at once than it has slots, and another one once a call has ended", func() {
		b := newOwner(5)
		flights := fill(b, start)
		Expect(flights).To(HaveLen(slots))
		_, ok := b.Choose(start, promptWork(100), nil)
		Expect(ok).To(BeFalse())
		b.End(start.Add(time.Second), flights[0], balance.Answered)
		Expect(fill(b, start.Add(time.Second))).To(HaveLen(1))
	})

	It("counts calls that other hosts may send until it is known that they were sent", func() {
		b := newOwner(5)
		for range slots {
			Expect(b.AdmitFor(start, "h2", "t00", 1).Granted).To(BeTrue())
		}
		Expect(b.Admit(start, "t00", 1).Granted).To(BeFalse())
	})

	// Guards against a burst of calls that the target turns away until hosts have learned its room.
	It("gets no calls for a second once it has turned half of the tolerated number away, and fewer at once afterwards", func() {
		b := newOwner(4)
		flights := fill(b, start)
		for range 2 {
			b.End(start, flights[0], balance.Refused)
			flights = flights[1:]
			_, brittle := b.RecordRefusal(start, "t00")
			Expect(brittle).To(BeTrue())
		}
		b.End(start, flights[0], balance.Answered)
		b.End(start, flights[1], balance.Answered)
		Expect(fill(b, start.Add(900*time.Millisecond))).To(BeEmpty())
		Expect(fill(b, start.Add(1500*time.Millisecond))).To(HaveLen(2)) // as many as have ended since
	})

	It("is used like any other once a later response does not state that it is brittle", func() {
		b := newOwner(0)
		_, changed := b.RecordBrittle(start.Add(time.Second), start.Add(-time.Second), "t00", balance.BrittleStatement{})
		Expect(changed).To(BeFalse()) // an earlier call's response
		Expect(b.Brittle(start.Add(time.Second), "t00")).To(BeTrue())
		_, changed = b.RecordBrittle(start.Add(time.Second), start.Add(time.Millisecond), "t00", balance.BrittleStatement{})
		Expect(changed).To(BeTrue())
		Expect(b.Brittle(start.Add(time.Second), "t00")).To(BeFalse())
	})
})
