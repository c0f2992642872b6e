// Package control measures the cost of the control plane of a fleet. The daemons of
// N hosts run in one process on loopback, without calls, with a stand-in for the
// store.
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

// Options are the parameters of a measurement.
type Options struct {
	Hosts       int
	DataCentres int
	Patches     int           // number of configuration patches to time
	Kills       int           // number of hosts to kill
	Duration    time.Duration // of the measurement without changes
}

// Result holds the measured values. Byte rates are the mean over the daemons and, with
// the prefix Worst, the largest of them; CPUShare (of one core) and HeapBytes are
// means for a daemon.
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

// Table returns the result as a text table.
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

// Run starts a fleet, measures its steady state, the propagation of patches and the
// detection of killed hosts, and stops it. It needs at least one host in each data
// centre.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.DataCentres < 1 || o.Hosts < o.DataCentres {
		return Result{}, errors.Errorf("expected at least one host in each of %d data centres, got %d hosts", o.DataCentres, o.Hosts)
	}
	spec := fleet.Spec{OneWayMs: 55, Engine: standin.EngineOptions{Slots: 1}}
	for i := range o.DataCentres {
		n := o.Hosts / o.DataCentres
		if i < o.Hosts%o.DataCentres {
			n++
		}
		spec.Regions = append(spec.Regions, fleet.RegionSpec{Name: fmt.Sprintf("r%02d", i), Hosts: n})
	}
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return Result{}, err
	}
	defer f.Stop()
	if err := f.WaitMembers(ctx, o.Hosts, f.Hosts); err != nil {
		return Result{}, err
	}
	m := &meter{fleet: f, options: o, result: Result{Hosts: o.Hosts, DataCentres: o.DataCentres}}
	for _, measure := range []func(context.Context) error{m.measureSteadyState, m.measurePropagation, m.measureDetection} {
		if err := measure(ctx); err != nil {
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

const settleTime = 5 * time.Second

// measureSteadyState measures traffic, CPU, memory and false detections of a fleet without
// calls, patches or failures.
func (m *meter) measureSteadyState(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settleTime):
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

// measurePropagation measures the time until a patch is in force at all hosts.
func (m *meter) measurePropagation(ctx context.Context) error {
	var elapsed []float64
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
		elapsed = append(elapsed, milliseconds(time.Since(began)))
	}
	m.result.PropagationP50Ms, m.result.PropagationMaxMs = medianAndMax(elapsed)
	return nil
}

// measureDetection measures the time until the other hosts stop using a killed host, in its
// data centre and elsewhere.
func (m *meter) measureDetection(ctx context.Context) error {
	var localMs, remoteMs []float64
	alive := slices.Clone(m.fleet.Hosts)
	for i := range m.options.Kills {
		index := i * len(alive) / (m.options.Kills + 1)
		killed := alive[index]
		alive = slices.Delete(alive, index, index+1)
		var local, remote []*fleet.Host
		for _, h := range alive {
			if h.Region == killed.Region {
				local = append(local, h)
			} else {
				remote = append(remote, h)
			}
		}
		began := time.Now()
		m.fleet.Kill(killed)
		if err := m.fleet.WaitMembers(ctx, len(alive), local); err != nil {
			return err
		}
		localMs = append(localMs, milliseconds(time.Since(began)))
		if err := m.fleet.WaitMembers(ctx, len(alive), remote); err != nil {
			return err
		}
		remoteMs = append(remoteMs, milliseconds(time.Since(began)))
	}
	m.result.DetectionP50Ms, m.result.DetectionMaxMs = medianAndMax(localMs)
	_, m.result.DetectionElsewhereMaxMs = medianAndMax(remoteMs)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func medianAndMax(values []float64) (median, largest float64) {
	if len(values) == 0 {
		return 0, 0
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}
