// Package control measures what the control of a fleet costs: the real daemons
// of N hosts run in one process on loopback, without calls, against a stand-in
// of the store.
package control

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/fleet"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/operator"
	"github.com/sequoiarack/sequoiarack/internal/standin"
)

// Options set the size of a measurement.
type Options struct {
	Hosts       int
	DataCentres int
	Patches     int
	Kills       int
	Duration    time.Duration
}

// Result is what was measured. Figures for each daemon have a mean and a worst.
type Result struct {
	Hosts                       int                `json:"Hosts"`
	DataCentres                 int                `json:"DataCentres"`
	SentBytesPerSecond          float64            `json:"SentBytesPerSecond"`
	WorstSentBytesPerSecond     float64            `json:"WorstSentBytesPerSecond"`
	ReceivedBytesPerSecond      float64            `json:"ReceivedBytesPerSecond"`
	WorstReceivedBytesPerSecond float64            `json:"WorstReceivedBytesPerSecond"`
	CPUShare                    float64            `json:"CPUShare"`
	HeapBytes                   float64            `json:"HeapBytes"`
	StoreCallsPerSecond         map[string]float64 `json:"StoreCallsPerSecond"`
	PropagationP50Ms            float64            `json:"PropagationP50Ms"`
	PropagationMaxMs            float64            `json:"PropagationMaxMs"`
	DetectionP50Ms              float64            `json:"DetectionP50Ms"`
	DetectionMaxMs              float64            `json:"DetectionMaxMs"`
	DetectionElsewhereMaxMs     float64            `json:"DetectionElsewhereMaxMs"`
	FalseDetections             int                `json:"FalseDetections"`
}

// Table prints the result for people.
func (r Result) Table() string {
	var out strings.Builder
	const padding = 2
	t := tabwriter.NewWriter(&out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintf(t, "hosts\t%d in %d data centres\n", r.Hosts, r.DataCentres)
	_, _ = fmt.Fprintf(t, "sent by a daemon\t%.0f B/s\tworst %.0f\n", r.SentBytesPerSecond, r.WorstSentBytesPerSecond)
	_, _ = fmt.Fprintf(t, "received by a daemon\t%.0f B/s\tworst %.0f\n", r.ReceivedBytesPerSecond, r.WorstReceivedBytesPerSecond)
	_, _ = fmt.Fprintf(t, "processor of a daemon\t%.2f %%\tof a core\n", 100*r.CPUShare)
	_, _ = fmt.Fprintf(t, "heap of a daemon\t%.1f MB\n", r.HeapBytes/1e6)
	_, _ = fmt.Fprintf(t, "a patch in force\t%.0f ms\tmax %.0f\n", r.PropagationP50Ms, r.PropagationMaxMs)
	_, _ = fmt.Fprintf(t, "a killed host out of use\t%.0f ms\tmax %.0f, elsewhere max %.0f\n", r.DetectionP50Ms, r.DetectionMaxMs, r.DetectionElsewhereMaxMs)
	_, _ = fmt.Fprintf(t, "false detections\t%d\n", r.FalseDetections)
	for _, path := range slices.Sorted(maps.Keys(r.StoreCallsPerSecond)) {
		_, _ = fmt.Fprintf(t, "store %s\t%.2f a second\n", path, r.StoreCallsPerSecond[path])
	}
	_ = t.Flush()
	return out.String()
}

// Run measures.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.DataCentres < 1 || o.Hosts < o.DataCentres {
		return Result{}, errors.Errorf("expected at least one host in each of %d data centres, got %d hosts", o.DataCentres, o.Hosts)
	}
	shape := fleet.Shape{OneWayMs: 55, Engine: standin.EngineOptions{Slots: 1}}
	for i := range o.DataCentres {
		n := o.Hosts / o.DataCentres
		if i < o.Hosts%o.DataCentres {
			n++
		}
		shape.Regions = append(shape.Regions, fleet.Region{Name: fmt.Sprintf("r%02d", i), Hosts: n})
	}
	f, err := fleet.Start(ctx, shape)
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	if err := f.WaitMembers(ctx, o.Hosts, f.Hosts); err != nil {
		return Result{}, err
	}
	m := &meter{fleet: f, options: o, result: Result{Hosts: o.Hosts, DataCentres: o.DataCentres}}
	for _, part := range []func(context.Context) error{m.steady, m.patches, m.kills} {
		if err := part(ctx); err != nil {
			return Result{}, err
		}
	}
	return m.result, nil
}

type meter struct {
	fleet   *fleet.Fleet
	options Options
	result  Result
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const settle = 5 * time.Second

// steady measures a fleet in which nothing happens.
func (m *meter) steady(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settle):
	}
	traffic := func() (sent, received []float64) {
		for _, h := range m.fleet.Hosts {
			s, r := h.Daemon.ControlBytes()
			sent, received = append(sent, float64(s)), append(received, float64(r))
		}
		return sent, received
	}
	sent, received := traffic()
	calls, cpu, began := m.fleet.Store.RequestCounts(), cpuTime(), time.Now()
	time.Sleep(m.options.Duration)
	seconds := time.Since(began).Seconds()
	hosts := float64(len(m.fleet.Hosts))
	m.result.CPUShare = (cpuTime() - cpu).Seconds() / seconds / hosts
	sentAfter, receivedAfter := traffic()
	m.result.SentBytesPerSecond, m.result.WorstSentBytesPerSecond = rates(sent, sentAfter, seconds)
	m.result.ReceivedBytesPerSecond, m.result.WorstReceivedBytesPerSecond = rates(received, receivedAfter, seconds)
	m.result.StoreCallsPerSecond = map[string]float64{}
	for path, n := range m.fleet.Store.RequestCounts() {
		m.result.StoreCallsPerSecond[path] = float64(n-calls[path]) / seconds
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.result.HeapBytes = float64(memory.HeapAlloc+memory.StackInuse) / hosts
	for _, h := range m.fleet.Hosts {
		m.result.FalseDetections += len(m.fleet.Hosts) - h.Daemon.HostsInUse()
	}
	return nil
}

func rates(before, after []float64, seconds float64) (mean, worst float64) {
	for i := range before {
		rate := (after[i] - before[i]) / seconds
		mean += rate / float64(len(before))
		worst = max(worst, rate)
	}
	return mean, worst
}

// patches measures how long a patch takes until it is in force at all hosts.
func (m *meter) patches(ctx context.Context) error {
	var took []float64
	for i := range m.options.Patches {
		via := m.fleet.Hosts[i*len(m.fleet.Hosts)/m.options.Patches]
		client := operator.NewClient(via.Settings.CallerAddress, fleet.OperatorKey)
		base := via.Daemon.Version()
		body, err := json.Marshal(map[string]any{"Limits": map[string]int{"MaxQueuedPerHost": 500 + i}})
		if err != nil {
			return errors.Wrap(err, "patch")
		}
		began := time.Now()
		patch := ledger.Patch{Base: base, ID: fmt.Sprintf("bench-%d", i), Kind: config.MergePatch, Body: body}
		if _, err := client.Patch(ctx, patch, false); err != nil {
			return err
		}
		if err := m.fleet.WaitVersion(ctx, base+1, m.fleet.Hosts); err != nil {
			return err
		}
		took = append(took, milliseconds(time.Since(began)))
	}
	m.result.PropagationP50Ms, m.result.PropagationMaxMs = middleAndMax(took)
	return nil
}

// kills measures how long a killed host stays in use, in its own data centre
// and elsewhere.
func (m *meter) kills(ctx context.Context) error {
	var near, far []float64
	alive := slices.Clone(m.fleet.Hosts)
	for i := range m.options.Kills {
		at := i * len(alive) / (m.options.Kills + 1)
		victim := alive[at]
		alive = slices.Delete(alive, at, at+1)
		var mates, others []*fleet.Host
		for _, h := range alive {
			if h.Region == victim.Region {
				mates = append(mates, h)
			} else {
				others = append(others, h)
			}
		}
		began := time.Now()
		m.fleet.Kill(victim)
		if err := m.fleet.WaitMembers(ctx, len(alive), mates); err != nil {
			return err
		}
		near = append(near, milliseconds(time.Since(began)))
		if err := m.fleet.WaitMembers(ctx, len(alive), others); err != nil {
			return err
		}
		far = append(far, milliseconds(time.Since(began)))
	}
	m.result.DetectionP50Ms, m.result.DetectionMaxMs = middleAndMax(near)
	_, m.result.DetectionElsewhereMaxMs = middleAndMax(far)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func middleAndMax(values []float64) (middle, largest float64) {
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}
