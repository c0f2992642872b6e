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

	mu          sync.Mutex
	lag         time.Duration
	changes     []hostChange
	directory   map[string]directoryEntry
	weights     *rate.Limiter
	weightBytes int
}

// HostState is the entry of a host in the host list.
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

// NewPlatform returns a platform with a host list that shows changes after lag, an empty
// directory, and a weight store that serves bytesPerSecond to all its readers together.
func NewPlatform(lag time.Duration, bytesPerSecond int) *Platform {
	p := &Platform{
		lag: lag, directory: map[string]directoryEntry{},
		weights: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunkBytes),
	}
	p.Server = newServer(p.servePlatform)
	return p
}

// SetHost changes the state of a host. Readers of the host list see the change after the
// lag.
func (p *Platform) SetHost(state HostState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, hostChange{at: time.Now(), state: state})
}

// WeightBytes returns the number of bytes that the weight store has served.
func (p *Platform) WeightBytes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.weightBytes
}

func (p *Platform) servePlatform(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/hosts":
		writeJSON(ctx, fasthttp.StatusOK, p.hosts())
	case path == "/directory":
		writeJSON(ctx, fasthttp.StatusOK, p.entries())
	case strings.HasPrefix(path, "/directory/") && ctx.IsPut():
		p.putEntry(ctx, strings.TrimPrefix(path, "/directory/"))
	case strings.HasPrefix(path, "/directory/") && ctx.IsDelete():
		p.deleteEntry(strings.TrimPrefix(path, "/directory/"))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case strings.HasPrefix(path, "/weights/"):
		p.serveWeights(ctx)
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, errorBody{Error: "no such path"})
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

func (p *Platform) putEntry(ctx *fasthttp.RequestCtx, host string) {
	var entry directoryEntry
	if err := json.Unmarshal(ctx.PostBody(), &entry); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	entry.Host = host
	entry.Expires = time.Now().Add(time.Duration(entry.TTLSeconds) * time.Second)
	p.mu.Lock()
	p.directory[host] = entry
	p.mu.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (p *Platform) deleteEntry(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.directory, host)
}

func (p *Platform) serveWeights(ctx *fasthttp.RequestCtx) {
	size, err := strconv.Atoi(string(ctx.QueryArgs().Peek("bytes")))
	if err != nil || size <= 0 {
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: "bytes: expected a positive number"})
		return
	}
	for left := size; left > 0; left -= weightChunkBytes {
		_ = p.weights.WaitN(ctx, min(left, weightChunkBytes))
	}
	p.mu.Lock()
	p.weightBytes += size
	p.mu.Unlock()
	ctx.SetBody(make([]byte, size))
}
