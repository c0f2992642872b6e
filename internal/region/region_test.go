package region_test

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/region"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

// decisionCase is one case of testdata/decisions.json.
type decisionCase struct {
	Name     string
	Region   string
	Allowed  []string
	Passed   []string
	Received bool
	Local    placement.Summary
	Remotes  []struct {
		Region   string
		Known    bool
		OneWayMs int
		Summary  placement.Summary
	}
	BudgetMs int
	Draw     float64
	Verdict  string
	To       string
}

func (c decisionCase) input() region.Input {
	in := region.Input{
		Region: c.Region, Allowed: c.Allowed, Passed: core.Hops(c.Passed), Received: c.Received, Local: c.Local,
		Budget: time.Duration(c.BudgetMs) * time.Millisecond, Draw: c.Draw,
	}
	for _, r := range c.Remotes {
		in.Remotes = append(in.Remotes, region.Remote{
			Region: r.Region, Known: r.Known, OneWay: time.Duration(r.OneWayMs) * time.Millisecond, Summary: r.Summary,
		})
	}
	return in
}

var verdicts = map[string]region.Verdict{"Serve": region.Serve, "Forward": region.Forward, "Refuse": region.Refuse}

var _ = Describe("the choice of a region", func() {
	data, err := os.ReadFile("testdata/decisions.json")
	if err != nil {
		panic(err)
	}
	var cases []decisionCase
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			got := (&region.Chooser{}).Choose(c.input())
			Expect(got.Verdict).To(Equal(verdicts[c.Verdict]))
			Expect(got.Region).To(Equal(c.To))
		})
	}

	It("keeps forwarding until the wait is well below the budget", func() {
		c := cases[0]
		chooser := &region.Chooser{}
		for _, step := range []struct {
			waitMs int
			want   region.Verdict
		}{{1000, region.Serve}, {1700, region.Forward}, {1000, region.Forward}, {700, region.Serve}, {1000, region.Serve}} {
			c.Local.WaitMs = step.waitMs
			Expect(chooser.Choose(c.input()).Verdict).To(Equal(step.want), "at %d ms", step.waitMs)
		}
	})
})

// fixSeed makes every run draw the same random values.
func fixSeed(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
}

// TestNeverOutsideResidency draws random calls and states. It checks that no call is served
// or sent outside its residency, sent back to a region that it has passed, or forwarded after
// it was received from another host.
func TestNeverOutsideResidency(t *testing.T) {
	fixSeed(t)
	names := []string{"celje", "ravne", "koper", "graz"}
	summary := rapid.Custom(func(t *rapid.T) placement.Summary {
		return placement.Summary{
			Slots: rapid.IntRange(0, 100).Draw(t, "slots"), Busy: rapid.IntRange(0, 100).Draw(t, "busy"),
			Queued: rapid.IntRange(0, 100).Draw(t, "queued"), WaitMs: rapid.IntRange(0, 10_000).Draw(t, "wait"), Usable: rapid.IntRange(0, 3).Draw(t, "usable"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		in := region.Input{
			Region: rapid.SampledFrom(names).Draw(t, "region"), Allowed: rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "allowed"),
			Received: rapid.Bool().Draw(t, "received"), Local: summary.Draw(t, "local"), Budget: 2 * time.Second, Draw: rapid.Float64Range(0, 1).Draw(t, "draw"),
		}
		for _, name := range rapid.SliceOf(rapid.SampledFrom(names)).Draw(t, "passed") {
			in.Passed = in.Passed.Append(name, "host")
		}
		for _, name := range names {
			in.Remotes = append(in.Remotes, region.Remote{Region: name, Known: rapid.Bool().Draw(t, "known"), Summary: summary.Draw(t, "remote")})
		}
		check := func(to string) {
			if !residency.Permits(in.Allowed, to) || in.Passed.HasRegion(to) || to == in.Region || in.Received {
				t.Fatalf("sent to %q: %+v", to, in)
			}
		}
		got := (&region.Chooser{}).Choose(in)
		if got.Verdict == region.Forward {
			check(got.Region)
		}
		if got.Verdict == region.Serve && !residency.Permits(in.Allowed, in.Region) {
			t.Fatalf("served outside the residency: %+v", in)
		}
		if to, ok := region.Fallback(in); ok {
			check(to)
		}
	})
}
