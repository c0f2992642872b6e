package balance_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

type policyCase struct {
	Name       string
	Policy     json.RawMessage
	Wrong      []string
	Unreadable bool
}

var _ = Describe("a policy", func() {
	for _, c := range readCases[policyCase]("testdata/policies.json") {
		It("is validated: "+c.Name, func() {
			p := balance.DefaultPolicy()
			err := json.Unmarshal(c.Policy, &p)
			if c.Unreadable {
				Expect(err).To(HaveOccurred())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			paths := []string{}
			for _, problem := range p.Check("Policy") {
				paths = append(paths, problem.Path)
			}
			Expect(paths).To(ConsistOf(c.Wrong))
		})
	}

	balancerWith := func(p balance.Policy) *balance.Balancer {
		b := balance.NewBalancer("north", 1, balance.WithPolicy(p))
		b.Configure(start, snapshotOf(2))
		b.SetHosts(start, balance.Hosts{Self: "h1", Live: []string{"h1"}, Known: 1, Settled: true})
		return b
	}

	It("fetches nothing with WithoutFetches", func() {
		p := balance.DefaultPolicy().WithoutFetches()
		b := balancerWith(p)
		b.FirstByte(start, b.Begin(start, "t00", sharedWork(7, 13000, 1000)))
		later := start.Add(time.Second)
		b.Begin(later, "t00", promptWork(30000))
		choice, _ := b.Choose(later, sharedWork(7, 13000, 2000), nil)
		Expect(choice.Fetched).To(Equal(0))
	})

	It("requests no listings with WithoutCacheListing", func() {
		b := balancerWith(balance.DefaultPolicy().WithoutCacheListing())
		chooseID(b, start, promptWork(100))
		b.DueListings(start)
		Expect(b.DueListings(start.Add(time.Minute))).To(BeEmpty())
	})

	It("ignores the affinity region with WithoutRegionAffinity", func() {
		in := balance.DecisionInput{
			Policy: balance.DefaultPolicy().WithoutRegionAffinity(), HasLocal: true, AffinityRegion: "south", LatencyObjective: time.Second, Remaining: 10 * time.Second, Work: promptWork(5000),
			Remote: []balance.RegionCandidate{{Region: "south", Processing: 50 * time.Millisecond, RoundTrip: 100 * time.Millisecond}},
		}
		Expect(balance.Decide(in).Local).To(BeTrue())
		in.Policy = balance.Policy{}
		Expect(balance.Decide(in).Region).To(Equal("south"))
	})
})

// Guards against large calls of an urgent route that are refused, while bursts make streams pause, because their
// workspace has a priority other than 0.
var _ = Describe("a call while streams pause for half of what is acceptable", func() {
	DescribeTable("starts if it is urgent by its own priority or by its route", func(priority int, urgent, starts bool) {
		d := balance.Decide(balance.DecisionInput{
			HasLocal: true, Local: balance.Choice{Pause: 200 * time.Millisecond}, LatencyObjective: time.Second, Remaining: 10 * time.Second,
			Work: balance.Work{Service: "model", Tokens: 1000, Priority: priority, Urgent: urgent, MaxGap: 400 * time.Millisecond},
		})
		Expect(d.Local).To(Equal(starts))
	},
		Entry("priority 0", 0, false, true),
		Entry("an urgent route of a workspace with priority 1", 1, true, true),
		Entry("neither", 1, false, false),
	)
})
