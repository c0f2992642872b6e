package standin

import (
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Platform stands in for the host list, the client directory and the weight
// store.
type Platform struct {
	*Server

	mu        sync.Mutex
	lag       time.Duration
	changes   []hostChange
	directory map[string]directoryEntry
	weights   *rate.Limiter
	served    int
}

// HostState is what the host list says of a host.
type HostState struct {
	Host    string `json:"Host"`
	Address string `json:"Address"`
	State   string `json:"State"` // Live, Leaving or Gone
}

type hostChange struct {
	at    time.Time
	state HostState
}

type directoryEntry struct {
	Host       string    `json:"Host"`
	Region     string    `json:"Region"`
	DataCentre string    `json:"DataCentre"`
	Address    string    `json:"Address"`
	TTLSeconds int       `json:"TTLSeconds"`
	Expires    time.Time `json:"-"`
}

const weightChunkBytes = 64 << 10

// NewPlatform returns a host list that lags by lag, an empty directory, and a
// weight store that gives bytesPerSecond to all its readers together.
func NewPlatform(lag time.Duration, bytesPerSecond int) *Platform {
	p := &Platform{
		lag: lag, directory: map[string]directoryEntry{},
		weights: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunkBytes),
	}
	p.Server = newServer(p.servePlatform)
	return p
}

// SetHost changes the host list; readers see it after the lag.
func (p *Platform) SetHost(state HostState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, hostChange{at: time.Now(), state: state})
}

// WeightBytes returns how much the weight store has given.
func (p *Platform) WeightBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served
}

func (p *Platform) servePlatform(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/hosts":
		answerJSON(ctx, fasthttp.StatusOK, p.hosts())
	case path == "/directory":
		answerJSON(ctx, fasthttp.StatusOK, p.entries())
	case strings.HasPrefix(path, "/directory/") && ctx.IsPut():
		p.enter(ctx, strings.TrimPrefix(path, "/directory/"))
	case strings.HasPrefix(path, "/directory/") && ctx.IsDelete():
		p.remove(strings.TrimPrefix(path, "/directory/"))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case strings.HasPrefix(path, "/weights/"):
		p.giveWeights(ctx)
	default:
		answerJSON(ctx, fasthttp.StatusNotFound, failed{Error: "no such path"})
	}
}

func (p *Platform) hosts() []HostState {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := time.Now().Add(-p.lag)
	latest := map[string]HostState{}
	for _, change := range p.changes {
		if !change.at.After(due) {
			latest[change.state.Host] = change.state
		}
	}
	out := make([]HostState, 0, len(latest))
	for _, state := range latest {
		out = append(out, state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (p *Platform) entries() []directoryEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []directoryEntry{}
	for _, entry := range p.directory {
		if time.Now().Before(entry.Expires) {
			out = append(out, entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (p *Platform) enter(ctx *fasthttp.RequestCtx, host string) {
	var entry directoryEntry
	if err := json.Unmarshal(ctx.PostBody(), &entry); err != nil {
		answerJSON(ctx, fasthttp.StatusBadRequest, failed{Error: err.Error()})
		return
	}
	entry.Host = host
	entry.Expires = time.Now().Add(time.Duration(entry.TTLSeconds) * time.Second)
	p.mu.Lock()
	p.directory[host] = entry
	p.mu.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (p *Platform) remove(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.directory, host)
}

func (p *Platform) giveWeights(ctx *fasthttp.RequestCtx) {
	size, err := strconv.Atoi(string(ctx.QueryArgs().Peek("bytes")))
	if err != nil || size <= 0 {
		answerJSON(ctx, fasthttp.StatusBadRequest, failed{Error: "bytes: expected a positive number"})
		return
	}
	for left := size; left > 0; left -= weightChunkBytes {
		_ = p.weights.WaitN(ctx, min(left, weightChunkBytes))
	}
	p.mu.Lock()
	p.served += size
	p.mu.Unlock()
	ctx.SetBody(make([]byte, size))
}
