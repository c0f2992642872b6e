package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	maxIdleTime      = 20 * time.Second
	defaultMaxIdle   = 64
	// maxRequestsPerConn bounds the IDs that a connection remembers.
	maxRequestsPerConn = 512
)

// Dialer opens connections. Tests use one that cuts links and adds latency.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps idle connections for reuse, by address. It is safe for concurrent use.
type Pool struct {
	dialer         Dialer
	maxIdle        int
	maxIdleTotal   int
	echoHeader     string // header that a response copies from its request
	onceHeader     string // header whose values each connection carries once
	numbered       bool   // each request gets a new value of echoHeader
	closeDelimited bool
	openTimeout    time.Duration // for a new connection, 0 for that of the dialer
	repeatAfter    time.Duration // see WithRepeat; 0 for never
	onRepeat       func()
	onMalformed    func(address string, err error) // nil for none
	peerOf         PeerFunc                        // nil for none

	sent atomic.Uint64 // requests, if numbered

	mu        sync.Mutex
	idle      map[string][]*conn // by address, the one used last at the end
	idleTotal int
	closed    bool
}

// Option changes a Pool under construction.
type Option func(*Pool)

// WithMaxIdle sets the maximum number of idle connections per address.
func WithMaxIdle(n int) Option { return func(p *Pool) { p.maxIdle = n } }

// WithMaxIdleTotal sets the maximum number of idle connections, 0 for no bound. Beyond it, the one used
// least recently is closed.
func WithMaxIdleTotal(n int) Option { return func(p *Pool) { p.maxIdleTotal = n } }

// WithEchoHeader sets a header that the peer copies from the request into its response.
// A response with another value belongs to an earlier exchange and is discarded. As a
// response may come twice, WithOnceHeader holds as well.
func WithEchoHeader(header string) Option {
	return func(p *Pool) { p.echoHeader, p.onceHeader = header, header }
}

// WithOnceHeader makes each connection carry each value of a header once, and one request without it, so
// that a second copy of a response cannot pass for the response to a repeat of its request.
func WithOnceHeader(header string) Option { return func(p *Pool) { p.onceHeader = header } }

// WithNumbers makes the pool number its requests in a header that the peer copies into its response. A
// response with another number belongs to another request and is discarded. One without a number is
// accepted, as peers may not know the header.
func WithNumbers(header string) Option {
	return func(p *Pool) { p.echoHeader, p.numbered = header, true }
}

// WithCloseDelimited accepts a body without a declared length as complete when the peer
// closes the connection. When the connection is reset, or was lost while the request was
// being written, the body counts as incomplete.
func WithCloseDelimited() Option { return func(p *Pool) { p.closeDelimited = true } }

// WithOnMalformed sets a function that is called for each response that fails with kind Malformed, and for each
// that is incomplete as its trailer is malformed.
func WithOnMalformed(f func(address string, err error)) Option {
	return func(p *Pool) { p.onMalformed = f }
}

// PeerFunc returns the ID of the peer that gave a response, empty if that is not known.
type PeerFunc func(request *fasthttp.RequestHeader, response *fasthttp.ResponseHeader) string

// WithPeer sets a function that identifies peers. See DoIf.
func WithPeer(f PeerFunc) Option { return func(p *Pool) { p.peerOf = f } }

// WithOpenTimeout bounds the time to open a connection.
func WithOpenTimeout(d time.Duration) Option { return func(p *Pool) { p.openTimeout = d } }

// NewPool returns a Pool that opens connections with dialer.
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
	used     bool          // by an earlier exchange
	idleTime time.Duration // maximum time between two exchanges
	carried  []requestID   // of the requests sent so far, in a pool with a once header
	peer     string        // ID of the peer that gave the last response, empty if not known
}

// requestID is the hash of the ID of a request, which the response repeats.
type requestID uint64

// idOf returns the ID of a request, or that of all requests without one.
func (p *Pool) idOf(request *fasthttp.Request) requestID {
	return requestID(xxhash.Sum64(request.Header.Peek(p.onceHeader)))
}

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// writeTracker records whether any byte was written to the connection.
type writeTracker struct {
	to    io.Writer
	wrote bool
}

func (w *writeTracker) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.wrote = w.wrote || n > 0
	return n, err
}

// Do sends the request to address and reads the header of the response. The caller
// must Close the response. When ctx ends, reads and writes on the connection fail at
// once, also while the body is being read. Errors are of kind Unsent or Unanswered.
func (p *Pool) Do(ctx context.Context, address string, request *fasthttp.Request) (*Response, error) {
	if p.repeatAfter > 0 {
		return p.doWithRepeat(ctx, address, request)
	}
	return p.DoIf(ctx, address, request, func(string) error { return nil })
}

// DoIf is like Do, but calls check once a connection is open, which may take long, with the ID of the peer
// that gave the last response on that connection, empty for a new one. If check fails, nothing is sent, and the
// error is of kind Withdrawn.
func (p *Pool) DoIf(ctx context.Context, address string, request *fasthttp.Request, check func(peer string) error) (*Response, error) {
	const op = "exchange"
	c, err := p.get(ctx, address, p.idOf(request))
	if err != nil {
		return nil, wrap(op, Unsent, err)
	}
	if err := check(c.peer); err != nil {
		p.put(c)
		return nil, wrap(op, Withdrawn, err)
	}
	return p.exchange(ctx, c, request)
}

// exchange sends the request on a connection and reads the header of the response.
func (p *Pool) exchange(ctx context.Context, c *conn, request *fasthttp.Request) (*Response, error) {
	const op = "exchange"
	if p.numbered {
		request.Header.Set(p.echoHeader, strconv.FormatUint(p.sent.Add(1), 16))
	}
	if p.onceHeader != "" {
		c.carried = append(c.carried, p.idOf(request))
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	kind, sendErr := send(c, request)
	if sendErr != nil && kind == Unsent {
		stop()
		_ = c.Close()
		return nil, wrap(op, kind, sendErr)
	}
	// A peer may respond and close the connection before it has read a long request, so
	// a response is read even after a failed write.
	response := &Response{pool: p, conn: c, stop: stop, noReuse: sendErr != nil, sentWhole: sendErr == nil, cancelled: ctx.Done()}
	if err := response.readMatchingHeader(request); err != nil {
		response.abandon()
		kind := Unanswered
		if cause, _ := failure.KindOf[Kind](err); cause == Malformed {
			kind = Malformed
			p.reportMalformed(c.address, err)
		}
		return nil, wrap(op, kind, errors.WithMessagef(err, "sent whole: %t", sendErr == nil))
	}
	return response, nil
}

func (p *Pool) reportMalformed(address string, err error) {
	if p.onMalformed != nil {
		p.onMalformed(address, err)
	}
}

// Limits on what a peer may send around a response. Each part is valid HTTP by itself,
// so without limits a faulty peer could keep a connection busy for ever.
const (
	maxStaleResponses   = 3        // responses to earlier exchanges after which an exchange fails
	maxStaleBodyBytes   = 64 << 10 // body of one response to an earlier exchange
	maxInterimResponses = 8        // 1xx responses before the final one
	maxTrailerLines     = 64
)

// readMatchingHeader reads response headers until one matches the request, and discards
// the responses to earlier exchanges before it.
func (r *Response) readMatchingHeader(request *fasthttp.Request) error {
	for range maxStaleResponses {
		if err := r.readHeader(request.Header.IsHead()); err != nil {
			return err
		}
		if r.pool.unidentified(request, &r.Header) {
			return errors.New("an answer names no request")
		}
		if r.pool.matches(request, &r.Header) {
			if r.pool.peerOf != nil {
				r.conn.peer = r.pool.peerOf(&request.Header, &r.Header)
			}
			if _, empty := r.body.(noBody); empty {
				r.finish()
			}
			return nil
		}
		r.noReuse = true
		if err := r.discardStale(); err != nil {
			return err
		}
	}
	return errors.New("the answers of other requests came")
}

// discardStale reads and discards the body of a response to an earlier request.
func (r *Response) discardStale() error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxStaleBodyBytes))
	if err == nil && n == maxStaleBodyBytes {
		return errors.New("the answer of another request is too long")
	}
	return err
}

// unidentified reports whether a response lacks the header of the request that it should echo. Such a
// response may be one to another request, and a refusal without the header no proof.
func (p *Pool) unidentified(request *fasthttp.Request, response *fasthttp.ResponseHeader) bool {
	return p.echoHeader != "" && !p.numbered && len(request.Header.Peek(p.echoHeader)) > 0 && len(response.Peek(p.echoHeader)) == 0
}

// matches reports whether the response header echoes the value of the request. A response without the
// header matches a request without it, and any request that the pool has numbered.
func (p *Pool) matches(request *fasthttp.Request, response *fasthttp.ResponseHeader) bool {
	if p.echoHeader == "" {
		return true
	}
	echoed := response.Peek(p.echoHeader)
	return len(echoed) == 0 || bytes.Equal(echoed, request.Header.Peek(p.echoHeader))
}

// send writes the request. On an error, the kind is Unsent if no byte was written.
func send(c *conn, request *fasthttp.Request) (Kind, error) {
	tracker := &writeTracker{to: c.Conn}
	w, _ := writerPool.Get().(*bufio.Writer)
	w.Reset(tracker)
	err := request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writerPool.Put(w)
	if err != nil && !tracker.wrote {
		return Unsent, err
	}
	return Unanswered, err
}

// get returns a reusable idle connection to address that has not carried the ID, or else
// dials a new one.
func (p *Pool) get(ctx context.Context, address string, id requestID) (*conn, error) {
	for {
		c := p.popIdle(address, id)
		if c == nil {
			break
		}
		if time.Since(c.lastUsed) < c.idleTime && reusable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// Open opens a connection to address and keeps it for reuse.
func (p *Pool) Open(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return wrap("open", Unsent, err)
	}
	p.put(c)
	return nil
}

// dial opens a new connection to address.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	if p.openTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.openTimeout)
		defer cancel()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes), idleTime: maxIdleTime}, nil
}

// popIdle takes the connection used last among the idle ones that have not carried the ID. It
// returns nil if there is none.
func (p *Pool) popIdle(address string, id requestID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.carried, id) {
			p.setIdle(address, slices.Delete(list, i, i+1))
			return c
		}
	}
	return nil
}

// setIdle replaces the idle connections of an address. The caller holds p.mu.
func (p *Pool) setIdle(address string, list []*conn) {
	p.idleTotal += len(list) - len(p.idle[address])
	if len(list) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = list
}

// Sweep closes the idle connections that have been idle for too long, and those to addresses that keep
// does not want. A nil keep wants all.
func (p *Pool) Sweep(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, list := range p.idle {
		wanted := keep == nil || keep(address)
		var rest []*conn
		for _, c := range list {
			if wanted && now.Sub(c.lastUsed) < c.idleTime {
				rest = append(rest, c)
			} else {
				_ = c.Close()
			}
		}
		p.setIdle(address, rest)
	}
}

// CloseOldest closes the idle connection that was used least recently. It reports whether there was one.
func (p *Pool) CloseOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeOldest()
}

func (p *Pool) closeOldest() bool {
	var oldest *conn
	for _, list := range p.idle {
		if oldest == nil || list[0].lastUsed.Before(oldest.lastUsed) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	_ = oldest.Close()
	p.setIdle(oldest.address, p.idle[oldest.address][1:])
	return true
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTotal
}

// put keeps the connection for reuse, or closes it if the pool is closed or full.
func (p *Pool) put(c *conn) {
	c.lastUsed, c.used = time.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= p.maxIdle {
		_ = c.Close()
		return
	}
	if p.maxIdleTotal > 0 && p.idleTotal >= p.maxIdleTotal {
		p.closeOldest()
	}
	p.setIdle(c.address, append(p.idle[c.address], c))
}

// Close closes all idle connections. Those in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle, p.idleTotal = map[string][]*conn{}, 0
}

// Response is a response whose header was read. The body is read with Read or ReadAll.
type Response struct {
	Header fasthttp.ResponseHeader

	pool    *Pool
	conn    *conn
	stop    func() bool // detaches the connection from the context of the exchange
	body    io.Reader
	state   bodyState
	noReuse bool // the connection is closed after the exchange
	// sentWhole is set if the whole request was written.
	sentWhole bool
	// cancelled is closed when the context of the exchange ends.
	cancelled <-chan struct{}
}

type bodyState int

const (
	bodyOpen   bodyState = iota
	bodyEnded            // read to its end
	bodyClosed           // closed before its end
)

// readHeader reads the next final response header and skips interim (1xx) responses.
func (r *Response) readHeader(head bool) error {
	for range maxInterimResponses {
		body, persists, err := readHead(r.conn.reader, &r.Header)
		if err != nil {
			return err
		}
		// No request asks for another protocol, and what follows such an answer is not HTTP.
		if r.Header.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return malformed("status", "%d without a request to switch", fasthttp.StatusSwitchingProtocols)
		}
		if r.Header.StatusCode() >= fasthttp.StatusOK {
			r.noReuse = r.noReuse || !persists
			r.body = r.bodyReader(head, body)
			return nil
		}
	}
	return errors.New("interim answers without end")
}

// bodyReader returns the reader of the body by the framing that the header declares.
func (r *Response) bodyReader(head bool, body framing) io.Reader {
	status := r.Header.StatusCode()
	switch {
	case head, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified, body.hasLength && body.length == 0:
		return noBody{}
	case body.hasLength:
		return &fixedLengthReader{from: r.conn.reader, remaining: body.length}
	case body.chunked:
		return &chunkedReader{from: r.conn.reader, chunks: httputil.NewChunkedReader(r.conn.reader)}
	default:
		r.noReuse = true
		// The system reports a reset once. If a write got the error, reads end as after an orderly close.
		return &closeDelimitedReader{from: r.conn.reader, conn: r.conn.Conn, closeEndsBody: r.pool.closeDelimited && r.sentWhole, cancelled: r.cancelled}
	}
}

// noBody is the reader of an empty body.
type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }

// fixedLengthReader reads a body with a Content-Length. It returns io.ErrUnexpectedEOF if
// the connection ends before the declared length.
type fixedLengthReader struct {
	from      io.Reader
	remaining int
}

func (f *fixedLengthReader) Read(b []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	if len(b) > f.remaining {
		b = b[:f.remaining]
	}
	n, err := f.from.Read(b)
	f.remaining -= n
	if err == io.EOF && f.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	if f.remaining == 0 {
		err = nil
	}
	return n, err
}

// chunkedReader reads a chunked body and its trailer, including the empty line at the
// end, so that the next read from the connection starts at the next response.
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
		line, lineErr := readLine(c.from)
		if errors.Is(lineErr, io.EOF) {
			return n, io.ErrUnexpectedEOF
		}
		if lineErr != nil {
			return n, lineErr
		}
		if len(line) == 0 {
			return n, io.EOF
		}
		if _, _, err := cutField(line); err != nil {
			return n, err
		}
	}
	return n, errors.New("a trailer without end")
}

// CloseDelimited reports whether the end of the connection ends the body.
func (r *Response) CloseDelimited() bool {
	_, ok := r.body.(*closeDelimitedReader)
	return ok
}

// LocalAddr returns the local address of the connection, which identifies it in tests and logs.
func (r *Response) LocalAddr() string { return r.conn.LocalAddr().String() }

// Status returns the status code.
func (r *Response) Status() int { return r.Header.StatusCode() }

// Get returns the value of a header, or an empty string if it is absent.
func (r *Response) Get(name string) string { return string(r.Header.Peek(name)) }

// Read reads from the body. It returns io.EOF only at the end of a complete body; a body
// that ends early fails with kind Incomplete.
func (r *Response) Read(b []byte) (int, error) {
	if r.state == bodyClosed {
		return 0, io.ErrClosedPipe
	}
	n, err := r.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		r.finish()
	case err != nil:
		r.abandon()
		if cause, _ := failure.KindOf[Kind](err); cause == Malformed {
			r.pool.reportMalformed(r.conn.address, err)
		}
		err = wrap("read body", Incomplete, err)
	}
	return n, err
}

// ReadAll reads a body of at most limit bytes and closes the response. A larger body
// fails with kind TooLarge.
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

// Discard reads and drops a body of at most limit bytes, and closes the response. A larger body fails
// with kind TooLarge.
func (r *Response) Discard(limit int) error {
	defer r.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(r, int64(limit)+1))
	if err == nil && n > int64(limit) {
		return wrap("discard body", TooLarge, nil)
	}
	return err
}

// Close closes the connection unless the body was read to its end. After the end the
// connection is already back in the pool or closed.
func (r *Response) Close() {
	if r.state == bodyOpen {
		r.abandon()
	}
}

// finish returns the connection to the pool after the end of the body. It closes the
// connection if it can't be reused: the context has ended, the peer announced to close,
// unread bytes follow the response, or it has carried maxRequestsPerConn requests.
func (r *Response) finish() {
	if r.state != bodyOpen {
		return
	}
	r.state = bodyEnded
	if !r.stop() || r.noReuse || r.conn.reader.Buffered() > 0 || len(r.conn.carried) >= maxRequestsPerConn {
		_ = r.conn.Close()
		return
	}
	if d, ok := keepAlive(r.Get("Keep-Alive")); ok {
		r.conn.idleTime = min(r.conn.idleTime, d)
	}
	r.pool.put(r.conn)
}

// keepAliveMargin is subtracted from the peer's keep-alive timeout, so that a request
// isn't sent while the peer closes the connection.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive parses the timeout parameter of a Keep-Alive header, in seconds, and returns
// it less keepAliveMargin.
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

// abandon closes the connection of a response whose body was not read to its end.
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
