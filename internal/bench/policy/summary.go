package policy

import "slices"

// Summary compares the gateway with the oracle over several seeds. Each measure has
// its median and its largest value.
type Summary struct {
	Scenario string `json:"Scenario"`
	Seeds    int    `json:"Seeds"`
	// TailRatio is the first token p99 of short calls, divided by the oracle's.
	TailRatio            MedianWorst `json:"TailRatio"`
	FirstTokenP99Ms      MedianWorst `json:"FirstTokenP99Ms"`
	BestBaselineP99Ms    MedianWorst `json:"BestBaselineP99Ms"`
	ForwardedShare       MedianWorst `json:"ShareAway"`
	OracleForwardedShare MedianWorst `json:"OracleShareAway"`
	WastedTokenShare     MedianWorst `json:"WastedTokenShare"`
	CostRatio            MedianWorst `json:"CostRatio"`
	NotRunShare          MedianWorst `json:"NotRunShare"`
	OracleNotRunShare    MedianWorst `json:"OracleNotRunShare"`
}

// MedianWorst is the median and the largest of a list of values.
type MedianWorst struct {
	Median float64 `json:"Median"`
	Worst  float64 `json:"Worst"`
}

func medianWorst(values []float64) MedianWorst {
	slices.Sort(values)
	return MedianWorst{Median: values[len(values)/2], Worst: values[len(values)-1]}
}

// Summarise simulates a scenario with the seeds 1 to n and summarises the short calls.
func Summarise(s Scenario, n int) (Summary, error) {
	values := map[*MedianWorst][]float64{}
	out := Summary{Scenario: s.Name, Seeds: n}
	for seed := range uint64(n) {
		m, err := Run(s, seed+1, []string{GatewayName, "LeastOutstanding", "TwoChoices"})
		if err != nil {
			return out, err
		}
		rows := map[string]Row{}
		for _, r := range m.Rows {
			if r.Class == classNames[0] {
				rows[r.Policy] = r
			}
		}
		gateway, oracle := rows[GatewayName], rows[oracleName]
		add := func(to *MedianWorst, v float64) { values[to] = append(values[to], v) }
		add(&out.TailRatio, gateway.FirstTokenP99Ms/oracle.FirstTokenP99Ms)
		add(&out.FirstTokenP99Ms, gateway.FirstTokenP99Ms)
		add(&out.BestBaselineP99Ms, min(rows["LeastOutstanding"].FirstTokenP99Ms, rows["TwoChoices"].FirstTokenP99Ms))
		add(&out.ForwardedShare, gateway.ForwardedShare)
		add(&out.OracleForwardedShare, oracle.ForwardedShare)
		add(&out.WastedTokenShare, gateway.WastedTokenShare)
		add(&out.CostRatio, gateway.CostRatio)
		add(&out.NotRunShare, gateway.NotRunShare)
		add(&out.OracleNotRunShare, oracle.NotRunShare)
	}
	for to, list := range values {
		*to = medianWorst(list)
	}
	return out, nil
}
