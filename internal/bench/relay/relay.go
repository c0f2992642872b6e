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

// Options set the size of a measurement.
type Options struct {
	Duration time.Duration
	Streams  int
	Open     int
}

// Result is what was measured. Ratios compare the daemon with direct calls.
type Result struct {
	CallsPerSecond       float64 `json:"CallsPerSecond"`
	DirectCallsPerSecond float64 `json:"DirectCallsPerSecond"`
	CallsRatio           float64 `json:"CallsRatio"`
	// AddedP50Ms and AddedP99Ms are taken at half of the daemon's throughput.
	AddedP50Ms            float64 `json:"AddedP50Ms"`
	AddedP99Ms            float64 `json:"AddedP99Ms"`
	TokensPerSecond       float64 `json:"TokensPerSecond"`
	DirectTokensPerSecond float64 `json:"DirectTokensPerSecond"`
	TokensRatio           float64 `json:"TokensRatio"`
	// TokensPerSecondOnTwoCores is what the daemon could relay with its two
	// cores busy, from the processor time that it used.
	TokensPerSecondOnTwoCores float64 `json:"TokensPerSecondOnTwoCores"`
	CPUMicrosPerCall          float64 `json:"CPUMicrosPerCall"`
	CPUMicrosPerToken         float64 `json:"CPUMicrosPerToken"`
	OpenStreams               int     `json:"OpenStreams"`
	BytesPerOpenStream        float64 `json:"BytesPerOpenStream"`
	IdleBytes                 int     `json:"IdleBytes"`
	AllocationsPerCall        float64 `json:"AllocationsPerCall"`
}

// Table prints the result for people.
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
	idlePause  = 500 * time.Millisecond
)

// Run measures.
func Run(ctx context.Context, o Options) (Result, error) {
	p, err := startProcesses(ctx)
	if err != nil {
		return Result{}, err
	}
	defer p.stop()
	m := &meter{processes: p, options: o, pool: exchange.NewPool(link.NewSystem(""), exchange.WithMaxIdle(4096))}
	defer m.pool.Close()
	time.Sleep(idlePause)
	for _, part := range []func(context.Context) error{m.memory, m.shortCalls, m.tokens} {
		if err := part(ctx); err != nil {
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

// call makes one call and reads its answer whole, counting the events.
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

// closedLoop makes calls from all callers for the duration, with a pause between
// two calls of one, and returns the rate and the latencies in microseconds.
func (m *meter) closedLoop(ctx context.Context, pause time.Duration, address, path string) (float64, *hdrhistogram.Histogram, error) {
	const maxMicros, digits = 60_000_000, 3
	all := hdrhistogram.New(1, maxMicros, digits)
	var mu sync.Mutex
	var failed error
	var wait sync.WaitGroup
	began := time.Now()
	for range callers {
		wait.Go(func() {
			own := hdrhistogram.New(1, maxMicros, digits)
			for time.Since(began) < m.options.Duration && ctx.Err() == nil {
				start := time.Now()
				if _, err := m.call(ctx, address, path, nil); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
					return
				}
				_ = own.RecordValue(time.Since(start).Microseconds())
				time.Sleep(pause)
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		})
	}
	wait.Wait()
	return float64(all.TotalCount()) / time.Since(began).Seconds(), all, failed
}

func (m *meter) shortCalls(ctx context.Context) error {
	direct, _, err := m.closedLoop(ctx, 0, plainAddress, directPath)
	if err != nil {
		return err
	}
	before, err := m.processes.usageOf()
	if err != nil {
		return err
	}
	mallocs, err := m.mallocs(ctx)
	if err != nil {
		return err
	}
	through, full, err := m.closedLoop(ctx, 0, callerAddress, shortPath)
	if err != nil {
		return err
	}
	after, err := m.processes.usageOf()
	if err != nil {
		return err
	}
	mallocsAfter, err := m.mallocs(ctx)
	if err != nil {
		return err
	}
	calls := float64(full.TotalCount())
	m.result.CallsPerSecond, m.result.DirectCallsPerSecond, m.result.CallsRatio = through, direct, through/direct
	m.result.CPUMicrosPerCall = float64((after.cpu - before.cpu).Microseconds()) / calls
	m.result.AllocationsPerCall = (mallocsAfter - mallocs) / calls
	return m.halfLoad(ctx, through/2)
}

// halfLoad compares latencies at the same rate, half of what the daemon can do.
func (m *meter) halfLoad(ctx context.Context, rate float64) error {
	pause := time.Duration(float64(callers) / rate * float64(time.Second))
	_, direct, err := m.closedLoop(ctx, pause, plainAddress, directPath)
	if err != nil {
		return err
	}
	_, through, err := m.closedLoop(ctx, pause, callerAddress, shortPath)
	if err != nil {
		return err
	}
	const microsPerMs, median, tail = 1000, 50, 99
	m.result.AddedP50Ms = float64(through.ValueAtQuantile(median)-direct.ValueAtQuantile(median)) / microsPerMs
	m.result.AddedP99Ms = float64(through.ValueAtQuantile(tail)-direct.ValueAtQuantile(tail)) / microsPerMs
	return nil
}

// mallocs reads how many objects the daemon has allocated.
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

// streamFor runs streams one after another from many callers.
func (m *meter) streamFor(ctx context.Context, address string) (float64, error) {
	const tokens = 2000
	var total atomic.Int64
	var mu sync.Mutex
	var failed error
	var wait sync.WaitGroup
	began := time.Now()
	for range m.options.Streams {
		wait.Go(func() {
			for time.Since(began) < m.options.Duration {
				n, err := m.call(ctx, address, streamPath, streamBody(fastModel, tokens))
				if err == nil && n != tokens+1 {
					err = errors.Errorf("a stream had %d events, want %d", n, tokens+1)
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
	wait.Wait()
	return float64(total.Load()) / time.Since(began).Seconds(), failed
}

func (m *meter) tokens(ctx context.Context) error {
	direct, err := m.streamFor(ctx, fastAddress)
	if err != nil {
		return err
	}
	before, err := m.processes.usageOf()
	if err != nil {
		return err
	}
	began := time.Now()
	through, err := m.streamFor(ctx, callerAddress)
	if err != nil {
		return err
	}
	after, err := m.processes.usageOf()
	if err != nil {
		return err
	}
	tokens := through * time.Since(began).Seconds()
	seconds := (after.cpu - before.cpu).Seconds()
	m.result.TokensPerSecond, m.result.DirectTokensPerSecond, m.result.TokensRatio = through, direct, through/direct
	m.result.CPUMicrosPerToken = seconds / tokens * 1e6
	m.result.TokensPerSecondOnTwoCores = daemonCores * tokens / seconds
	return nil
}

// memory opens streams that stay open and compares the daemon's memory with
// that before.
func (m *meter) memory(ctx context.Context) error {
	before, err := m.processes.usageOf()
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
	after, err := m.processes.usageOf()
	if err != nil {
		return err
	}
	m.result.OpenStreams = m.options.Open
	m.result.BytesPerOpenStream = float64(after.rss-before.rss) / float64(m.options.Open)
	cancel()
	return m.waitInFlight(context.WithoutCancel(ctx), 0)
}

// waitInFlight waits until the daemon has n calls in flight.
func (m *meter) waitInFlight(ctx context.Context, n int64) error {
	client := operator.NewClient(callerAddress, operatorKey)
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(50 * time.Millisecond) {
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
	return errors.Errorf("the daemon did not come to %d calls in flight", n)
}
