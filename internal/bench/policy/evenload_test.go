package policy_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/bench/policy"
)

// evenLoad runs a cell at 0.8 of the capacity, changed as given.
func evenLoad(way string, change func(*policy.EvenLoad)) policy.EvenLoadRow {
	e := policy.EvenLoad{Hosts: 60, Targets: 58, AgeMs: 600, Speeds: []float64{0.6, 1, 1.6}, Load: 0.8, Way: way, Policy: balance.DefaultPolicy().WithEvenLoad()}
	change(&e)
	row, err := e.Run(1)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return row
}

var _ = Describe("the even-load simulation", func() {
	It("returns the same row for the same seed", func() {
		rows := []string{}
		for range 2 {
			rows = append(rows, fmt.Sprint(evenLoad(policy.WayBalancer, func(e *policy.EvenLoad) { e.Load = 0.2 })))
		}
		Expect(rows[0]).To(Equal(rows[1]))
	})

	It("shows that an all-knowing choice sends nothing to a full target below the capacity", func() {
		row := evenLoad(policy.WayOracle, func(*policy.EvenLoad) {})
		Expect(row.RejectedShare).To(BeZero())
		Expect(row.UnservedShare).To(BeZero())
	})

	// Guards against slow targets that get as much work as fast ones: their prompts make the tail.
	It("shows earlier first tokens with targets of different speeds by the policy of hosts", func() {
		row := evenLoad(policy.WayBalancer, func(*policy.EvenLoad) {})
		before := evenLoad(policy.WayBalancer, func(e *policy.EvenLoad) { e.Policy = balance.DefaultPolicy() })
		Expect(row.FirstTokenP99Ms).To(BeNumerically("<", before.FirstTokenP99Ms))
		Expect(row.UnservedShare).To(BeNumerically("<=", before.UnservedShare))
	})

	It("has a name of its own for each cell", func() {
		names := map[string]bool{}
		for _, cell := range policy.EvenLoadCells() {
			names[cell.Name()] = true
		}
		Expect(names).To(HaveLen(len(policy.EvenLoadCells())))
	})
})
