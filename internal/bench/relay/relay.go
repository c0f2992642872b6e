package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/operator"
)

// Options are the parameters of a measurement.
type Options struct {
	Duration time.Duration // of each loop of calls or streams
	Streams  int           // concurrent streams when tokens are counted
	Open     int           // slow streams held open while memory is measured
}

// Result holds the measured values. A ratio is the rate through the daemon divided by
// the rate of direct calls.
type Result struct {
	CallsPerSecond       float64 `json:"CallsPerSecond"`
	DirectCallsPerSecond float64 `json:"DirectCallsPerSecond"`
	CallsRatio           float64 `json:"CallsRatio"`
	// AddedP50Ms and AddedP99Ms are measured at half of the daemon's throughput.
	AddedP50Ms            float64 `json:"AddedP50Ms"`
	AddedP99Ms            float64 `json:"AddedP99Ms"`
	TokensPerSecond       float64 `json:"TokensPerSecond"`
	DirectTokensPerSecond float64 `json:"DirectTokensPerSecond"`
	TokensRatio           float64 `json:"TokensRatio"`
	// TokensPerSecondOnTwoCores is the rate that the daemon would reach with both of its
	// cores busy, computed from the CPU time that it used for each token.
	TokensPerSecondOnTwoCores float64 `json:"TokensPerSecondOnTwoCores"`
	CPUMicrosPerCall          float64 `json:"CPUMicrosPerCall"`
	CPUMicrosPerToken         float64 `json:"CPUMicrosPerToken"`
	OpenStreams               int     `json:"OpenStreams"`
	BytesPerOpenStream        float64 `json:"BytesPerOpenStream"`
	IdleBytes                 int     `json:"IdleBytes"`
	AllocationsPerCall        float64 `json:"AllocationsPerCall"`
}

// Table returns the result as a text table.
func (r Result) Table() string {
	var out strings.Builder
	const padding = 2
	t := tabwriter.NewWriter(&out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintf(t, "short calls a second\t%.0f\tdirect %.0f, ratio %.2f\n", r.CallsPerSecond, r.DirectCallsPerSecond, r.CallsRatio)
	_, _ = fmt.Fprintf(t, "latency added at half load\tp50 %.3f ms\tp99 %.3f ms\n", r.AddedP50Ms, r.AddedP99Ms)
	_, _ = fmt.Fprintf(t, "streamed tokens a second\t%.0f\tdirect %.0f, ratio %.2f\n", r.TokensPerSecond, r.DirectTokensPerSecond, r.TokensRatio)
	_, _ = fmt.Fprintf(t, "tokens a second on two busy cores\t%.0f\t%.2f us each\n", r.TokensPerSecondOnTwoCores, r.CPUMicrosPerToken)
	_, _ = fmt.Fprintf(t, "processor time a call\t%.1f us\t%.0f allocations\n", r.CPUMicrosPerCall, r.AllocationsPerCall)
	_, _ = fmt.Fprintf(t, "memory an open stream\t%.1f KiB\tof %d streams\n", r.BytesPerOpenStream/1024, r.OpenStreams)
	_ = t.Flush()
	return out.String()
}

const (
	shortPath  = "/services/" + plainService + "/lots/1"
	directPath = "/lots/1"
	streamPath = "/v1/completions"
	callers    = 32
	settleTime = 500 * time.Millisecond
)

// Run starts a daemon and its stand-ins, measures memory, short calls and streams, and
// stops the processes.
func Run(ctx context.Context, o Options) (Result, error) {
	p, err := startProcesses(ctx)
	if err != nil {
		return Result{}, err
	}
	defer p.stop()
	m := &meter{processes: p, options: o, pool: exchange.NewPool(link.NewSystem(""), exchange.WithMaxIdle(4096))}
	defer m.pool.Close()
	time.Sleep(settleTime)
	for _, measure := range []func(context.Context) error{m.measureMemory, m.measureShortCalls, m.measureStreams} {
		if err := measure(ctx); err != nil {
			return Result{}, err
		}
	}
	return m.result, nil
}

type meter struct {
	processes *processes
	options   Options
	pool      *exchange.Pool
	result    Result
}

// call makes one call, reads the response to its end and returns the number of events.
func (m *meter) call(ctx context.Context, address, path string, body []byte) (events int, err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+callerKey)
	request.Header.Set(core.HeaderRequestID, core.NewID())
	if body != nil {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyRaw(body)
	}
	response, err := m.pool.Do(ctx, address, request)
	if err != nil {
		return 0, err
	}
	defer response.Close()
	if response.Status() >= fasthttp.StatusBadRequest {
		return 0, errors.Errorf("%s%s: status %d", address, path, response.Status())
	}
	reader := bufio.NewReader(response)
	for {
		line, err := reader.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data:")) {
			events++
		}
		if err != nil {
			return events, nil
		}
	}
}

// closedLoop runs all callers for the duration. Each makes one call after another, with a
// pause between them. It returns the calls per second and the latencies in microseconds.
func (m *meter) closedLoop(ctx context.Context, pause time.Duration, address, path string) (float64, *hdrhistogram.Histogram, error) {
	const maxMicros, digits = 60_000_000, 3
	all := hdrhistogram.New(1, maxMicros, digits)
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	began := time.Now()
	for range callers {
		group.Go(func() {
			latencies := hdrhistogram.New(1, maxMicros, digits)
			for time.Since(began) < m.options.Duration && ctx.Err() == nil {
				start := time.Now()
				if _, err := m.call(ctx, address, path, nil); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
				_ = latencies.RecordValue(time.Since(start).Microseconds())
				time.Sleep(pause)
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(latencies)
		})
	}
	group.Wait()
	return float64(all.TotalCount()) / time.Since(began).Seconds(), all, failed
}

func (m *meter) measureShortCalls(ctx context.Context) error {
	direct, _, err := m.closedLoop(ctx, 0, plainAddress, directPath)
	if err != nil {
		return err
	}
	before, err := m.processes.daemonUsage()
	if err != nil {
		return err
	}
	mallocs, err := m.mallocs(ctx)
	if err != nil {
		return err
	}
	throughDaemon, histogram, err := m.closedLoop(ctx, 0, callerAddress, shortPath)
	if err != nil {
		return err
	}
	after, err := m.processes.daemonUsage()
	if err != nil {
		return err
	}
	mallocsAfter, err := m.mallocs(ctx)
	if err != nil {
		return err
	}
	calls := float64(histogram.TotalCount())
	m.result.CallsPerSecond, m.result.DirectCallsPerSecond, m.result.CallsRatio = throughDaemon, direct, throughDaemon/direct
	m.result.CPUMicrosPerCall = float64((after.cpu - before.cpu).Microseconds()) / calls
	m.result.AllocationsPerCall = (mallocsAfter - mallocs) / calls
	return m.measureAddedLatency(ctx, throughDaemon/2)
}

// measureAddedLatency compares the latencies through the daemon and direct at the same
// rate, half of the daemon's throughput.
func (m *meter) measureAddedLatency(ctx context.Context, rate float64) error {
	pause := time.Duration(float64(callers) / rate * float64(time.Second))
	_, direct, err := m.closedLoop(ctx, pause, plainAddress, directPath)
	if err != nil {
		return err
	}
	_, throughDaemon, err := m.closedLoop(ctx, pause, callerAddress, shortPath)
	if err != nil {
		return err
	}
	const microsPerMs, median, tail = 1000, 50, 99
	m.result.AddedP50Ms = float64(throughDaemon.ValueAtQuantile(median)-direct.ValueAtQuantile(median)) / microsPerMs
	m.result.AddedP99Ms = float64(throughDaemon.ValueAtQuantile(tail)-direct.ValueAtQuantile(tail)) / microsPerMs
	return nil
}

// mallocs returns the number of objects that the daemon has allocated since its start.
func (m *meter) mallocs(ctx context.Context) (float64, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + callerAddress + "/debug/vars")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+operatorKey)
	response, err := m.pool.Do(ctx, callerAddress, request)
	if err != nil {
		return 0, err
	}
	body, err := response.ReadAll(1 << 20)
	if err != nil {
		return 0, err
	}
	var vars struct {
		Memory struct {
			Mallocs float64 `json:"Mallocs"`
		} `json:"memstats"`
	}
	return vars.Memory.Mallocs, errors.Wrap(json.Unmarshal(body, &vars), "expvar")
}

func streamBody(model string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"prompt":"p","stream":true,"max_tokens":%d}`, model, tokens)
}

// streamLoop runs concurrent callers for the duration, each with one stream after another,
// and returns the events per second.
func (m *meter) streamLoop(ctx context.Context, address string) (float64, error) {
	const tokens = 2000
	var total atomic.Int64
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	began := time.Now()
	for range m.options.Streams {
		group.Go(func() {
			for time.Since(began) < m.options.Duration {
				n, err := m.call(ctx, address, streamPath, streamBody(fastModel, tokens))
				if err == nil && n != tokens+1 {
					err = errors.Errorf("stream returned %d events, want %d", n, tokens+1)
				}
				if err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
				total.Add(int64(n))
			}
		})
	}
	group.Wait()
	return float64(total.Load()) / time.Since(began).Seconds(), failed
}

func (m *meter) measureStreams(ctx context.Context) error {
	direct, err := m.streamLoop(ctx, fastAddress)
	if err != nil {
		return err
	}
	before, err := m.processes.daemonUsage()
	if err != nil {
		return err
	}
	began := time.Now()
	throughDaemon, err := m.streamLoop(ctx, callerAddress)
	if err != nil {
		return err
	}
	after, err := m.processes.daemonUsage()
	if err != nil {
		return err
	}
	tokens := throughDaemon * time.Since(began).Seconds()
	seconds := (after.cpu - before.cpu).Seconds()
	m.result.TokensPerSecond, m.result.DirectTokensPerSecond, m.result.TokensRatio = throughDaemon, direct, throughDaemon/direct
	m.result.CPUMicrosPerToken = seconds / tokens * 1e6
	m.result.TokensPerSecondOnTwoCores = daemonCores * tokens / seconds
	return nil
}

// measureMemory compares the daemon's resident memory before and while slow streams are open.
func (m *meter) measureMemory(ctx context.Context) error {
	before, err := m.processes.daemonUsage()
	if err != nil {
		return err
	}
	m.result.IdleBytes = before.rss
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	const tokens = 1000
	for range m.options.Open {
		go func() { _, _ = m.call(ctx, callerAddress, streamPath, streamBody(slowModel, tokens)) }()
	}
	if err := m.waitInFlight(ctx, int64(m.options.Open)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	after, err := m.processes.daemonUsage()
	if err != nil {
		return err
	}
	m.result.OpenStreams = m.options.Open
	m.result.BytesPerOpenStream = float64(after.rss-before.rss) / float64(m.options.Open)
	cancel()
	return m.waitInFlight(context.WithoutCancel(ctx), 0)
}

// waitInFlight waits until the daemon has n calls in flight. It returns an error after
// startTimeout.
func (m *meter) waitInFlight(ctx context.Context, n int64) error {
	client := operator.NewClient(callerAddress, operatorKey)
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(50 * time.Millisecond) {
		body, err := client.Get(ctx, "/operator/dump")
		if err != nil {
			return err
		}
		var dump struct {
			InFlight int64 `json:"InFlight"`
		}
		if err := json.Unmarshal(body, &dump); err != nil {
			return errors.Wrap(err, "dump")
		}
		if dump.InFlight == n {
			return nil
		}
	}
	return errors.Errorf("timed out waiting for the daemon to have %d calls in flight", n)
}
