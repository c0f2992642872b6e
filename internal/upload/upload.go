// Package upload reads the bodies of requests within the memory of a process. A request holds its memory until its
// response has been written. Package memory decides what is granted, and which uploads end when memory is short.
//
// A server that uses it must stream bodies and call the function that Reader.HeaderReceived returns. Its handlers call
// Reserve, look at the head of the request, and then call Read if they serve the request.
package upload

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/memory"
)

const (
	// ConnectionBytes is the memory of an open connection: its read buffer and its stack.
	ConnectionBytes = 32 << 10
	// callBytes is that of a running call: a short body, the buffers of the response and of the connection to the
	// target, and stacks.
	callBytes = 64 << 10
	// shortBodyBytes bounds the bodies that are part of callBytes, and firstBodyBytes is the first buffer of a body.
	shortBodyBytes = 16 << 10
	firstBodyBytes = 2 << 10
	// MemoryWait is how long an upload waits for memory before it is refused: somewhat longer than others may stall.
	MemoryWait = 1500 * time.Millisecond
	// MemoryPoll is the interval at which it asks again.
	MemoryPoll = 50 * time.Millisecond

	// headerOversize marks a request whose announced body is over the limit. Callers cannot set it.
	headerOversize = "Gateway-Oversize"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds.
const (
	TooLong    Kind = iota // the body is over the limit
	NoMemory               // there is no memory for the call or its body
	Unreadable             // the body could not be read
)

// String returns the kind as it appears in error messages.
func (k Kind) String() string {
	return [...]string{"body too long", "no memory", "unreadable body"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

// Reader reads the bodies of requests. It is safe for concurrent use.
type Reader struct {
	budget  *memory.Budget
	clock   clock.Clock
	onEnded func(memory.Reason)
}

// Option changes a Reader under construction.
type Option func(*Reader)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(r *Reader) { r.clock = c } }

// WithOnEnded sets a function that is called for each upload that had to make room for others.
func WithOnEnded(f func(memory.Reason)) Option { return func(r *Reader) { r.onEnded = f } }

// NewReader returns a Reader that draws from a budget.
func NewReader(b *memory.Budget, options ...Option) *Reader {
	r := &Reader{budget: b, clock: clock.System{}, onEnded: func(memory.Reason) {}}
	for _, option := range options {
		option(r)
	}
	return r
}

// HeaderReceived returns the function that a server calls when it has read the head of a request. limit returns the
// length of the longest body in bytes; readTimeout bounds the time for a body.
func (r *Reader) HeaderReceived(limit func() int, readTimeout time.Duration) func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
		h.Del(headerOversize)
		longest := min(limit(), r.budget.MaxBody())
		if h.ContentLength() > longest {
			h.Set(headerOversize, "1")
			h.SetContentLength(-1) // so that the server does not wait for the begin of the body
		}
		return fasthttp.RequestConfig{ReadTimeout: readTimeout, MaxRequestBodySize: longest}
	}
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

// Reserve reserves the memory of a call, before its body is read. It fails with TooLong if the announced body is over the
// limit, and with NoMemory.
func (r *Reader) Reserve(ctx *fasthttp.RequestCtx) error {
	const op = "reserve memory for a call"
	h := &held{budget: r.budget}
	ctx.SetUserValue(heldKey{}, h)
	if len(ctx.Request.Header.Peek(headerOversize)) > 0 {
		return failure.Wrap(op, TooLong, fasthttp.ErrBodyTooLarge)
	}
	if !r.apply(r.budget.ReserveCall(r.clock.Now(), callBytes)) {
		return failure.New(op, NoMemory)
	}
	h.call = callBytes
	return nil
}

// Read reads the body of a request for which memory has been reserved, of at most limit bytes. The body is that of the
// request afterwards; it must not be used after the response or ReleaseBody.
func (r *Reader) Read(ctx *fasthttp.RequestCtx, o memory.Origin, limit int) error {
	const op = "read body"
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	h, _ := ctx.UserValue(heldKey{}).(*held)
	b := bodyReader{reader: r, ctx: ctx, from: stream, held: h, origin: o, announced: ctx.Request.Header.ContentLength(), limit: min(limit, r.budget.MaxBody())}
	body, err := b.readAll()
	switch {
	case errors.Is(err, errMemory) || b.ended():
		return failure.New(op, NoMemory)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return failure.Wrap(op, TooLong, err)
	case err != nil:
		return failure.Wrap(op, Unreadable, err)
	}
	ctx.Request.SetBodyRaw(body)
	if b.announced < 0 && len(body) == 0 {
		ctx.Request.Header.SetContentLength(0)
	}
	return nil
}

// Refuse returns the memory of a request that is refused, and lets the client read the response although its body is
// unread.
func Refuse(ctx *fasthttp.RequestCtx) {
	if ctx.Request.IsBodyStream() {
		link.Linger(ctx.Conn())
	}
	if h, ok := ctx.UserValue(heldKey{}).(*held); ok {
		_ = h.Close()
	}
}

// ReleaseBody returns the memory of the body of a call that has ended but for its response.
func ReleaseBody(ctx *fasthttp.RequestCtx) {
	if h, ok := ctx.UserValue(heldKey{}).(*held); ok && h.upload != nil {
		ctx.Request.SetBodyRaw(nil)
		h.releaseBody()
	}
}

// apply ends the uploads of a decision, and returns whether it grants memory.
func (r *Reader) apply(d memory.Decision) bool {
	for _, u := range d.End {
		r.onEnded(u.Ended())
	}
	return d.Apply()
}

// errMemory ends the read of a body for which there is no memory.
var errMemory = errors.New("no memory for the body")

// bodyReader reads one body. The first shortBodyBytes are part of the memory of the call; beyond, the body is an upload
// of the budget.
type bodyReader struct {
	reader     *Reader
	ctx        *fasthttp.RequestCtx
	from       io.Reader
	held       *held
	origin     memory.Origin
	announced  int // -1 if the body is chunked
	limit      int
	buffer     []byte
	unreported int // bytes since the last progress of the upload
	waited     time.Duration
}

// ended reports whether the upload was told to end.
func (b *bodyReader) ended() bool {
	return b.held.upload != nil && b.held.upload.Ended() != memory.None
}

func (b *bodyReader) readAll() ([]byte, error) {
	if b.announced == 0 {
		return nil, nil
	}
	if b.announced > b.limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	for {
		if len(b.buffer) == cap(b.buffer) {
			if !b.grow() {
				return nil, errMemory
			}
		}
		n, err := b.from.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		b.report(n)
		switch {
		case len(b.buffer) > b.limit:
			return nil, fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return b.finish()
		case err != nil:
			return nil, err
		}
	}
}

// finish returns the body at the end of what the caller sent.
func (b *bodyReader) finish() ([]byte, error) {
	if b.announced >= 0 && len(b.buffer) < b.announced {
		return nil, io.ErrUnexpectedEOF
	}
	if b.held.upload != nil && !b.held.upload.Complete() {
		return nil, errMemory
	}
	return b.buffer, nil
}

// report records n bytes as progress of the upload.
func (b *bodyReader) report(n int) {
	b.unreported += n
	if b.held.upload != nil && b.unreported >= memory.ProgressBytes {
		b.unreported = 0
		b.held.upload.Progress(b.reader.clock.Now())
	}
}

// reserve reserves n bytes for the upload. If there are none, it waits until others have ended, so that the sender is
// slowed down, and returns false after MemoryWait in all.
func (b *bodyReader) reserve(n int) bool {
	for {
		if b.reader.apply(b.held.upload.Grow(b.reader.clock.Now(), n)) {
			return true
		}
		if b.waited >= MemoryWait || b.ended() {
			return false
		}
		b.waited += MemoryPoll
		<-b.reader.clock.After(MemoryPoll)
	}
}

// grow doubles the buffer, up to the announced length or the limit and a byte that shows that the body exceeds it. It
// returns false if there is no memory.
func (b *bodyReader) grow() bool {
	most := b.limit + 1
	if b.announced >= 0 {
		most = b.announced
	}
	before, size := cap(b.buffer), min(max(firstBodyBytes, 2*cap(b.buffer)), most)
	if size > shortBodyBytes {
		if b.held.upload == nil {
			c := b.ctx.Conn()
			b.held.upload = b.reader.budget.Begin(b.origin, b.reader.clock.Now(), func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
		}
		if !b.reserve(size) {
			return false
		}
	}
	grown := make([]byte, len(b.buffer), size)
	copy(grown, b.buffer)
	b.buffer = grown
	if before > shortBodyBytes {
		b.held.upload.Shrink(before)
	}
	return true
}
