package client

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

// Outcome tells whether a request was run.
type Outcome = core.Outcome

// The outcomes.
const (
	Unknown = core.Unknown
	NotRun  = core.NotRun
	Run     = core.Run
)

// Error is a call that brought no answer of a target.
type Error struct {
	Op         string
	Status     int // zero when no host answered
	Reason     string
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // zero when the host gave none
}

// Error gives the operation, the outcome and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s, %s)", e.Op, e.Message, e.Reason, e.Outcome)
}

const (
	maxTries         = 4
	defaultTimeout   = 10 * time.Minute
	refreshAfter     = 5 * time.Second
	refreshTimeout   = 2 * time.Second
	maxAnswerBytes   = 64 << 20
	streamBufferSize = 16 << 10
)

// Client makes calls. It is safe for concurrent use.
type Client struct {
	key     string
	seeds   []string
	pool    *exchange.Pool
	timeout time.Duration

	mu        sync.Mutex
	hosts     []string
	refreshed time.Time
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithDialer sets how connections are opened.
func WithDialer(d exchange.Dialer) Option {
	return func(c *Client) { c.pool = exchange.NewPool(d) }
}

// New returns a Client with a caller's key, that starts with the given hosts,
// each an IP:port.
func New(key string, hosts []string, options ...Option) *Client {
	c := &Client{key: key, seeds: hosts, hosts: hosts, timeout: defaultTimeout}
	for _, option := range options {
		option(c)
	}
	if c.pool == nil {
		c.pool = exchange.NewPool(link.NewSystem(""))
	}
	return c
}

// Request is a call.
type Request struct {
	Method string // POST if empty
	Path   string
	Body   []byte
	// Key is the idempotency key of a call that may not be repeated. An empty
	// one makes the call without a key.
	Key string
	// Resend marks a call whose key was sent before by someone else, or by this
	// client with an Unknown outcome.
	Resend bool
	// DataClass names the class of the data, if the workspace has classes.
	DataClass string
	// Host is used alone, in place of those that the client knows.
	Host string
	// ID identifies the request; the client makes one if it is empty.
	ID string
}

// Response is a whole answer.
type Response struct {
	Status   int
	Body     []byte
	Outcome  Outcome
	Host     string
	Region   string
	Target   string
	Replayed bool
}

// NewKey returns an idempotency key, a UUID of version 7.
func NewKey() string {
	const versionByte, variantByte = 6, 8
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	ms := time.Now().UnixMilli()
	for i := range 6 {
		raw[i] = byte(ms >> (8 * (5 - i)))
	}
	raw[versionByte] = raw[versionByte]&0x0f | 0x70
	raw[variantByte] = raw[variantByte]&0x3f | 0x80
	text := hex.EncodeToString(raw[:])
	return strings.Join([]string{text[:8], text[8:12], text[12:16], text[16:20], text[20:]}, "-")
}

// IssueKey asks a host for a key that it alone can spend, which needs no
// store. It returns the host, which a Request should name.
func (c *Client) IssueKey(ctx context.Context, host string) (key, at string, err error) {
	answer, err := c.Do(ctx, Request{Path: "/v1/keys", Host: host})
	if err != nil {
		return "", "", err
	}
	var body struct {
		Key string `json:"Key"`
	}
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		return "", "", errors.Wrap(err, "issued key")
	}
	return body.Key, answer.Host, nil
}

// Do makes a call and reads its whole answer.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	body, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return Response{}, &Error{Op: r.Path, Reason: "AnswerCut", Message: err.Error(), Outcome: Unknown}
	}
	answer := answerOf(response)
	answer.Body = body
	return answer, nil
}

func answerOf(response *exchange.Response) Response {
	outcome := core.ParseOutcome(response.Get(core.HeaderOutcome))
	return Response{
		Status: response.Status(), Outcome: outcome, Host: response.Get(core.HeaderHost),
		Region: response.Get(core.HeaderRegion), Target: response.Get(core.HeaderTarget),
		Replayed: response.Get("Sequoiarack-Replayed") != "",
	}
}

// Stream makes a call whose answer is a stream, and hands each event's data to
// each. It returns nil only when the stream was whole.
func (c *Client) Stream(ctx context.Context, r Request, each func(data []byte) error) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer response.Close()
	return answerOf(response), readEvents(r.Path, response, each)
}

var (
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
	errorLine = []byte("event: error")
)

func readEvents(op string, response *exchange.Response, each func(data []byte) error) error {
	reader := bufio.NewReaderSize(response, streamBufferSize)
	failing := false
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return &Error{Op: op, Reason: "StreamCut", Message: "the stream ended without its terminator", Outcome: Unknown}
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case bytes.Equal(line, errorLine):
			failing = true
		case !bytes.HasPrefix(line, dataField):
		case failing:
			return errorOf(op, 0, line[len(dataField):])
		case bytes.Equal(line[len(dataField):], doneData):
			_, _ = reader.ReadByte() // the blank line
			return nil
		default:
			if err := each(line[len(dataField):]); err != nil {
				return err
			}
		}
	}
}

// send tries hosts until one answers with anything but NotRun.
func (c *Client) send(ctx context.Context, r Request) (*exchange.Response, error) {
	hosts := c.candidates(ctx, r)
	var last error
	for n, host := range hosts {
		if n == maxTries {
			break
		}
		response, err := c.sendTo(ctx, r, host)
		if err == nil {
			return response, nil
		}
		last = err
		var failed *Error
		if !errors.As(err, &failed) || failed.Outcome != NotRun || !failed.elsewhere() {
			return nil, err
		}
	}
	if last == nil {
		last = &Error{Op: r.Path, Reason: "NoHost", Message: "no host is known", Outcome: NotRun}
	}
	return nil, last
}

// elsewhere reports whether another host may do better.
func (e *Error) elsewhere() bool {
	switch core.Reason(e.Reason) {
	case core.ReasonLeaving, core.ReasonNotReady, core.ReasonWrongRegion, core.ReasonNoTarget, core.ReasonTargetRefused,
		core.ReasonStaleVersion, core.ReasonStoreDown, reasonUnreached:
		return true
	}
	return false
}

const reasonUnreached core.Reason = "HostNotReached"

func (c *Client) sendTo(ctx context.Context, r Request, host string) (*exchange.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.fill(request, r, host)
	response, err := c.pool.Do(ctx, host, request)
	if err != nil {
		outcome, reason := Unknown, "NoAnswer"
		if kind, _ := failure.KindOf[exchange.Kind](err); kind == exchange.Unsent {
			outcome, reason = c.unsent(r), string(reasonUnreached)
		}
		return nil, &Error{Op: r.Path, Reason: reason, Message: err.Error(), Outcome: outcome}
	}
	if response.Status() < fasthttp.StatusBadRequest {
		return response, nil
	}
	retryAfter, _ := strconv.Atoi(response.Get(fasthttp.HeaderRetryAfter))
	outcome := core.ParseOutcome(response.Get(core.HeaderOutcome))
	body, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return nil, &Error{Op: r.Path, Reason: "AnswerCut", Message: err.Error(), Outcome: Unknown}
	}
	failed := errorOf(r.Path, response.Status(), body)
	failed.Outcome = outcome
	failed.RetryAfter = time.Duration(retryAfter) * time.Second
	return nil, failed
}

// unsent is the outcome of a send that did not leave. An earlier send of the
// same key may have been run.
func (c *Client) unsent(r Request) Outcome {
	if r.Resend {
		return Unknown
	}
	return NotRun
}

func errorOf(op string, status int, body []byte) *Error {
	var parsed struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
		Reason  string  `json:"Reason"`
		Outcome Outcome `json:"Outcome"`
	}
	if json.Unmarshal(body, &parsed) != nil || parsed.Reason == "" {
		parsed.Reason, parsed.Error.Message = "TargetAnswer", string(body)
	}
	return &Error{Op: op, Status: status, Reason: parsed.Reason, Message: parsed.Error.Message, Outcome: parsed.Outcome}
}

func (c *Client) fill(request *fasthttp.Request, r Request, host string) {
	method := r.Method
	if method == "" {
		method = fasthttp.MethodPost
	}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + host + r.Path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if r.Body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(r.Body)
	}
	if r.ID != "" {
		request.Header.Set(core.HeaderRequestID, r.ID)
	}
	if r.DataClass != "" {
		request.Header.Set(core.HeaderDataClass, r.DataClass)
	}
	if r.Key != "" {
		request.Header.Set(core.HeaderIdempotencyKey, r.Key)
		if !r.Resend {
			request.Header.Set("Sequoiarack-First-Send", "1")
		}
	}
}

// Hosts returns the hosts to use, nearest first, asking for them when the last
// answer is old.
func (c *Client) Hosts(ctx context.Context) []string {
	c.mu.Lock()
	hosts, fresh := c.hosts, time.Since(c.refreshed) < refreshAfter
	c.mu.Unlock()
	if fresh {
		return hosts
	}
	for _, host := range append(append([]string(nil), hosts...), c.seeds...) {
		if found, err := c.askHosts(ctx, host); err == nil && len(found) > 0 {
			c.mu.Lock()
			c.hosts, c.refreshed = found, time.Now()
			c.mu.Unlock()
			return found
		}
	}
	return hosts
}

func (c *Client) candidates(ctx context.Context, r Request) []string {
	if r.Host != "" {
		return []string{r.Host}
	}
	return c.Hosts(ctx)
}

func (c *Client) askHosts(ctx context.Context, host string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + host + "/v1/hosts")
	response, err := c.pool.Do(ctx, host, request)
	if err != nil {
		return nil, err
	}
	body, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	var parsed struct {
		Hosts []struct {
			Address string `json:"Address"`
		} `json:"Hosts"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, errors.Wrap(err, "hosts")
	}
	out := make([]string, len(parsed.Hosts))
	for i, h := range parsed.Hosts {
		out[i] = h.Address
	}
	return out, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }
