package balance_test

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

var _ = Describe("even load in a large region", func() {
	const hosts = 40
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%02d", i))
	}
	region := func(targets int, p balance.Policy) []*balance.Balancer {
		list := make([]*balance.Balancer, 0, hosts)
		for i, name := range names {
			b := balance.NewBalancer("north", uint64(i), balance.WithPolicy(p))
			b.Configure(start, snapshotOf(targets))
			b.SetHosts(start, balance.Hosts{Self: name, Live: names, Attached: names, Known: hosts, Sharers: hosts, Settled: true})
			list = append(list, b)
		}
		return list
	}
	coordinator := func(list []*balance.Balancer, target string) *balance.Balancer {
		for i, b := range list {
			if b.CoordinatorOf(target) == names[i] {
				return b
			}
		}
		return nil
	}
	// most returns the largest share of the hosts' queries that goes to one target, when all have a report
	// of the given age by which the backlog of each target is a little longer than that of the one before.
	most := func(age time.Duration, p balance.Policy) float64 {
		const targets = 20
		counts, highest, all := map[string]int{}, 0, 0
		totals := map[string]balance.TargetShare{}
		for i := range targets {
			totals[fmt.Sprintf("t%02d", i)] = balance.TargetShare{Flights: 1, Backlog: [2]int{0, 24000 + 1000*i}}
		}
		for _, b := range region(targets, p) {
			b.Merge(start, "other", balance.Share{Totals: totals})
			for _, id := range b.Candidates(start.Add(age), promptWork(2000), nil) {
				counts[id]++
				highest, all = max(highest, counts[id]), all+1
			}
		}
		return float64(highest) / float64(all)
	}

	// Guards against all hosts of a region sending to the targets that were least loaded at the last report.
	It("spreads the queries of hosts with the same old report", func() {
		const even = 1.0 / 20
		sampled := balance.DefaultPolicy().WithEvenLoad()
		sampled.SampleSpread = 0.5
		Expect(most(600*time.Millisecond, sampled)).To(BeNumerically("<", 3*even))
		Expect(most(600*time.Millisecond, balance.DefaultPolicy())).To(BeNumerically(">=", 4*even))
	})

	It("queries the targets with the lowest predicted time while the report is new", func() {
		sampled := balance.DefaultPolicy().WithEvenLoad()
		sampled.SampleSpread = 0.5
		Expect(most(0, sampled)).To(Equal(most(0, balance.DefaultPolicy())))
	})

	// read has the hosts report prompts that the target reads one after another at the given rate.
	read := func(b *balance.Balancer, target string, tokensPerMs int) time.Time {
		const tokens = 6000
		now := start
		for i := range 20 {
			host := names[i]
			b.ApplyChange(now, host, balance.Change{Target: target, Share: balance.TargetShare{Flights: 1, Backlog: [2]int{0, tokens}}})
			now = now.Add(15*time.Millisecond + time.Duration(tokens/tokensPerMs)*time.Millisecond)
			b.ApplyChange(now, host, balance.Change{Target: target, Share: balance.TargetShare{Flights: 1}})
		}
		return now
	}

	// Guards against as much work for targets of 0.6 of the speed as for those of 1.6.
	It("predicts by the speeds that coordinators measure from the reports of all hosts", func() {
		list := region(2, balance.DefaultPolicy().WithEvenLoad())
		other := list[hosts-1]
		capacity := other.RegionLoad(start, serviceName).Capacity
		for id, rate := range map[string]int{"t00": 60, "t01": 150} {
			b := coordinator(list, id)
			now := read(b, id, rate)
			Expect(b.PacesOf(now, []string{id})).To(ConsistOf(BeNumerically("~", 10*rate, rate)))
			data, err := cbor.Marshal(b.Share(now))
			Expect(err).NotTo(HaveOccurred())
			var share balance.Share
			Expect(cbor.Unmarshal(data, &share)).To(Succeed())
			other.Merge(now, b.CoordinatorOf(id), share)
		}
		rates := map[string]float64{}
		for _, d := range other.Dump(start.Add(time.Second)) {
			rates[d.ID] = d.Rate
		}
		Expect(rates["t01"] / rates["t00"]).To(BeNumerically("~", 2.5, 0.3))
		// Guards against work that goes to other regions earlier than before.
		Expect(other.RegionLoad(start, serviceName).Capacity).To(Equal(capacity))
	})

	// Guards against targets that seem fast because they refuse calls.
	It("does not count refused prompts as read", func() {
		b := coordinator(region(1, balance.DefaultPolicy().WithEvenLoad()), "t00")
		now := start
		for i := range 200 {
			host := names[i%hosts]
			b.ApplyChange(now, host, balance.Change{Target: "t00", Share: balance.TargetShare{Flights: 1, Backlog: [2]int{0, 9000}}})
			now = now.Add(2 * time.Millisecond)
			b.ApplyChange(now, host, balance.Change{Target: "t00"})
		}
		Expect(b.PacesOf(now, []string{"t00"})).To(BeEmpty())
	})

	It("is readable for hosts of the build before", func() {
		b := coordinator(region(1, balance.DefaultPolicy().WithEvenLoad()), "t00")
		data, err := cbor.Marshal(b.Share(read(b, "t00", 100)))
		Expect(err).NotTo(HaveOccurred())
		var before struct {
			Totals map[string]balance.TargetShare `cbor:"2,keyasint,omitempty"`
		}
		Expect(cbor.Unmarshal(data, &before)).To(Succeed())
		Expect(before.Totals).To(HaveKey("t00"))
	})

	loads := func(full ...string) map[string]balance.TargetLoad {
		out := map[string]balance.TargetLoad{}
		for _, id := range []string{"t00", "t01", "t02", "t03"} {
			out[id] = balance.TargetLoad{Unread: 9000, TargetShare: balance.TargetShare{Flights: 20}}
		}
		for _, id := range full {
			out[id] = balance.TargetLoad{TargetShare: balance.TargetShare{Flights: 64}}
		}
		return out
	}

	// Guards against sends to targets that other hosts have just filled.
	DescribeTable("sends to full targets", func(refused bool, expectFull bool, full ...string) {
		b := region(4, balance.DefaultPolicy().WithEvenLoad())[0]
		if refused {
			b.End(start, b.Begin(start, "t03", promptWork(10)), balance.Refused)
		}
		w := promptWork(9000)
		w.Loads = loads(full...)
		choice, ok := b.Choose(start, w, nil)
		Expect(ok).To(BeTrue())
		if expectFull {
			Expect(full).To(ContainElement(choice.Target.ID))
		} else {
			Expect(full).NotTo(ContainElement(choice.Target.ID))
			Expect(choice.Full).To(Equal(len(full)))
		}
	},
		Entry("of a service whose targets queue calls", false, true, "t00"),
		Entry("not while most others have free slots", true, false, "t00"),
		Entry("when most are full, for their cached parts", true, true, "t00", "t01", "t02"),
	)
})
