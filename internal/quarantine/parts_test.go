package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/quarantine"
)

var _ = Describe("the quarantine of parts", func() {
	var p *quarantine.Parts
	now := time.Unix(1e9, 0)

	BeforeEach(func() { p = quarantine.NewParts() })

	suspects := func(id string, parts ...string) quarantine.PartCrash {
		return quarantine.PartCrash{ID: id, Suspects: parts}
	}
	tried := func(id string, parts ...string) quarantine.PartCrash {
		return quarantine.PartCrash{ID: id, Suspects: parts, Tried: parts}
	}

	It("suspects the unproven parts of a crash, and quarantines one whose trial crashes a target", func() {
		p.Answered(now, []string{"a"})
		p.AddCrash(now, suspects("1", "a", "b", "dead"))
		Expect(p.Status(now, "a")).To(Equal(quarantine.Clear))
		Expect(p.Status(now, "b")).To(Equal(quarantine.Suspected))
		Expect(p.Status(now, "dead")).To(Equal(quarantine.Suspected))
		p.AddCrash(now, tried("2", "dead"))
		Expect(p.Status(now, "dead")).To(Equal(quarantine.Quarantined))
		Expect(p.Status(now, "b")).To(Equal(quarantine.Clear), "the quarantined part explains the crash")
	})

	It("is independent of the order of reports", func() {
		reports := []quarantine.PartCrash{suspects("1", "b", "dead"), tried("2", "dead"), suspects("2", "c")}
		for range 50 {
			rand.Shuffle(len(reports), func(i, k int) { reports[i], reports[k] = reports[k], reports[i] })
			q := quarantine.NewParts()
			for _, r := range reports {
				q.AddCrash(now, r)
			}
			Expect([]quarantine.Status{q.Status(now, "b"), q.Status(now, "c"), q.Status(now, "dead")}).To(
				Equal([]quarantine.Status{quarantine.Clear, quarantine.Clear, quarantine.Quarantined}))
		}
	})

	// Guards against quarantining parts in use when many targets stop for another cause.
	It("quarantines nothing when many targets crash without a trial", func() {
		for n := range 20 {
			p.AddCrash(now, suspects(fmt.Sprint(n), "a", "b"))
		}
		Expect(p.Status(now, "a")).To(Equal(quarantine.Suspected))
		Expect(p.Answered(now, []string{"a"})).To(HaveLen(1))
		Expect(p.Status(now, "a")).To(Equal(quarantine.Clear))
	})

	It("suspects a part with an answer on record only after three crashes without a further answer", func() {
		p.Answered(now, []string{"a"})
		for n := range 3 {
			Expect(p.Status(now, "a")).To(Equal(quarantine.Clear))
			p.AddCrash(now, suspects(fmt.Sprint(n), "a"))
		}
		Expect(p.Status(now, "a")).To(Equal(quarantine.Suspected))
	})

	It("quarantines two parts that always come together after three crashes", func() {
		p.AddCrash(now, suspects("1", "x", "y"))
		p.AddCrash(now, tried("2", "x", "y"))
		Expect(p.Status(now, "x")).To(Equal(quarantine.Suspected))
		p.AddCrash(now, tried("3", "x", "y"))
		Expect(p.Status(now, "x")).To(Equal(quarantine.Quarantined))
		Expect(p.Status(now, "y")).To(Equal(quarantine.Quarantined))
	})

	It("runs one trial of a part at a time, and lets a quarantined part in again for one", func() {
		p.AddCrash(now, suspects("1", "dead"))
		Expect(p.StartTrial(now, []string{"dead"}, "call-1")).To(BeTrue())
		Expect(p.StartTrial(now, []string{"dead"}, "call-2")).To(BeFalse())
		p.ApplyTrial(now, quarantine.Trial{Part: "dead", Call: "call-1", Ended: true})
		Expect(p.StartTrial(now, []string{"dead"}, "call-2")).To(BeTrue())
		p.AddCrash(now, tried("2", "dead"))
		release := p.ReleaseIn(now, "dead")
		Expect(release).To(Equal(time.Minute))
		later := now.Add(release)
		Expect(p.Status(later, "dead")).To(Equal(quarantine.Suspected))
		p.AddCrash(later, tried("3", "dead"))
		Expect(p.ReleaseIn(later, "dead")).To(Equal(4 * time.Minute))
		Expect(p.Answered(later, []string{"dead"})).To(HaveLen(1))
		Expect(p.Status(later, "dead")).To(Equal(quarantine.Clear))
	})

	It("ends a suspicion by the clearance of another host, whatever the order of the messages", func() {
		c := quarantine.Clearance{Part: "a", CrashIDs: []string{"1"}}
		p.Clear(now, c)
		p.AddCrash(now, suspects("1", "a"))
		Expect(p.Status(now, "a")).To(Equal(quarantine.Clear))
	})

	// Guards against memory that grows with what callers send.
	It("keeps a bounded number of parts, and still finds the one in quarantine", func() {
		p.AddCrash(now, suspects("1", "dead"))
		p.AddCrash(now, tried("2", "dead"))
		for n := range 20000 {
			at := now.Add(time.Duration(n) * time.Second)
			p.AddCrash(at, suspects("3", fmt.Sprintf("random-%d", n)))
			p.Answered(at, []string{fmt.Sprintf("sound-%d", n)})
		}
		suspected, _ := p.Counts(now)
		Expect(suspected).To(BeNumerically("<=", 4096))
		Expect(p.Status(now, "dead")).To(Equal(quarantine.Quarantined))
	})
})
