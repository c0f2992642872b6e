package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	maxIdleTime      = 20 * time.Second
	defaultMaxIdle   = 64
)

// Dialer opens connections. Tests give one that cuts and delays links.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer     Dialer
	maxIdle    int
	echo       string // header that an answer repeats from its request
	endByClose bool

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithMaxIdle sets how many idle connections are kept for each address.
func WithMaxIdle(n int) Option { return func(p *Pool) { p.maxIdle = n } }

// WithEchoHeader names a header whose value an answer repeats from its request. An
// answer with another value belongs to an earlier exchange and is passed over.
func WithEchoHeader(header string) Option { return func(p *Pool) { p.echo = header } }

// WithCloseDelimited takes a body without length for whole when its connection is
// closed in order. One that is reset is never whole.
func WithCloseDelimited() Option { return func(p *Pool) { p.endByClose = true } }

// NewPool returns a Pool that opens its connections with dialer.
func NewPool(dialer Dialer, options ...Option) *Pool {
	p := &Pool{dialer: dialer, maxIdle: defaultMaxIdle, idle: map[string][]*conn{}}
	for _, option := range options {
		option(p)
	}
	return p
}

type conn struct {
	net.Conn
	address  string
	reader   *bufio.Reader
	lastUsed time.Time
	idleTime time.Duration // how long the connection may stay idle
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// countingWriter remembers whether any byte was handed to the connection.
type countingWriter struct {
	to    io.Writer
	wrote bool
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.wrote = w.wrote || n > 0
	return n, err
}

// Do sends the request to address and reads the answer's header. The caller
// must Close the answer. When ctx ends the connection is torn down, also while
// the body is being read.
func (p *Pool) Do(ctx context.Context, address string, request *fasthttp.Request) (*Response, error) {
	const op = "exchange"
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, wrap(op, Unsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	kind, sendErr := send(c, request)
	if sendErr != nil && kind == Unsent {
		stop()
		_ = c.Close()
		return nil, wrap(op, kind, sendErr)
	}
	// A peer may answer and close before it has read a long request.
	response := &Response{pool: p, conn: c, stop: stop, spent: sendErr != nil}
	if err := response.readOwn(request); err != nil {
		response.abandon()
		return nil, wrap(op, Unanswered, errors.WithMessagef(err, "sent whole: %t", sendErr == nil))
	}
	return response, nil
}

// What a peer may send before and after an answer. A peer in trouble may go on for
// ever, and each step of it on its own is within the protocol.
const (
	maxForeign      = 3        // answers of earlier exchanges that are passed over
	maxForeignBytes = 64 << 10 // of the body of one of them
	maxInterim      = 8        // answers with a status below 200
	maxTrailerLines = 64
)

// readOwn reads headers up to the answer of the request.
func (r *Response) readOwn(request *fasthttp.Request) error {
	for range maxForeign {
		if err := r.readHeader(request.Header.IsHead()); err != nil {
			return err
		}
		if r.pool.belongs(request, &r.Header) {
			if _, empty := r.raw.(eof); empty {
				r.finish()
			}
			return nil
		}
		r.spent = true
		if err := r.passOver(); err != nil {
			return err
		}
	}
	return errors.New("the answers of other requests came")
}

// passOver reads the body of an answer to an earlier request.
func (r *Response) passOver() error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.raw, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		return errors.New("the answer of another request is too long")
	}
	return err
}

func (p *Pool) belongs(request *fasthttp.Request, answer *fasthttp.ResponseHeader) bool {
	if p.echo == "" {
		return true
	}
	echoed := answer.Peek(p.echo)
	return len(echoed) == 0 || bytes.Equal(echoed, request.Header.Peek(p.echo))
}

func send(c *conn, request *fasthttp.Request) (Kind, error) {
	counter := &countingWriter{to: c.Conn}
	w, _ := writers.Get().(*bufio.Writer)
	w.Reset(counter)
	err := request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	if err != nil && !counter.wrote {
		return Unsent, err
	}
	return Unanswered, err
}

func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Since(c.lastUsed) < c.idleTime && reusable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes), idleTime: maxIdleTime}, nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Close closes all idle connections. Those in use are closed as they end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}

// Response is an answer whose body is still to be read.
type Response struct {
	Header fasthttp.ResponseHeader

	pool  *Pool
	conn  *conn
	stop  func() bool
	raw   io.Reader
	state bodyState
	spent bool // the connection is not used again
}

type bodyState int

const (
	bodyOpen bodyState = iota
	bodyEnded
	bodyClosed
)

func (r *Response) readHeader(head bool) error {
	for range maxInterim {
		if err := r.Header.Read(r.conn.reader); err != nil {
			return err
		}
		if r.Header.StatusCode() >= fasthttp.StatusOK {
			r.raw = r.bodyReader(head)
			return nil
		}
	}
	return errors.New("interim answers without end")
}

func (r *Response) bodyReader(head bool) io.Reader {
	length := r.Header.ContentLength()
	status := r.Header.StatusCode()
	switch {
	case head, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified, length == 0:
		return eof{}
	case length > 0:
		return &exactReader{from: r.conn.reader, left: length}
	case length == lengthChunked:
		return &chunkedReader{from: r.conn.reader, chunks: httputil.NewChunkedReader(r.conn.reader)}
	default:
		r.spent = true
		return &untilClose{from: r.conn.reader, whole: r.pool.endByClose}
	}
}

// lengthChunked is what fasthttp reports as the length of a chunked body.
const lengthChunked = -1

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// exactReader fails when the body is shorter than announced.
type exactReader struct {
	from io.Reader
	left int
}

func (e *exactReader) Read(b []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	if len(b) > e.left {
		b = b[:e.left]
	}
	n, err := e.from.Read(b)
	e.left -= n
	if err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if e.left == 0 {
		err = nil
	}
	return n, err
}

// chunkedReader also consumes the line that ends the trailer, so that the
// connection stands at the start of the next answer.
type chunkedReader struct {
	from   *bufio.Reader
	chunks io.Reader
}

func (c *chunkedReader) Read(b []byte) (int, error) {
	n, err := c.chunks.Read(b)
	if err != io.EOF {
		return n, err
	}
	for range maxTrailerLines {
		line, lineErr := c.from.ReadSlice('\n')
		if lineErr != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= len("\r\n") {
			return n, io.EOF
		}
	}
	return n, errors.New("a trailer without end")
}

// untilClose reads a body without length. Unless whole is set, its end cannot be
// told from a cut.
type untilClose struct {
	from  io.Reader
	whole bool
}

func (u *untilClose) Read(b []byte) (int, error) {
	n, err := u.from.Read(b)
	if err == io.EOF && !u.whole {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Status returns the answer's status code.
func (r *Response) Status() int { return r.Header.StatusCode() }

// Get returns the value of a header, empty when absent.
func (r *Response) Get(name string) string { return string(r.Header.Peek(name)) }

// Read reads from the body. It returns io.EOF only after a body that was whole.
func (r *Response) Read(b []byte) (int, error) {
	if r.state == bodyClosed {
		return 0, io.ErrClosedPipe
	}
	n, err := r.raw.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		r.finish()
	case err != nil:
		r.abandon()
		err = wrap("read body", Incomplete, err)
	}
	return n, err
}

// ReadAll reads a body of at most limit bytes and closes the answer.
func (r *Response) ReadAll(limit int) ([]byte, error) {
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, wrap("read body", TooLarge, nil)
	}
	return body, nil
}

// Close gives the connection back when the answer was read whole, and closes
// it otherwise.
func (r *Response) Close() {
	if r.state == bodyOpen {
		r.abandon()
	}
}

func (r *Response) finish() {
	if r.state != bodyOpen {
		return
	}
	r.state = bodyEnded
	if !r.stop() || r.spent || r.Header.ConnectionClose() || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	if d, ok := keepAlive(r.Get("Keep-Alive")); ok {
		r.conn.idleTime = min(r.conn.idleTime, d)
	}
	r.pool.put(r.conn)
}

// keepAliveMargin is taken off the time that a peer keeps an idle connection, so
// that a request does not meet the close.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive reads the timeout parameter of a Keep-Alive header, in seconds.
func keepAlive(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || seconds < 0 {
			return 0, false
		}
		return max(0, time.Duration(seconds)*time.Second-keepAliveMargin), true
	}
	return 0, false
}

func (r *Response) abandon() {
	if r.state != bodyOpen {
		return
	}
	r.state = bodyClosed
	r.stop()
	_ = r.conn.Close()
}

func wrap(op string, kind Kind, cause error) error {
	return &Error{Op: op, Kind: kind, Cause: cause}
}
