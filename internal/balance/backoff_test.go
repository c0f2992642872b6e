package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

var _ = Describe("a target that wants nothing for a while", func() {
	const while = 2 * time.Second

	It("gets nothing from the host that it has told, and all again afterwards", func() {
		b := book(1)
		b.BackOff(start, "t00", while)
		_, ok := b.Choose(start.Add(while-time.Millisecond), prompt(1000), nil)
		Expect(ok).To(BeFalse())
		opens, ok := b.BackoffLeft(start.Add(while/2), service)
		Expect(ok).To(BeTrue())
		Expect(opens).To(Equal(while / 2))
		Expect(choose(b, start.Add(while), prompt(1000))).To(Equal("t00"))
		_, ok = b.BackoffLeft(start.Add(while), service)
		Expect(ok).To(BeFalse())
	})

	It("is no failure of the target", func() {
		b := book(1)
		for range 5 {
			b.End(start, b.Begin(start, "t00", prompt(1000)), balance.Deferred)
		}
		Expect(b.Dump(start)[0].FaultRate).To(BeZero())
		Expect(b.Dump(start)[0].Ejected).To(BeFalse())
	})

	It("is left alone for a bounded time, and not by its next process", func() {
		b := book(1)
		b.BackOff(start, "t00", 1000*time.Hour)
		_, ok := b.Choose(start.Add(balance.MaxBackoff-time.Second), prompt(1000), nil)
		Expect(ok).To(BeFalse())
		Expect(choose(b, start.Add(balance.MaxBackoff), prompt(1000))).To(Equal("t00"))

		b.BackOff(start, "t00", while)
		s := targets(1)
		next := s.Targets["t00"]
		next.Incarnation = "t00@2"
		s.Targets["t00"] = next
		b.Configure(s)
		Expect(choose(b, start, prompt(1000))).To(Equal("t00"))
	})

	It("gets less from hosts that are told of it, and something while there is no other", func() {
		one, other := book(2), book(2)
		one.BackOff(start, "t00", while)
		c, ok := one.ChangeFor(start, "t00", balance.Work{})
		Expect(ok).To(BeTrue())
		other.ApplyChange(start, "h1", c)
		for range 20 {
			Expect(choose(other, start.Add(while/2), prompt(1000))).To(Equal("t01"))
		}
		other.BackOff(start, "t01", while)
		Expect(choose(other, start.Add(while/2), prompt(1000))).To(Equal("t00"))
	})

	It("is not kept alone by hosts that tell one another", func() {
		one, other := book(1), book(1)
		one.BackOff(start, "t00", while)
		now := start
		for now.Before(start.Add(2 * while)) {
			now = now.Add(10 * time.Millisecond)
			for _, pair := range [][2]*balance.Balancer{{one, other}, {other, one}} {
				c, _ := pair[0].ChangeFor(now, "t00", balance.Work{})
				pair[1].ApplyChange(now.Add(3*time.Millisecond), "h", c)
			}
		}
		Expect(other.Dump(now)[0].BackingOff).To(BeFalse())
		Expect(one.Dump(now)[0].BackingOff).To(BeFalse())
	})
})

var _ = Describe("long prompts at a target of a large region", func() {
	// Streams run, and prompts that come one after another leave them no moment.
	const hosts = 12
	say := func(pause time.Duration) (balance.Choice, bool) {
		b := book(2)
		live := make([]string, hosts)
		for i := range live {
			live[i] = string(rune('a' + i))
		}
		b.SetHosts(balance.Hosts{Self: "a", Live: live, Known: hosts, Settled: true})
		w := prompt(9000)
		busy := balance.TargetLoad{
			TargetShare: balance.TargetShare{Flights: 12, Backlog: [2]int{0, 18000}, PauseMs: int(pause.Milliseconds())}, Unread: 9000, ReadingMs: 500,
		}
		w.Loads = map[string]balance.TargetLoad{"t00": busy, "t01": busy}
		return b.Choose(start, w, nil)
	}

	It("are held until it rests where its streams are seen to pause", func() {
		choice, ok := say(gap * 6 / 10)
		Expect(ok).To(BeTrue())
		Expect(choice.Prediction.Hold).To(BeNumerically(">", 0))
	})

	It("are sent at once where its streams go on", func() {
		choice, ok := say(gap / 10)
		Expect(ok).To(BeTrue())
		Expect(choice.Prediction.Hold).To(BeZero())
	})
})
