package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Messages of the gateway's log that Reasons reads.
const (
	messageServes     = "The host serves."
	messageEnded      = "A call ended."
	messageUnprepared = "A call came before any configuration."
)

const (
	statusUnavailable = 503
	firstFailure      = 300 // the least status that is no success
)

// FailureCount is why calls of one moment did not go well.
type FailureCount struct {
	At time.Time
	// Region is that of the callers' hosts, or the name of a host whose start is not in
	// the logs.
	Region  string
	Service string
	Status  int
	Outcome string
	Reason  string
	Calls   int
	// Example is the ID of one of the calls.
	Example string
}

// FailureCounter counts the calls that did not go well.
type FailureCounter struct {
	step    time.Duration
	regions map[string]string // by host
	counts  map[FailureCount]*FailureCount
}

// NewFailureCounter returns Reasons by moments of the given length.
func NewFailureCounter(step time.Duration) *FailureCounter {
	return &FailureCounter{step: step, regions: map[string]string{}, counts: map[FailureCount]*FailureCount{}}
}

type reasonLine struct {
	Line
	Region string `json:"Region"`
}

// Read counts the lines of a log, whatever stands before their JSON.
func (r *FailureCounter) Read(from io.Reader) error {
	err := eachObject(from, func(text []byte) {
		var line reasonLine
		if err := json.Unmarshal(text, &line); err == nil { // others write to the same log
			r.take(line)
		}
	})
	return errors.Wrap(err, "reasons")
}

func (r *FailureCounter) take(line reasonLine) {
	switch {
	case line.Message == messageServes:
		r.regions[line.Host] = line.Region
	case line.Received:
	case line.Message == messageUnprepared:
		line.Status, line.Outcome, line.Reason = statusUnavailable, "NotRun", "no configuration yet"
		r.count(line)
	case line.Message == messageEnded && (line.Status >= firstFailure || line.Outcome != "Run"):
		r.count(line)
	}
}

func (r *FailureCounter) count(line reasonLine) {
	at, err := time.Parse(time.RFC3339, line.Time)
	if err != nil {
		return
	}
	key := FailureCount{At: at.Truncate(r.step), Region: line.Host, Service: line.Service, Status: line.Status, Outcome: line.Outcome, Reason: line.Reason}
	if r.counts[key] == nil {
		first := key
		first.Example = line.ID
		r.counts[key] = &first
	}
	r.counts[key].Calls++
}

// List returns the reasons in order of time, the most frequent ones of a moment first.
func (r *FailureCounter) List() []FailureCount {
	sums := map[FailureCount]FailureCount{}
	for key, count := range r.counts {
		if region, ok := r.regions[key.Region]; ok {
			key.Region = region
		}
		sum, ok := sums[key]
		if !ok || count.Example < sum.Example {
			calls := sum.Calls
			sum = *count
			sum.Region, sum.Calls = key.Region, calls+count.Calls
		} else {
			sum.Calls += count.Calls
		}
		sums[key] = sum
	}
	out := make([]FailureCount, 0, len(sums))
	for _, sum := range sums {
		out = append(out, sum)
	}
	slices.SortFunc(out, func(a, b FailureCount) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Status, b.Status))
	})
	return out
}

// WriteFailureCounts writes reasons for people.
func WriteFailureCounts(to io.Writer, list []FailureCount) error {
	const minWidth, tabWidth, padding = 0, 8, 2
	w := tabwriter.NewWriter(to, minWidth, tabWidth, padding, ' ', 0)
	_, _ = fmt.Fprintln(w, "at\tcalls\tregion\tservice\tstatus\toutcome\treason\texample") // Flush tells of a failure
	for _, c := range list {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n", c.At.Format("15:04:05.0"), c.Calls, c.Region, c.Service, c.Status, c.Outcome, c.Reason, c.Example)
	}
	return errors.Wrap(w.Flush(), "reasons")
}
