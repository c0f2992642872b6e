package gateway

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/memory"
)

const (
	// programMB is the memory of the program and its tables. budgetShare is the part of the rest that connections,
	// calls and bodies may use; what remains is for garbage until it is collected.
	programMB   = 40
	budgetShare = 0.6
	// defaultMemoryMB is the memory of a host without the setting.
	defaultMemoryMB = 4096
	minMemoryMB     = 64
	bytesPerMB      = 1_000_000
	// connectionBytes is the memory of an open connection: its read buffer and its stack.
	connectionBytes = 32 << 10
	// callBytes is that of a running call: a short body, the buffers of the response and of the connection to the
	// target, and stacks.
	callBytes = 64 << 10
	// shortBodyBytes bounds the bodies that are part of callBytes, and firstBodyBytes is the first buffer of a body.
	shortBodyBytes = 16 << 10
	firstBodyBytes = 2 << 10
	// maxControlBodyBytes bounds the requests to the servers that expect none with a body.
	maxControlBodyBytes = 16 << 10
	// An upload waits for memory for memoryWait before it is refused: somewhat longer than others may stall. A long
	// response waits as long for each step. Both ask again each memoryPoll.
	memoryWait = 1500 * time.Millisecond
	memoryPoll = 50 * time.Millisecond
	// memoryLogInterval bounds the log lines on a lack of memory.
	memoryLogInterval = time.Second

	reasonMemory = "the host is short of memory"

	// headerOversize marks a request whose announced body is over the limit. Callers cannot set it.
	headerOversize = headerPrefix + "Oversize"
)

// newMemory returns the budget of the host's memory.
func newMemory(s Settings) *memory.Budget {
	mb := s.MemoryMB
	if mb == 0 {
		mb = defaultMemoryMB
	}
	return memory.NewBudget(int(budgetShare * (mb - programMB) * bytesPerMB))
}

// held is the memory that a request holds until its response is written.
type held struct {
	budget *memory.Budget
	call   int
	upload *memory.Upload
}

type heldKey struct{}

// Close returns the memory. The server calls it after the response, and when the connection fails.
func (h *held) Close() error {
	h.releaseBody()
	h.budget.Release(memory.Calls, h.call)
	h.call = 0
	return nil
}

func (h *held) releaseBody() {
	if h.upload != nil {
		h.upload.Release()
		h.upload = nil
	}
}

// maxBody returns the length of the longest body that a server reads.
func (g *Gateway) maxBody(server string) int {
	limit := maxCallBytes
	if bound := g.limits().MaxBodyBytes; server == callerServer && bound > 0 {
		limit = bound
	}
	return min(limit, g.memory.MaxBody())
}

// headerReceived returns a function that prepares the read of a request's body.
func (g *Gateway) headerReceived(server string) func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		h.Del(headerOversize)
		limit := g.maxBody(server)
		if h.ContentLength() > limit {
			h.Set(headerOversize, "1")
			h.SetContentLength(-1) // so that the server does not wait for the begin of the body
		}
		return fasthttp.RequestConfig{ReadTimeout: headerTimeout, MaxRequestBodySize: limit}
	}
}

// readBody reads the body of a request, within the budget of the host's memory. Otherwise it writes the response and
// returns false.
func (g *Gateway) readBody(server string, ctx *fasthttp.RequestCtx) bool {
	h := &held{budget: g.memory}
	ctx.SetUserValue(heldKey{}, h)
	stream := ctx.RequestBodyStream()
	if len(ctx.Request.Header.Peek(headerOversize)) > 0 {
		return g.refuseBody(server, ctx, fasthttp.ErrBodyTooLarge)
	}
	if !g.applyMemory(g.memory.ReserveCall(g.clock.Now(), callBytes)) {
		return g.refuseForMemory(server, ctx, "call", stream != nil)
	}
	h.call = callBytes
	if stream == nil {
		return true
	}
	r := bodyReader{gateway: g, ctx: ctx, from: stream, held: h, announced: ctx.Request.Header.ContentLength(), limit: g.maxBody(server), beganAt: g.clock.Now()}
	if r.kind = memory.Bodies; server == peerServer {
		r.kind = memory.Control
	}
	body, err := r.readAll()
	switch {
	case errors.Is(err, errMemory) || r.ended():
		return g.refuseForMemory(server, ctx, "body", true)
	case err != nil:
		return g.refuseBody(server, ctx, err)
	}
	ctx.Request.SetBodyRaw(body)
	if r.announced < 0 && len(body) == 0 {
		ctx.Request.Header.SetContentLength(0)
	}
	return true
}

// releaseBody returns the memory of the body of a call that has ended but for its response.
func releaseBody(ctx *fasthttp.RequestCtx) {
	if _, isStream := ctx.Response.BodyStream().(*relay); isStream {
		return // it may be resumed
	}
	if h, ok := ctx.UserValue(heldKey{}).(*held); ok && h.upload != nil {
		ctx.Request.SetBodyRaw(nil)
		h.releaseBody()
	}
}

// refuseBody responds to a request whose body could not be read, and closes the connection.
func (g *Gateway) refuseBody(server string, ctx *fasthttp.RequestCtx, err error) bool {
	g.rejectRequest(server, ctx, err)
	ctx.SetConnectionClose()
	return false
}

// refuseForMemory responds to a request for which there is no memory. If its body is unread, it closes the connection.
func (g *Gateway) refuseForMemory(server string, ctx *fasthttp.RequestCtx, what string, unread bool) bool {
	g.metrics.add("memory_refusals_total{server=\""+server+"\",of=\""+what+"\"}", 1)
	g.logMemory()
	g.writeHostReply(ctx, reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: reasonMemory, retryAfter: g.jitter(shortRetryAfter)})
	if server == peerServer {
		ctx.Response.Header.Set(headerArrivals, "0")
	}
	if unread {
		ctx.SetConnectionClose()
	}
	return false
}

// applyMemory ends the uploads of a decision, and returns whether it grants memory.
func (g *Gateway) applyMemory(d memory.Decision) bool {
	for _, u := range d.End {
		g.metrics.add("uploads_ended_total{reason=\""+u.Ended().String()+"\"}", 1)
	}
	if len(d.End) > 0 {
		g.logMemory()
	}
	return d.Apply()
}

// logMemory logs a lack of memory, once a memoryLogInterval at most.
func (g *Gateway) logMemory() {
	now := g.clock.Now().UnixNano()
	last := g.memoryLoggedAt.Load()
	if now-last < int64(memoryLogInterval) || !g.memoryLoggedAt.CompareAndSwap(last, now) {
		return
	}
	use := g.memory.Use()
	g.log.Info("Memory is short.", "Total", use.Total, "Connections", use.Bytes[memory.Connections], "Calls", use.Bytes[memory.Calls], "Bodies", use.Bytes[memory.Bodies],
		"Responses", use.Bytes[memory.Responses], "Control", use.Bytes[memory.Control], "Uploads", use.Uploads, "Ending", use.Ending)
}

// awaitResponseMemory waits for the memory of long responses, and ends a response that its caller does not read. It
// returns false once a response has waited for memoryWait.
func (g *Gateway) awaitResponseMemory(attempt int) bool {
	if attempt >= int(memoryWait/memoryPoll) {
		g.metrics.add("memory_refusals_total{server=\""+callerServer+"\",of=\"response\"}", 1)
		return false
	}
	g.logMemory()
	g.callers.EndUnread()
	<-g.clock.After(memoryPoll)
	return true
}

// writeMemory writes the metrics of the budget.
func (g *Gateway) writeMemory(w io.Writer) {
	use := g.memory.Use()
	line := func(name string, n int) { _, _ = io.WriteString(w, "sequoiarack_"+name+" "+strconv.Itoa(n)+"\n") }
	line("memory_budget_bytes", use.Total)
	for kind := memory.Connections; kind <= memory.Control; kind++ {
		line("memory_bytes{kind=\""+kind.String()+"\"}", use.Bytes[kind])
	}
	line("memory_bytes{kind=\"ending\"}", use.Ending)
	line("uploads_unfinished", use.Uploads)
}

// errMemory ends the read of a body for which there is no memory.
var errMemory = errors.New("no memory for the body")

// bodyReader reads one body. The first shortBodyBytes are part of the memory of the call; beyond, the body is an upload
// of the budget.
type bodyReader struct {
	gateway    *Gateway
	ctx        *fasthttp.RequestCtx
	from       io.Reader
	held       *held
	announced  int // -1 if the body is chunked
	limit      int
	kind       memory.Kind
	beganAt    time.Time
	buffer     []byte
	unreported int // bytes since the last progress of the upload
	waited     time.Duration
}

// ended reports whether the upload was told to end.
func (r *bodyReader) ended() bool {
	return r.held.upload != nil && r.held.upload.Ended() != memory.None
}

func (r *bodyReader) readAll() ([]byte, error) {
	if r.announced == 0 {
		return nil, nil
	}
	for {
		if len(r.buffer) == cap(r.buffer) {
			if !r.grow() {
				return nil, errMemory
			}
		}
		n, err := r.from.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		r.report(n)
		switch {
		case len(r.buffer) > r.limit:
			return nil, fasthttp.ErrBodyTooLarge
		case isEOF(err):
			return r.finish()
		case err != nil:
			return nil, err
		}
	}
}

// finish returns the body at the end of what the caller sent.
func (r *bodyReader) finish() ([]byte, error) {
	if r.announced >= 0 && len(r.buffer) < r.announced {
		return nil, io.ErrUnexpectedEOF
	}
	if r.held.upload != nil && !r.held.upload.Complete() {
		return nil, errMemory
	}
	return r.buffer, nil
}

// report records n bytes as progress of the upload.
func (r *bodyReader) report(n int) {
	r.unreported += n
	if r.held.upload != nil && r.unreported >= memory.ProgressBytes {
		r.unreported = 0
		r.held.upload.Progress(r.gateway.clock.Now())
	}
}

// reserve reserves n bytes for the upload. If there are none, it waits until others have ended, so that the sender is
// slowed down, and returns false after memoryWait in all.
func (r *bodyReader) reserve(n int) bool {
	for {
		if r.gateway.applyMemory(r.held.upload.Grow(r.gateway.clock.Now(), n)) {
			return true
		}
		if r.waited >= memoryWait || r.ended() {
			return false
		}
		r.waited += memoryPoll
		<-r.gateway.clock.After(memoryPoll)
	}
}

// grow doubles the buffer, up to the announced length or the limit and a byte that shows that the body exceeds it. It
// returns false if there is no memory.
func (r *bodyReader) grow() bool {
	most := r.limit + 1
	if r.announced >= 0 {
		most = r.announced
	}
	before, size := cap(r.buffer), min(max(firstBodyBytes, 2*cap(r.buffer)), most)
	if size > shortBodyBytes {
		if r.held.upload == nil {
			c := r.ctx.Conn()
			r.held.upload = r.gateway.memory.Begin(r.kind, r.beganAt, r.gateway.clock.Now(), func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
		}
		if !r.reserve(size) {
			return false
		}
	}
	grown := make([]byte, len(r.buffer), size)
	copy(grown, r.buffer)
	r.buffer = grown
	if before > shortBodyBytes {
		r.held.upload.Shrink(before)
	}
	return true
}
