package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineOptions are the size and speed of a model engine.
type EngineOptions struct {
	Model string `json:"Model"`
	// Slots is the number of sequences that run at once.
	Slots int `json:"Slots"`
	// StepMs is the duration of a step of the batch in milliseconds.
	StepMs int `json:"StepMs"`
	// TokensPerStep is the number of tokens produced for a sequence in each step, at least
	// 1.
	TokensPerStep int `json:"TokensPerStep"`
	// PrefillTokensPerStep is the number of prompt tokens that the engine reads each step,
	// over all sequences. With 0, prompts take no time.
	PrefillTokensPerStep int `json:"PrefillTokensPerStep"`
	// CacheBlocks is the capacity of the prefix cache in blocks of cacheBlockBytes; 0
	// disables the cache.
	CacheBlocks int `json:"CacheBlocks"`
	// LoadLagMs is the age of the load that the engine reports.
	LoadLagMs int `json:"LoadLagMs"`
	// ChecksFencing makes the engine refuse an order whose fencing token is lower than the
	// last one accepted.
	ChecksFencing bool `json:"ChecksFencing"`
}

// Engine stands in for a model engine with continuous batching.
type Engine struct {
	*Server
	options EngineOptions

	mu        sync.Mutex
	sequences map[string]*sequence
	running   []*sequence
	waiting   []*sequence
	started   bool
	step      int
	reports   []loadReport
	cache     prefixCache
	orders    orderBook
	counts    EngineCounts
}

// EngineCounts counts the sequences and tokens of an engine since its start.
type EngineCounts struct {
	Started   int `json:"Started"`
	Finished  int `json:"Finished"`
	Cancelled int `json:"Cancelled"`
	Resumed   int `json:"Resumed"`
	Tokens    int `json:"Tokens"`
	// Wasted counts the tokens produced while a sequence had no reader.
	Wasted int `json:"Wasted"`
}

type sequence struct {
	id         string
	priority   int
	arrived    int // order of arrival
	prefill    int // prompt tokens not read yet
	total      int
	produced   int
	ended      bool
	readers    int
	detachedAt time.Time     // when the last reader left
	changed    chan struct{} // closed and replaced at each change
}

type loadReport struct {
	At      time.Time `json:"At"`
	Running int       `json:"Running"`
	Waiting int       `json:"Waiting"`
	Slots   int       `json:"Slots"`
}

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  []chatMessage   `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Extra     json.RawMessage `json:"-"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

type completionResponse struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	Text   string `json:"text"`
	// Choices repeats Text in the format of the chat completions API.
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

const (
	resumeGrace          = 2 * time.Second
	engineDefaultTokens  = 64
	bytesPerToken        = 4
	cacheBlockBytes      = 64
	reportHistory        = 512
	engineEventsPerFlush = 64
)

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options, sequences: map[string]*sequence{}, cache: newPrefixCache(options.CacheBlocks)}
	e.Server = newServer(e.serveEngine)
	return e
}

// Counts returns the counts of sequences and tokens so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

func (e *Engine) serveEngine(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/completions", path == "/v1/chat/completions":
		e.complete(ctx)
	case strings.HasPrefix(path, "/v1/streams/") && ctx.IsDelete():
		e.cancel(strings.TrimPrefix(path, "/v1/streams/"))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case path == "/load":
		if e.Fault().Leaving {
			ctx.Response.Header.Set("X-Leaving", "1")
		}
		writeJSON(ctx, fasthttp.StatusOK, e.report())
	case path == "/counts":
		writeJSON(ctx, fasthttp.StatusOK, e.Counts())
	case path == "/cache/events":
		after, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("after")))
		writeJSON(ctx, fasthttp.StatusOK, e.cacheEvents(after))
	case path == "/orders":
		e.serveOrders(ctx)
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, errorBody{Error: "no such path"})
	}
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	fault := e.Fault()
	if fault.Leaving {
		ctx.Response.Header.Set("X-Refused", "leaving")
		ctx.Response.Header.Set("X-Leaving", "1")
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, errorBody{Error: "leaving"})
		return
	}
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Response.Header.Set("X-Refused", "malformed")
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	from := -1
	if last := string(ctx.Request.Header.Peek("Last-Event-ID")); last != "" {
		from, _ = strconv.Atoi(last)
	}
	s, cached := e.attach(id, from, request, string(ctx.Request.Header.Peek("X-Priority")))
	if s == nil {
		ctx.Response.Header.Set("X-Refused", "no such stream")
		writeJSON(ctx, fasthttp.StatusGone, errorBody{Error: "no such stream"})
		return
	}
	e.setHeaders(ctx, id, fault)
	if request.Stream {
		e.stream(ctx, s, from)
		return
	}
	<-e.finished(s)
	writeJSON(ctx, fasthttp.StatusOK, e.completion(s, request, cached))
}

func (e *Engine) setHeaders(ctx *fasthttp.RequestCtx, id string, fault Fault) {
	if fault.WrongEcho {
		id = "another-" + id
	}
	ctx.Response.Header.Set("X-Request-Id", id)
	load := e.report()
	ctx.Response.Header.Set("X-Load", fmt.Sprintf("%d/%d/%d", load.Running, load.Waiting, load.Slots))
}

func (e *Engine) completion(s *sequence, request completionRequest, cached int) completionResponse {
	var text strings.Builder
	for i := range s.total {
		text.WriteString(Token(i))
	}
	return completionResponse{
		ID: s.id, Object: "text_completion", Model: request.Model, Text: text.String(),
		Choices: []completionChoice{{Message: chatMessage{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   completionUsage{PromptTokens: s.prefill, CompletionTokens: s.total, CachedTokens: cached},
	}
}

// Token returns the text of the token at an offset. It is the same in every response, so
// that a reader can detect a missing or a repeated token.
func Token(offset int) string { return "w" + strconv.Itoa(offset) + " " }

func (r completionRequest) text() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Content
	}
	return text
}

// attach starts a sequence, or returns the existing one when from is an event ID to resume
// after. It returns nil if the sequence to resume is unknown, and the number of cached
// prompt tokens of a new one.
func (e *Engine) attach(id string, from int, request completionRequest, priority string) (*sequence, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from >= 0 {
		s := e.sequences[id]
		if s != nil {
			s.readers++
			e.counts.Resumed++
		}
		return s, 0
	}
	text := request.text()
	cached := e.cache.touch(text)
	s := &sequence{
		id: id, total: request.MaxTokens, prefill: len(text)/bytesPerToken + 1 - cached,
		arrived: e.counts.Started, readers: 1, changed: make(chan struct{}),
	}
	if s.total <= 0 {
		s.total = engineDefaultTokens
	}
	s.priority, _ = strconv.Atoi(priority)
	e.counts.Started++
	e.sequences[id] = s
	e.waiting = append(e.waiting, s)
	if !e.started {
		e.started = true
		go e.run()
	}
	return s, cached
}

func (e *Engine) run() {
	for {
		pause := time.Duration(e.options.StepMs) * time.Millisecond
		if slow := e.Fault().Slowdown; slow > 1 {
			pause *= time.Duration(slow)
		}
		time.Sleep(pause)
		if !e.runStep() {
			return
		}
	}
}

// runStep advances every running sequence by a step and reports whether any sequence is
// running or waiting.
func (e *Engine) runStep() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step++
	e.admit()
	kept := e.running[:0]
	prefill := e.options.PrefillTokensPerStep
	for _, s := range e.running {
		e.advance(s, &prefill)
		if !s.ended {
			kept = append(kept, s)
		}
	}
	e.running = kept
	e.reports = append(e.reports, e.loadNow())
	if len(e.reports) > reportHistory {
		e.reports = e.reports[len(e.reports)-reportHistory:]
	}
	e.started = len(e.running)+len(e.waiting) > 0
	return e.started
}

func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		return a.priority > b.priority || a.priority == b.priority && a.arrived < b.arrived
	})
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !s.ended {
			e.running = append(e.running, s)
		}
	}
}

func (e *Engine) advance(s *sequence, prefill *int) {
	switch {
	case s.ended:
	case s.readers == 0 && time.Since(s.detachedAt) > resumeGrace:
		e.endLocked(s)
		e.counts.Cancelled++
	case s.prefill > 0 && e.options.PrefillTokensPerStep > 0:
		used := min(s.prefill, *prefill)
		s.prefill -= used
		*prefill -= used
	default:
		gained := min(max(e.options.TokensPerStep, 1), s.total-s.produced)
		s.produced += gained
		e.counts.Tokens += gained
		if s.readers == 0 {
			e.counts.Wasted += gained
		}
		if s.produced == s.total {
			s.ended = true
			e.counts.Finished++
		}
		notifyReaders(s)
	}
}

func notifyReaders(s *sequence) {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Engine) endLocked(s *sequence) {
	s.ended = true
	delete(e.sequences, s.id)
	notifyReaders(s)
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sequences[id]; s != nil && !s.ended {
		e.endLocked(s)
		e.counts.Cancelled++
	}
}

func (e *Engine) finished(s *sequence) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			e.mu.Lock()
			ended, changed := s.ended, s.changed
			e.mu.Unlock()
			if ended {
				return
			}
			<-changed
		}
	}()
	return done
}

func (e *Engine) stream(ctx *fasthttp.RequestCtx, s *sequence, from int) {
	truncateAfter := e.nextTruncation()
	connection := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.detach(s)
		next, events := from+1, 0
		for {
			e.mu.Lock()
			produced, ended, total, changed := s.produced, s.ended, s.total, s.changed
			e.mu.Unlock()
			for ; next < produced; next++ {
				if truncateAfter > 0 && events == truncateAfter {
					_ = w.Flush()
					_ = connection.Close()
					return
				}
				writeToken(w, next)
				events++
				if events%engineEventsPerFlush == 0 && w.Flush() != nil {
					return
				}
			}
			if next == total {
				_, _ = w.WriteString("data: [DONE]\n\n")
			}
			if w.Flush() != nil || ended {
				return
			}
			<-changed
		}
	})
}

func writeToken(w *bufio.Writer, offset int) {
	var digits [20]byte
	number := strconv.AppendInt(digits[:0], int64(offset), 10)
	_, _ = w.WriteString("id: ")
	_, _ = w.Write(number)
	_, _ = w.WriteString("\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w")
	_, _ = w.Write(number)
	_, _ = w.WriteString(" \"}}]}\n\n")
}

// detach removes a reader from a sequence. A sequence without readers can be resumed for
// resumeGrace; then the engine cancels it.
func (e *Engine) detach(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.detachedAt = time.Now()
	if s.ended && s.readers == 0 {
		time.AfterFunc(resumeGrace, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.sequences, s.id)
		})
	}
}

func (e *Engine) loadNow() loadReport {
	return loadReport{At: time.Now(), Running: len(e.running), Waiting: len(e.waiting), Slots: e.options.Slots}
}

// report returns the load as of LoadLagMs ago.
func (e *Engine) report() loadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := time.Now().Add(-time.Duration(e.options.LoadLagMs) * time.Millisecond)
	out := loadReport{At: due, Slots: e.options.Slots}
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].At.Before(due) {
			out.Running, out.Waiting = e.reports[i].Running, e.reports[i].Waiting
			break
		}
	}
	return out
}
