package policy

import (
	"runtime"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/placement"
)

// oracleName is the name of the policy that the others are compared with.
const oracleName = "Oracle"

// GatewayName is the name of the policy that the daemon uses.
const GatewayName = "Gateway"

// policies lists the constructors of all policies by name.
var policies = []struct {
	name string
	make func() policy
}{
	{oracleName, func() policy { return newOracle() }},
	{"Random", func() policy { return newBaseline(pickRandom) }},
	{"RoundRobin", func() policy { return newBaseline(pickRoundRobin) }},
	{"LeastOutstanding", func() policy { return newBaseline(pickLeastOutstanding) }},
	{"TwoChoices", func() policy { return newBaseline(pickTwoChoices) }},
	{"GatewayTwoChoices", func() policy { return newGateway(placement.TwoChoices, true) }},
	{"GatewaySlices", func() policy { return newGateway(placement.Slices, true) }},
	{GatewayName, func() policy { return newGateway(placement.Exclusive, true) }},
}

// Names returns the names of all policies.
func Names() []string {
	out := make([]string, len(policies))
	for i, p := range policies {
		out[i] = p.name
	}
	return out
}

// Measurement holds the rows of a scenario and the latency distributions that Plot draws.
type Measurement struct {
	Rows    []Row
	results []*results
	names   []string
}

// Run simulates a scenario under the oracle and each named policy, with the same arrivals
// for all. It returns an error for an unknown policy name.
func Run(s Scenario, seed uint64, names []string) (Measurement, error) {
	m := Measurement{names: []string{oracleName}}
	for _, name := range names {
		if !slices.Contains(Names(), name) {
			return m, errors.Errorf("no policy %q; expected one of %s", name, strings.Join(Names(), ", "))
		}
		if name != oracleName {
			m.names = append(m.names, name)
		}
	}
	m.results = make([]*results, len(m.names))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, name := range m.names {
		group.Go(func() error {
			for _, p := range policies {
				if p.name == name {
					m.results[i] = newSimulation(s, seed, p.make()).run()
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return m, err
	}
	for i, r := range m.results {
		m.Rows = append(m.Rows, r.rows(s.Name, seed, m.names[i], m.results[0].busySecondsPerToken())...)
	}
	return m, nil
}
