package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// Row is the result of one policy in one scenario for one class of calls. Calls of
// the flooding workspace are not counted.
type Row struct {
	Scenario         string  `json:"Scenario"`
	Seed             uint64  `json:"Seed"`
	Policy           string  `json:"Policy"`
	Class            string  `json:"Class"`
	Calls            int     `json:"Calls"`
	FirstTokenP50Ms  float64 `json:"FirstTokenP50Ms"`
	FirstTokenP99Ms  float64 `json:"FirstTokenP99Ms"`
	CompletionP99Ms  float64 `json:"CompletionP99Ms"`
	ForwardedShare   float64 `json:"ShareAway"`
	WastedTokenShare float64 `json:"WastedTokenShare"`
	// CostRatio is the busy time of the replicas for each useful token, divided by the
	// oracle's.
	CostRatio       float64 `json:"CostRatio"`
	NotRunShare     float64 `json:"NotRunShare"`
	BudgetMissShare float64 `json:"BudgetMissShare"`
	LinkBytes       int     `json:"LinkBytes"`
}

const (
	classAll           = 2
	classes            = 3
	maxMicros          = int64(3600 * 1e6)
	significantDigits  = 3
	streamedTokenBytes = 90 // of a token on a link, with the event around it
	promptTokenBytes   = 4
)

var classNames = [classes]string{"Short", "Long", "All"}

type classResults struct {
	arrived, refused, forwarded, missed int
	first, completion                   *hdrhistogram.Histogram
}

type results struct {
	byClass   [classes]classResults
	busy      time.Duration
	useful    int
	wasted    int
	linkBytes int
}

func newResults() *results {
	r := &results{}
	for i := range r.byClass {
		r.byClass[i].first = hdrhistogram.New(1, maxMicros, significantDigits)
		r.byClass[i].completion = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	return r
}

func (r *results) each(j *job, f func(*classResults)) {
	if !j.measured || j.workspace == floodWorkspace {
		return
	}
	class := 0
	if j.class == core.Long {
		class = 1
	}
	f(&r.byClass[class])
	f(&r.byClass[classAll])
}

func (r *results) arrived(j *job) { r.each(j, func(c *classResults) { c.arrived++ }) }
func (r *results) refuse(j *job)  { r.each(j, func(c *classResults) { c.refused++ }) }

func (r *results) forward(j *job) {
	r.linkBytes += j.prompt*promptTokenBytes + j.tokens*streamedTokenBytes
	r.each(j, func(c *classResults) { c.forwarded++ })
}

func (r *results) finish(sm *simulation, j *job, at time.Duration) {
	budget := ms(sm.scenario.BudgetMs)
	r.each(j, func(c *classResults) {
		_ = c.first.RecordValue((j.firstTokenAt - j.arrived).Microseconds())
		_ = c.completion.RecordValue((at - j.arrived).Microseconds())
		if j.firstTokenAt-j.arrived > budget {
			c.missed++
		}
	})
}

func (r *results) addReplica(x *replica) {
	r.busy += x.busy
	r.useful += x.useful
	r.wasted += x.wasted
}

func (r *results) busySecondsPerToken() float64 { return r.busy.Seconds() / float64(max(1, r.useful)) }

func (r *results) rows(scenario string, seed uint64, policy string, oracleCost float64) []Row {
	const median, tail, microsPerMs = 50, 99, 1000.0
	rows := make([]Row, 0, classes)
	for i, c := range r.byClass {
		if c.arrived == 0 {
			continue
		}
		calls := float64(c.arrived)
		rows = append(rows, Row{
			Scenario: scenario, Seed: seed, Policy: policy, Class: classNames[i], Calls: c.arrived,
			FirstTokenP50Ms: float64(c.first.ValueAtQuantile(median)) / microsPerMs,
			FirstTokenP99Ms: float64(c.first.ValueAtQuantile(tail)) / microsPerMs,
			CompletionP99Ms: float64(c.completion.ValueAtQuantile(tail)) / microsPerMs,
			ForwardedShare:  float64(c.forwarded) / calls, NotRunShare: float64(c.refused) / calls,
			WastedTokenShare: float64(r.wasted) / float64(max(1, r.useful+r.wasted)),
			CostRatio:        r.busySecondsPerToken() / oracleCost, BudgetMissShare: float64(c.missed) / calls, LinkBytes: r.linkBytes,
		})
	}
	return rows
}
