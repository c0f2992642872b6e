package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Scenario is what a scenario file says. docs/POLICY.md explains each field.
type Scenario struct {
	Name        string
	Regions     []Region
	OneWayMs    float64 // between regions
	InsideMs    float64 // between hosts and targets of one region
	Replica     Replica
	ReportLagMs float64
	DurationSec float64
	WarmUpSec   float64 // at the start, without being measured
	Load        float64 // of the capacity of each region
	Short       Class
	Long        Class
	LongShare   float64 // of the calls
	Workspaces  int
	BudgetMs    float64 // for the first token
	HomeShare   float64 // of the calls that only the home region may serve
	Prefixes    int     // distinct prompt beginnings
	Events      []Event
}

// Region is one region of the scenario.
type Region struct {
	Name     string
	Hosts    int
	Replicas int
	// Load replaces the scenario's, if positive. With PeakSec the load swings
	// around it by PeakShare, once in PeakSec, shifted by PeakOffsetSec.
	Load          float64
	PeakSec       float64
	PeakShare     float64
	PeakOffsetSec float64
}

// Replica is a batching model engine.
type Replica struct {
	Slots                  int
	StepMs                 float64 // of a step with one sequence
	StepPerSequenceMs      float64 // more for each further sequence
	PrefillTokensPerSecond float64
	CachePrefixes          int
}

// Class is a kind of calls.
type Class struct {
	Tokens [2]int // smallest and largest output
	Prompt [2]int // smallest and largest prompt, in tokens
}

// EventKind names what happens in a scenario.
type EventKind string

// The kinds of events.
const (
	Slow       EventKind = "Slow"       // Share of the replicas are Factor times slower
	RegionLost EventKind = "RegionLost" // Region has no replicas, and then cold ones
	Crowd      EventKind = "Crowd"      // Factor times the arrivals in Region
	Flood      EventKind = "Flood"      // one workspace adds Factor times the arrivals in Region
	LinkCut    EventKind = "LinkCut"    // Region is cut off from the others
)

// Event is something that happens once, or every EverySec.
type Event struct {
	Kind     EventKind
	AtSec    float64
	ForSec   float64
	EverySec float64
	Region   string
	Share    float64
	Factor   float64
}

// Load reads a scenario file and returns every error in it at once.
func Load(file string) (Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, errors.Wrap(err, "scenario")
	}
	return Parse(data)
}

// Parse reads a scenario and returns every error in it at once.
func Parse(data []byte) (Scenario, error) {
	var s Scenario
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Scenario{}, errors.Wrap(err, "scenario")
	}
	if problems := s.check(); len(problems) > 0 {
		return Scenario{}, errors.New("scenario:\n" + strings.Join(problems, "\n"))
	}
	return s, nil
}

func (s Scenario) check() []string {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	require(s.Name != "", "Name: expected a name")
	require(len(s.Regions) > 0, "Regions: expected at least one")
	names := map[string]bool{}
	for i, r := range s.Regions {
		require(r.Name != "" && !names[r.Name], "Regions[%d].Name: expected a name of its own, got %q", i, r.Name)
		names[r.Name] = true
		require(r.Hosts > 0, "Regions[%d].Hosts: expected a positive number", i)
		require(r.Replicas > 0, "Regions[%d].Replicas: expected a positive number", i)
		require(r.Load >= 0 && r.PeakSec >= 0 && r.PeakShare >= 0 && r.PeakShare <= 1, "Regions[%d]: expected Load and PeakSec of zero or more and a PeakShare from 0 to 1", i)
	}
	require(s.OneWayMs >= 0 && s.InsideMs >= 0, "OneWayMs, InsideMs: expected milliseconds, zero or more")
	require(s.Replica.Slots > 0, "Replica.Slots: expected a positive number")
	require(s.Replica.StepMs > 0, "Replica.StepMs: expected positive milliseconds")
	require(s.Replica.StepPerSequenceMs >= 0, "Replica.StepPerSequenceMs: expected milliseconds, zero or more")
	require(s.Replica.PrefillTokensPerSecond > 0, "Replica.PrefillTokensPerSecond: expected a positive number")
	require(s.ReportLagMs >= 0, "ReportLagMs: expected milliseconds, zero or more")
	require(s.DurationSec > s.WarmUpSec && s.WarmUpSec >= 0, "DurationSec: expected more seconds than WarmUpSec")
	require(s.Load > 0, "Load: expected a positive share of the capacity")
	for _, c := range []struct {
		name  string
		class Class
	}{{"Short", s.Short}, {"Long", s.Long}} {
		require(c.class.Tokens[0] > 0 && c.class.Tokens[1] >= c.class.Tokens[0], "%s.Tokens: expected a smallest and a largest number", c.name)
		require(c.class.Prompt[0] > 0 && c.class.Prompt[1] >= c.class.Prompt[0], "%s.Prompt: expected a smallest and a largest number", c.name)
	}
	require(s.LongShare >= 0 && s.LongShare <= 1, "LongShare: expected a share from 0 to 1")
	require(s.HomeShare >= 0 && s.HomeShare <= 1, "HomeShare: expected a share from 0 to 1")
	require(s.Workspaces > 0, "Workspaces: expected a positive number")
	require(s.BudgetMs > 0, "BudgetMs: expected positive milliseconds")
	require(s.Prefixes > 0, "Prefixes: expected a positive number")
	for i, e := range s.Events {
		known := e.Kind == Slow || e.Kind == RegionLost || e.Kind == Crowd || e.Kind == Flood || e.Kind == LinkCut
		require(known, "Events[%d].Kind: expected Slow, RegionLost, Crowd, Flood or LinkCut, got %q", i, e.Kind)
		require(e.ForSec > 0 && e.AtSec >= 0 && e.EverySec >= 0, "Events[%d]: expected a positive ForSec, and AtSec and EverySec of zero or more", i)
		require(e.Kind == Slow || names[e.Region], "Events[%d].Region: expected a region of the scenario, got %q", i, e.Region)
		require(e.Kind != Slow || (e.Share > 0 && e.Share <= 1), "Events[%d].Share: expected a share from 0 to 1", i)
		require(e.Kind == RegionLost || e.Kind == LinkCut || e.Factor > 1, "Events[%d].Factor: expected a factor above 1", i)
	}
	return problems
}
