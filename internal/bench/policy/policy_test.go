package policy_test

import (
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/bench/policy"
)

const folder = "../../../scenarios"

func short(rows []policy.Row, name string) policy.Row {
	for _, r := range rows {
		if r.Policy == name && r.Class == "Short" {
			return r
		}
	}
	Fail("no row of " + name)
	return policy.Row{}
}

func run(scenario string, names ...string) policy.Measurement {
	s, err := policy.Load(filepath.Join(folder, scenario))
	Expect(err).NotTo(HaveOccurred())
	m, err := policy.Run(s, 1, names)
	Expect(err).NotTo(HaveOccurred())
	return m
}

var _ = Describe("the policy simulation", func() {
	It("returns identical rows for the same seed", func() {
		var texts []string
		for range 2 {
			text, err := json.Marshal(run("vzmetno-stragglers.json", policy.Names()...).Rows)
			Expect(err).NotTo(HaveOccurred())
			texts = append(texts, string(text))
		}
		Expect(texts[0]).To(Equal(texts[1]))
	})

	It("loads every file of the scenarios folder", func() {
		files, err := filepath.Glob(filepath.Join(folder, "*.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := policy.Load(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})

	It("reports all errors of a scenario at once", func() {
		data, err := os.ReadFile("testdata/wrong.json")
		Expect(err).NotTo(HaveOccurred())
		want, err := os.ReadFile("testdata/wrong.txt")
		Expect(err).NotTo(HaveOccurred())
		_, err = policy.Parse(data)
		Expect(err).To(MatchError(string(want)))
	})

	// The bounds below are the stated performance goals of the gateway.
	It("keeps short calls within 1.25 times the p99 of the oracle at 70% load", func() {
		rows := run("vzmetno-steady-70.json", policy.GatewayName).Rows
		Expect(short(rows, policy.GatewayName).FirstTokenP99Ms).To(BeNumerically("<=", 1.25*short(rows, "Oracle").FirstTokenP99Ms))
	})

	It("keeps short calls within 1.5 times the p99 of the oracle with stragglers", func() {
		rows := run("vzmetno-stragglers.json", policy.GatewayName, "LeastOutstanding", "TwoChoices").Rows
		got := short(rows, policy.GatewayName)
		Expect(got.FirstTokenP99Ms).To(BeNumerically("<=", 1.5*short(rows, "Oracle").FirstTokenP99Ms))
		Expect(got.FirstTokenP99Ms).To(BeNumerically("<", 0.5*short(rows, "LeastOutstanding").FirstTokenP99Ms))
		Expect(got.WastedTokenShare).To(BeNumerically("<=", 0.02))
		Expect(got.CostRatio).To(BeNumerically("<=", 1.03))
	})

	It("forwards no call while the home region can meet its budget", func() {
		Expect(short(run("association-steady-70.json", policy.GatewayName).Rows, policy.GatewayName).ForwardedShare).To(BeZero())
	})
})
