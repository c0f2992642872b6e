package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Scenario is the content of a scenario file. docs/POLICY.md explains each field.
type Scenario struct {
	Name        string
	Regions     []Region
	OneWayMs    float64 // between regions
	InsideMs    float64 // between hosts and targets of one region
	Replica     Replica
	ReportLagMs float64
	DurationSec float64
	WarmUpSec   float64 // at the start; calls that arrive in it are not measured
	Load        float64 // as a share of the capacity of each region
	Short       Class
	Long        Class
	LongShare   float64 // share of the calls that are long
	Workspaces  int
	BudgetMs    float64 // time allowed for the first token
	HomeShare   float64 // share of the calls that only the home region may serve
	Prefixes    int     // number of distinct prompt prefixes
	Events      []Event
}

// Region is one region of the scenario.
type Region struct {
	Name     string
	Hosts    int
	Replicas int
	// Load replaces the load of the scenario if it is positive. If PeakSec is positive,
	// the load varies as a sine with that period, shifted by PeakOffsetSec; PeakShare is
	// the amplitude as a share of the load.
	Load          float64
	PeakSec       float64
	PeakShare     float64
	PeakOffsetSec float64
}

// Replica is the size and speed of a model engine with continuous batching.
type Replica struct {
	Slots                  int
	StepMs                 float64 // duration of a step with one sequence
	StepPerSequenceMs      float64 // added to a step by each further sequence
	PrefillTokensPerSecond float64
	CachePrefixes          int
}

// Class is the range of sizes of the calls of a class.
type Class struct {
	Tokens [2]int // smallest and largest output
	Prompt [2]int // smallest and largest prompt, in tokens
}

// EventKind is the kind of an event in a scenario.
type EventKind string

// The kinds of events.
const (
	Slow       EventKind = "Slow"       // Share of the replicas are Factor times slower
	RegionLost EventKind = "RegionLost" // the replicas of Region are down, then return with empty caches
	Crowd      EventKind = "Crowd"      // arrivals in Region are multiplied by Factor
	Flood      EventKind = "Flood"      // one workspace adds Factor times the arrivals in Region
	LinkCut    EventKind = "LinkCut"    // Region has no link to the other regions
)

// Event starts at AtSec, lasts ForSec, and repeats every EverySec if that is positive.
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
	if found := s.check(); len(found) > 0 {
		return Scenario{}, errors.New("scenario:\n" + strings.Join(found, "\n"))
	}
	return s, nil
}

// problems collects the errors of a scenario.
type problems []string

func (p *problems) require(ok bool, format string, args ...any) {
	if !ok {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

func (s Scenario) check() []string {
	p := &problems{}
	p.require(s.Name != "", "Name: expected a name")
	names := s.checkRegions(p)
	p.require(s.OneWayMs >= 0 && s.InsideMs >= 0, "OneWayMs, InsideMs: expected milliseconds, zero or more")
	s.Replica.check(p)
	p.require(s.ReportLagMs >= 0, "ReportLagMs: expected milliseconds, zero or more")
	p.require(s.DurationSec > s.WarmUpSec && s.WarmUpSec >= 0, "DurationSec: expected more seconds than WarmUpSec")
	p.require(s.Load > 0, "Load: expected a positive share of the capacity")
	s.Short.check(p, "Short")
	s.Long.check(p, "Long")
	p.require(s.LongShare >= 0 && s.LongShare <= 1, "LongShare: expected a share from 0 to 1")
	p.require(s.HomeShare >= 0 && s.HomeShare <= 1, "HomeShare: expected a share from 0 to 1")
	p.require(s.Workspaces > 0, "Workspaces: expected a positive number")
	p.require(s.BudgetMs > 0, "BudgetMs: expected positive milliseconds")
	p.require(s.Prefixes > 0, "Prefixes: expected a positive number")
	for i, e := range s.Events {
		e.check(p, i, names)
	}
	return *p
}

func (s Scenario) checkRegions(p *problems) map[string]bool {
	p.require(len(s.Regions) > 0, "Regions: expected at least one")
	names := map[string]bool{}
	for i, r := range s.Regions {
		p.require(r.Name != "" && !names[r.Name], "Regions[%d].Name: expected a name of its own, got %q", i, r.Name)
		names[r.Name] = true
		p.require(r.Hosts > 0, "Regions[%d].Hosts: expected a positive number", i)
		p.require(r.Replicas > 0, "Regions[%d].Replicas: expected a positive number", i)
		p.require(r.Load >= 0 && r.PeakSec >= 0, "Regions[%d]: expected Load and PeakSec of zero or more", i)
		p.require(r.PeakShare >= 0 && r.PeakShare <= 1, "Regions[%d].PeakShare: expected a share from 0 to 1", i)
	}
	return names
}

func (r Replica) check(p *problems) {
	p.require(r.Slots > 0, "Replica.Slots: expected a positive number")
	p.require(r.StepMs > 0, "Replica.StepMs: expected positive milliseconds")
	p.require(r.StepPerSequenceMs >= 0, "Replica.StepPerSequenceMs: expected milliseconds, zero or more")
	p.require(r.PrefillTokensPerSecond > 0, "Replica.PrefillTokensPerSecond: expected a positive number")
}

func (c Class) check(p *problems, name string) {
	p.require(c.Tokens[0] > 0 && c.Tokens[1] >= c.Tokens[0], "%s.Tokens: expected a smallest and a largest number", name)
	p.require(c.Prompt[0] > 0 && c.Prompt[1] >= c.Prompt[0], "%s.Prompt: expected a smallest and a largest number", name)
}

func (e Event) check(p *problems, i int, regions map[string]bool) {
	kinds := []EventKind{Slow, RegionLost, Crowd, Flood, LinkCut}
	p.require(slices.Contains(kinds, e.Kind), "Events[%d].Kind: expected one of %v, got %q", i, kinds, e.Kind)
	p.require(e.ForSec > 0, "Events[%d].ForSec: expected positive seconds", i)
	p.require(e.AtSec >= 0 && e.EverySec >= 0, "Events[%d]: expected AtSec and EverySec of zero or more", i)
	p.require(e.Kind == Slow || regions[e.Region], "Events[%d].Region: expected a region of the scenario, got %q", i, e.Region)
	p.require(e.Kind != Slow || (e.Share > 0 && e.Share <= 1), "Events[%d].Share: expected a share from 0 to 1", i)
	p.require(e.Kind == RegionLost || e.Kind == LinkCut || e.Factor > 1, "Events[%d].Factor: expected a factor above 1", i)
}
