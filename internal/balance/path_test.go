package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

// unackedTimeout is the time after which connections on which bytes are lost break.
const unackedTimeout = 2 * time.Second

// simulatedCall is one call of a caller.
type simulatedCall struct {
	at       time.Time
	pathless bool // its host has been without any path for some time
	passed   bool // to another host
	served   bool
}

// pathCut is what a host has lost of its paths to targets.
type pathCut struct {
	targets map[string]bool
	all     bool
	silent  bool
	since   time.Time
	broken  []func() // called when connections may break
}

// noticeTime is the time from the loss of a path until hosts must get along without it.
const noticeTime = 1500 * time.Millisecond

// complete reports whether the host has lost all paths for so long that it must know.
func (c *pathCut) complete(now time.Time) bool {
	return c.all && now.Sub(c.since) >= noticeTime
}

func (h *coldHost) reaches(id string) bool { return h.unreachable != id && !h.cut.targets[id] }

// hasSilentPath reports whether packets to a target get no answer.
func (h *coldHost) hasSilentPath(id string) bool {
	return h.unreachable == id || h.cut.silent && h.cut.targets[id]
}

// cutPaths applies the part of a step that is about paths.
func (r *coldRegion) cutPaths(s coldStep) {
	if s.pathless == 0 {
		return // without a draw, so that series without cuts stay as they are
	}
	for _, i := range r.random.Perm(len(r.hosts))[:s.pathless] {
		h := r.hosts[i]
		if len(h.cut.targets) > 0 {
			continue
		}
		n := max(1, int(s.pathlessShare*float64(len(r.targets))))
		h.cut = pathCut{targets: map[string]bool{}, all: n == len(r.targets), silent: s.silentPaths, since: r.now, broken: h.cut.broken}
		for _, k := range r.random.Perm(len(r.targets))[:n] {
			h.cut.targets[r.targets[k].id] = true
		}
		broken := h.cut.broken
		h.cut.broken = nil
		breakOff := func() {
			for _, f := range broken {
				f()
			}
		}
		if s.silentPaths {
			r.after(unackedTimeout, breakOff)
		} else {
			breakOff()
		}
		r.after(s.pathlessFor, func() { h.cut = pathCut{broken: h.cut.broken} })
	}
}

// neighbour returns a host that reaches most targets, as far as the host knows, or nil. A call is
// passed once at most.
func (r *coldRegion) neighbour(h *coldHost, c *simulatedCall) *coldHost {
	best := balance.ReachFew
	var out []*coldHost
	for _, other := range r.hosts {
		reach, told := h.told[other.name]
		if !told {
			reach = balance.ReachMost
		}
		if c.passed || other == h || other.part != h.part || r.now.Before(other.frozenUntil) || reach < best {
			continue
		}
		if reach > best {
			best, out = reach, nil
		}
		out = append(out, other)
	}
	if len(out) == 0 {
		return nil
	}
	return out[r.random.IntN(len(out))]
}

// servedShares returns the shares of calls that were served at hosts without any path, and at the
// others, and the number of the former.
func (r *coldRegion) servedShares(from, to time.Duration) (pathless, others float64, n int) {
	var served, total [2]int
	for _, c := range r.calls {
		if at := c.at.Sub(start); at < from || at >= to {
			continue
		}
		group := 0
		if c.pathless {
			group = 1
		}
		total[group]++
		if c.served {
			served[group]++
		}
	}
	return float64(served[1]) / float64(max(1, total[1])), float64(served[0]) / float64(max(1, total[0])), total[1]
}

var _ = Describe("hosts without paths to targets", func() {
	const cut, cutFor = 6 * time.Second, 8 * time.Second
	// The rule asks for two thirds of the others' share from 5 s on.
	const minShare, minRatio = 0.95, 2.0 / 3

	// Guards against hosts that take their lack of a path for the state of the targets, and doubts of
	// such hosts that keep others from serving.
	DescribeTable("serve like the others", func(hosts, pathless int, share float64, silent bool) {
		for seed := range uint64(max(1, randomSeeds/8)) {
			r := newColdRegion(seed, hosts, 6)
			r.run([]coldStep{{at: cut, pathless: pathless, pathlessShare: share, pathlessFor: cutFor, silentPaths: silent}}, cut+cutFor+6*time.Second, 8)
			cutOff, others, n := r.servedShares(cut+noticeTime, cut+cutFor)
			if share == 1 {
				Expect(n).To(BeNumerically(">", 0))
				Expect(cutOff).To(BeNumerically(">=", minShare), "seed %d", seed)
			}
			Expect(others).To(BeNumerically(">=", minShare), "seed %d", seed)
			_, healed, _ := r.servedShares(cut+cutFor+noticeTime, cut+cutFor+4*time.Second)
			Expect(healed).To(BeNumerically(">=", minShare), "seed %d, after the cut", seed)
			Expect(r.mostWhileCold()).To(BeZero())
		}
	},
		Entry("2 of 3, refused", 3, 2, 1.0, false), Entry("2 of 3, silent", 3, 2, 1.0, true),
		Entry("9 of 13, refused", 13, 9, 1.0, false), Entry("9 of 13, silent", 13, 9, 1.0, true),
		Entry("40 of 42, refused", 42, 40, 1.0, false), Entry("40 of 42, silent", 42, 40, 1.0, true),
		Entry("9 of 13 from most targets, refused", 13, 9, 0.7, false), Entry("9 of 13 from most targets, silent", 13, 9, 0.7, true),
		Entry("all from half of the targets, silent", 13, 13, 0.5, true),
	)

	const most = int(coldFactor*coldRate + coldSlack)

	// Guards against floods of cold targets by hosts whose paths come back, and against a cut that
	// overlaps with crashes and keeps hosts from serving.
	It("keep the bound of cold targets, and serve most of what the others do, in any series of cuts and crashes", func() {
		var failed []string
		served, total := [2]int{}, [2]int{}
		for seed := range uint64(randomSeeds / 2) {
			r := playRandomCuts(seed)
			if got := r.mostWhileCold(); got > most {
				failed = append(failed, fmt.Sprintf("seed %d, %d hosts: %d requests", seed, len(r.hosts), got))
			}
			for _, c := range r.calls {
				group := 0
				if c.pathless {
					group = 1
				}
				total[group]++
				if c.served {
					served[group]++
				}
			}
		}
		Expect(failed).To(BeEmpty())
		share := func(group int) float64 { return float64(served[group]) / float64(total[group]) }
		AddReportEntry(fmt.Sprintf("without a path %.3f of %d, others %.3f of %d", share(1), total[1], share(0), total[0]))
		Expect(share(1)).To(BeNumerically(">=", minRatio*share(0)))
	})

	// Guards against floods by hosts that all start at once, cut off from all others, while the store
	// is away.
	It("keep the bound in series of cuts in which it has been broken", func() {
		var failed []string
		for _, seed := range []uint64{14, 15} {
			r := playRandomCuts(seed)
			if got := r.mostWhileCold(); got > most {
				failed = append(failed, fmt.Sprintf("seed %d, %d hosts: %d requests", seed, len(r.hosts), got))
			}
		}
		Expect(failed).To(BeEmpty())
	})
})

// playRandomCuts plays one random series of cuts of paths together with other changes.
func playRandomCuts(seed uint64) *coldRegion {
	const span = 40 * time.Second
	random := rand.New(rand.NewPCG(seed, 77))
	hosts, targets := 3+random.IntN(40), 3+random.IntN(5)
	steps := randomColdSteps(random, hosts, targets, span)
	for at := 5 * time.Second; at < span-8*time.Second; at += seconds(4 + 6*random.Float64()) {
		steps = append(steps, coldStep{
			at: at, pathless: 1 + random.IntN(hosts), pathlessShare: []float64{0.3, 0.7, 1, 1}[random.IntN(4)], pathlessFor: seconds(2 + 8*random.Float64()),
			silentPaths: random.IntN(2) == 0,
		})
	}
	r := newColdRegion(seed, hosts, targets)
	r.run(steps, span, 3)
	return r
}
