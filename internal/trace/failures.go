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

// Log messages of the gateway that FailureCounter reads.
const (
	messageServes          = "The host serves."
	messageEnded           = "A call ended."
	messageNoConfiguration = "A call came before any configuration."
	messageDirectory       = "The directory names no host of the caller's region."
	messageExcess          = "Traffic between hosts exceeds its share of the link."
)

const (
	statusUnavailable = 503
	firstErrorStatus  = 300 // the lowest status that counts as a failure
	// outcomeExcess and outcomeDirectory are the Outcomes of lines on traffic and on queries to the directory, which are
	// about no call.
	outcomeExcess    = "Traffic"
	outcomeDirectory = "Directory"
)

// FailureCount is the number of calls that failed in one interval with the same region,
// service, status, outcome and reason. With the outcome Traffic it is the number of times that traffic between hosts
// exceeded its share of a link, for which calls may have waited, and with the outcome Directory the number of refused
// queries to the directory.
type FailureCount struct {
	// At is the start of the interval.
	At time.Time
	// Region is the region of the hosts that the callers chose. If the logs lack the start of
	// a host, it is the name of that host.
	Region  string
	Service string
	Status  int
	Outcome string
	Reason  string
	Calls   int
	// Example is the ID of one of the calls.
	Example string
}

// FailureCounter counts failed calls in the logs of hosts, by intervals.
type FailureCounter struct {
	interval time.Duration
	regions  map[string]string              // by host
	counts   map[FailureCount]*FailureCount // by their fields without Calls and Example
}

// NewFailureCounter returns a FailureCounter with the given length of intervals.
func NewFailureCounter(interval time.Duration) *FailureCounter {
	return &FailureCounter{interval: interval, regions: map[string]string{}, counts: map[FailureCount]*FailureCount{}}
}

type regionLine struct {
	Line
	Region  string `json:"Region"`
	Purpose string `json:"Purpose"` // of traffic
	Refusal string `json:"Refusal"` // of the directory
}

// Read counts the failed calls in the log of a host. Text before the JSON of a line is skipped.
func (c *FailureCounter) Read(from io.Reader) error {
	err := eachObject(from, func(text []byte) {
		var line regionLine
		if err := json.Unmarshal(text, &line); err == nil { // other programs write to the same log
			c.add(line)
		}
	})
	return errors.Wrap(err, "reasons")
}

func (c *FailureCounter) add(line regionLine) {
	switch {
	case line.Message == messageServes:
		c.regions[line.Host] = line.Region
	case line.Message == messageExcess:
		line.Outcome, line.Reason = outcomeExcess, "traffic for "+line.Purpose+" exceeds its share of the link"
		c.count(line)
	case line.Message == messageDirectory && line.Refusal != "":
		line.Status, line.Outcome, line.Reason = statusUnavailable, outcomeDirectory, line.Refusal
		c.count(line)
	case line.Received:
	case line.Message == messageNoConfiguration:
		line.Status, line.Outcome, line.Reason = statusUnavailable, "NotRun", "no configuration yet"
		c.count(line)
	case line.Message == messageEnded && (line.Status >= firstErrorStatus || line.Outcome != "Run"):
		c.count(line)
	}
}

func (c *FailureCounter) count(line regionLine) {
	at, err := time.Parse(time.RFC3339, line.Time)
	if err != nil {
		return
	}
	key := FailureCount{At: at.Truncate(c.interval), Region: line.Host, Service: line.Service, Status: line.Status, Outcome: line.Outcome, Reason: line.Reason}
	if c.counts[key] == nil {
		count := key
		count.Example = line.ID
		c.counts[key] = &count
	}
	c.counts[key].Calls++
}

// List returns the counts in order of time, the highest count of an interval first.
func (c *FailureCounter) List() []FailureCount {
	sums := map[FailureCount]FailureCount{}
	for key, count := range c.counts {
		if region, ok := c.regions[key.Region]; ok {
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

// WriteFailureCounts writes counts as a table.
func WriteFailureCounts(to io.Writer, list []FailureCount) error {
	const minWidth, tabWidth, padding = 0, 8, 2
	w := tabwriter.NewWriter(to, minWidth, tabWidth, padding, ' ', 0)
	_, _ = fmt.Fprintln(w, "at\tcalls\tregion\tservice\tstatus\toutcome\treason\texample") // Flush returns write errors
	for _, count := range list {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\n",
			count.At.Format("15:04:05.0"), count.Calls, count.Region, count.Service, count.Status, count.Outcome, count.Reason, count.Example)
	}
	return errors.Wrap(w.Flush(), "reasons")
}
