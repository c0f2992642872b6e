package straggler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

var _ = Describe("a detector", func() {
	const fast, slow = 25 * time.Millisecond, 200 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	var d *straggler.Detector
	var now time.Time

	observe := func(target string, latency time.Duration) bool {
		return d.Observe(now, target, straggler.PerToken, latency)
	}
	BeforeEach(func() {
		d, now = straggler.NewDetector(0.34), start
		for range 5 {
			for i := range 6 {
				observe(fmt.Sprintf("t%d", i), fast)
			}
		}
	})

	It("ejects only the target that has become slow", func() {
		for range 4 {
			observe("t0", slow)
		}
		Expect(d.Monitor("t0").Ejected(now)).To(BeTrue())
		Expect(d.Monitor("t1").Ejected(now)).To(BeFalse())
	})

	It("ejects no target when all are slow", func() {
		for range 20 {
			for i := range 6 {
				observe(fmt.Sprintf("t%d", i), slow)
			}
		}
		ejected := 0
		for i := range 6 {
			if d.Monitor(fmt.Sprintf("t%d", i)).Ejected(now.Add(time.Minute)) {
				ejected++
			}
		}
		Expect(ejected).To(BeZero())
	})

	It("never ejects more than the maximum share of targets", func() {
		for range 20 {
			for i := range 3 {
				observe(fmt.Sprintf("t%d", i), slow)
			}
		}
		ejected := 0
		for i := range 6 {
			if d.Monitor(fmt.Sprintf("t%d", i)).Ejected(now) {
				ejected++
			}
		}
		Expect(ejected).To(Equal(2))
	})

	It("keeps a target ejected while its calls are slow and reinstates it once they are fast", func() {
		for range 4 {
			observe("t0", slow)
		}
		for range 40 {
			now = now.Add(500 * time.Millisecond)
			observe("t0", slow)
			Expect(d.Monitor("t0").Ejected(now)).To(BeTrue())
		}
		for range 3 {
			observe("t0", fast)
		}
		Expect(d.Monitor("t0").Ejected(now)).To(BeFalse())
		Expect(d.Monitor("t0").OnProbation()).To(BeFalse())
	})
})
