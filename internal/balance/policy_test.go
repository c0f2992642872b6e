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
		It("is checked: "+c.Name, func() {
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

	with := func(p balance.Policy) *balance.Balancer {
		b := balance.NewBalancer("north", 1, balance.WithPolicy(p))
		b.Configure(targets(2))
		b.SetHosts(balance.Hosts{Self: "h1", Live: []string{"h1"}, Known: 1, Settled: true})
		return b
	}

	It("fetches nothing without fetches", func() {
		p := balance.DefaultPolicy().WithoutFetches()
		b := with(p)
		b.FirstByte(start, b.Begin(start, "t00", shared(7, 13000, 1000)))
		later := start.Add(time.Second)
		b.Begin(later, "t00", prompt(30000))
		choice, _ := b.Choose(later, shared(7, 13000, 2000), nil)
		Expect(choice.Fetched).To(Equal(0))
	})

	It("asks no target what it keeps without lists", func() {
		b := with(balance.DefaultPolicy().WithoutCacheListing())
		choose(b, start, prompt(100))
		b.DueListings(start)
		Expect(b.DueListings(start.Add(time.Minute))).To(BeEmpty())
	})

	It("goes to no region for what it keeps without keepers", func() {
		q := balance.DecisionInput{
			Policy: balance.DefaultPolicy().WithoutRegionAffinity(), HasLocal: true, AffinityRegion: "south", LatencyObjective: time.Second, Remaining: 10 * time.Second, Work: prompt(5000),
			Remote: []balance.RegionCandidate{{Region: "south", Processing: 50 * time.Millisecond, RoundTrip: 100 * time.Millisecond}},
		}
		Expect(balance.Decide(q).Local).To(BeTrue())
		q.Policy = balance.Policy{}
		Expect(balance.Decide(q).Region).To(Equal("south"))
	})
})
