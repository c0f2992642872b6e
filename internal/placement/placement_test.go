package placement_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

var start = time.Unix(1_700_000_000, 0)

func newScheduler(targets, slots int) *placement.Scheduler {
	s := placement.NewScheduler(placement.Options{
		Sharing: placement.Exclusive, Hosts: 1, MaxQueued: 100, LongSlotShare: 0.75, MaxEjectedShare: 0.34, Random: rand.New(rand.NewPCG(1, 1)),
	})
	var list []placement.Target
	for i := range targets {
		list = append(list, placement.Target{Name: fmt.Sprintf("t%d", i), Service: "model", Slots: slots})
	}
	s.SetTargets(list)
	return s
}

func newCall(id uint64, class core.Class) placement.Call {
	return placement.Call{ID: id, Service: "model", Workspace: "mill", Class: class, Tokens: 100, Arrived: start, Deadline: start.Add(time.Minute)}
}

var _ = Describe("a scheduler", func() {
	It("reserves slots for short calls when many long calls arrive", func() {
		s := newScheduler(1, 8)
		granted := 0
		for id := range uint64(8) {
			if s.Submit(start, newCall(id, core.Long)).Verdict == placement.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(6))
		Expect(s.Submit(start, newCall(100, core.Short)).Verdict).To(Equal(placement.Granted))
	})

	It("places a long call before short ones once it has waited for longWait", func() {
		s := newScheduler(1, 1)
		Expect(s.Submit(start, newCall(1, core.Short)).Verdict).To(Equal(placement.Granted))
		Expect(s.Submit(start, newCall(2, core.Long)).Verdict).To(Equal(placement.Queued))
		Expect(s.Submit(start, newCall(3, core.Short)).Verdict).To(Equal(placement.Queued))
		later := start.Add(6 * time.Second)
		s.Release(later, 1)
		decisions := s.Poll(later)
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].ID).To(Equal(uint64(2)))
	})

	It("refuses a call at once if it avoids all targets", func() {
		s := newScheduler(1, 8)
		call := newCall(1, core.Short)
		call.Avoid = []string{"t0"}
		decision := s.Submit(start, call)
		Expect(decision.Verdict).To(Equal(placement.Refused))
		Expect(decision.Refusal.Outcome).To(Equal(core.NotRun))
	})

	It("does not refuse a call while there is too little data to estimate the wait", func() {
		s := newScheduler(1, 1)
		s.Submit(start, newCall(1, core.Short))
		for id := uint64(2); id < 50; id++ {
			Expect(s.Submit(start, newCall(id, core.Short)).Verdict).To(Equal(placement.Queued))
		}
	})

	It("places no calls on a leaving target", func() {
		s := newScheduler(2, 8)
		s.SetLeaving("t0", true)
		for id := range uint64(8) {
			Expect(s.Submit(start, newCall(id, core.Short)).Target.Name).To(Equal("t1"))
		}
		Expect(s.Submit(start, newCall(9, core.Short)).Verdict).To(Equal(placement.Queued))
	})

	It("places an isolated call on an idle target and no other call beside it", func() {
		s := newScheduler(2, 8)
		s.Submit(start, newCall(1, core.Short))
		isolated := newCall(2, core.Short)
		isolated.Isolated = true
		decision := s.Submit(start, isolated)
		Expect(decision.Verdict).To(Equal(placement.Granted))
		for id := uint64(3); id < 10; id++ {
			Expect(s.Submit(start, newCall(id, core.Short)).Target.Name).NotTo(Equal(decision.Target.Name))
		}
	})

	It("counts calls of other hosts that all recent reports show, but not delayed reports of ended calls", func() {
		s := newScheduler(1, 8)
		for i, running := range []int{6, 5, 7, 5, 6} {
			s.ReportLoad(start.Add(time.Duration(i)*time.Second), "t0", placement.Load{Running: running, Slots: 8})
		}
		Expect(s.Summarise(start.Add(5*time.Second), "model").Busy).To(Equal(5))
	})
})

// fixSeed sets a fixed seed, so that rapid draws the same values in every run.
func fixSeed(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
}

// TestSlots draws random sequences of submissions, releases and time steps. It checks
// that no target runs more calls than it has slots, and that every call is granted or
// refused exactly once.
func TestSlots(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		targets, slots := rapid.IntRange(1, 4).Draw(t, "targets"), rapid.IntRange(1, 4).Draw(t, "slots")
		s := newScheduler(targets, slots)
		placed, undecided := map[uint64]string{}, map[uint64]bool{}
		now, next := start, uint64(0)
		record := func(d placement.Decision) {
			if !undecided[d.ID] {
				t.Fatalf("call %d was decided twice", d.ID)
			}
			switch d.Verdict {
			case placement.Granted:
				placed[d.ID] = d.Target.Name
				delete(undecided, d.ID)
			case placement.Refused:
				delete(undecided, d.ID)
			case placement.Queued:
			}
			perTarget := map[string]int{}
			for _, name := range placed {
				perTarget[name]++
				if perTarget[name] > slots {
					t.Fatalf("target %s runs %d calls in %d slots", name, perTarget[name], slots)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "submit") {
				next++
				undecided[next] = true
				call := newCall(next, core.Class(rapid.IntRange(0, 1).Draw(t, "class")))
				call.Arrived, call.Deadline = now, now.Add(5*time.Second)
				record(s.Submit(now, call))
			} else {
				for id := range placed {
					delete(placed, id)
					s.Release(now, id)
					break
				}
			}
			for _, d := range s.Poll(now) {
				record(d)
			}
		}
		for id := range placed {
			s.Release(now, id)
		}
		for _, d := range s.Poll(now.Add(time.Minute)) {
			if undecided[d.ID] && d.Verdict == placement.Refused {
				delete(undecided, d.ID)
			}
		}
		if len(undecided) > 0 {
			t.Fatalf("calls %v were never decided", undecided)
		}
	})
}

// BenchmarkSubmit measures one placement decision. The goal is below 5 microseconds
// without allocations for 32 targets.
func BenchmarkSubmit(b *testing.B) {
	for _, targets := range []int{8, 32, 128, 610} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			s := newScheduler(targets, 16)
			for i := range targets {
				for range 4 {
					s.ObserveSpeed(start, fmt.Sprintf("t%d", i), straggler.PerToken, 25*time.Millisecond)
				}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				id := uint64(n)
				s.Submit(start, placement.Call{ID: id, Service: "model", Workspace: "mill", Deadline: start.Add(time.Second)})
				s.Release(start, id)
			}
		})
	}
}
