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

// Outcome reports whether a target executed a request.
type Outcome = core.Outcome

// Outcomes of a request. Unknown means that the request may have been executed.
const (
	Unknown = core.Unknown
	NotRun  = core.NotRun
	Run     = core.Run
)

// Error reports a call that failed or was refused.
type Error struct {
	Op         string
	Status     int // HTTP status; zero if no host responded
	Reason     string
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration // zero if the host sent no Retry-After header
}

// Error returns the operation, the message, the reason and the outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s, %s)", e.Op, e.Message, e.Reason, e.Outcome)
}

const (
	maxAttempts      = 4
	defaultTimeout   = 10 * time.Minute
	hostListTTL      = 5 * time.Second
	hostListTimeout  = 2 * time.Second
	maxResponseBytes = 64 << 20
	streamBufferSize = 16 << 10
)

// Client sends calls to the hosts of a fleet. It is safe for concurrent use.
type Client struct {
	apiKey  string
	seeds   []string
	pool    *exchange.Pool
	timeout time.Duration

	mu    sync.Mutex
	lists map[string]hostList // by data class
}

// hostList is the list of the hosts to which calls of a data class may be sent.
type hostList struct {
	hosts     []string
	refreshed time.Time
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the time limit of each call, 10 minutes by default.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithDialer sets the dialer for connections to hosts.
func WithDialer(d exchange.Dialer) Option {
	return func(c *Client) { c.pool = exchange.NewPool(d) }
}

// New returns a Client that authenticates with a caller's key. It discovers
// the fleet through the given hosts, each an IP:port.
func New(key string, hosts []string, options ...Option) *Client {
	c := &Client{apiKey: key, seeds: hosts, lists: map[string]hostList{}, timeout: defaultTimeout}
	for _, option := range options {
		option(c)
	}
	if c.pool == nil {
		c.pool = exchange.NewPool(link.NewSystem(""))
	}
	return c
}

// Request describes a call.
type Request struct {
	Method string // POST if empty
	Path   string
	Body   []byte
	// Key is the idempotency key of a call that must not be executed twice. If it
	// is empty, the call carries no key.
	Key string
	// Resend marks a call whose key was sent before, by another client or by this
	// one with an Unknown outcome.
	Resend bool
	// DataClass is the data class of the request, if its workspace uses classes.
	DataClass string
	// Host, if set, is the only host that the call is sent to.
	Host string
	// ID is the request ID. If it is empty, the client sends none.
	ID string
}

// Response is the response to a call. Stream leaves Body empty.
type Response struct {
	Status   int
	Body     []byte
	Outcome  Outcome
	Host     string
	Region   string
	Target   string
	Replayed bool
}

// NewKey returns a new idempotency key, a UUID of version 7.
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

// IssueKey requests an idempotency key from a host, which alone can accept calls
// with it and needs no store for them. It also returns the name of the host that
// issued the key; calls with the key should go to that host (Request.Host).
func (c *Client) IssueKey(ctx context.Context, host string) (key, hostName string, err error) {
	response, err := c.Do(ctx, Request{Path: "/v1/keys", Host: host})
	if err != nil {
		return "", "", err
	}
	var body struct {
		Key string `json:"Key"`
	}
	if err := json.Unmarshal(response.Body, &body); err != nil {
		return "", "", errors.Wrap(err, "issued key")
	}
	return body.Key, response.Host, nil
}

// Do sends a call and reads the whole response. It returns an *Error if the
// call fails or a host refuses it.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	body, err := raw.ReadAll(maxResponseBytes)
	if err != nil {
		return Response{}, &Error{Op: r.Path, Reason: "AnswerCut", Message: err.Error(), Outcome: Unknown}
	}
	response := newResponse(raw)
	response.Body = body
	return response, nil
}

func newResponse(raw *exchange.Response) Response {
	outcome := core.ParseOutcome(raw.Get(core.HeaderOutcome))
	return Response{
		Status: raw.Status(), Outcome: outcome, Host: raw.Get(core.HeaderHost),
		Region: raw.Get(core.HeaderRegion), Target: raw.Get(core.HeaderTarget),
		Replayed: raw.Get("Sequoiarack-Replayed") != "",
	}
}

// Stream sends a call whose response is a stream of server-sent events, and
// passes the data of each event to onEvent. The error is nil only if the stream
// ended with its terminator, and onEvent returned no error.
func (c *Client) Stream(ctx context.Context, r Request, onEvent func(data []byte) error) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer response.Close()
	return newResponse(response), readEvents(r.Path, response, onEvent)
}

var (
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
	errorLine = []byte("event: error")
)

func readEvents(op string, response *exchange.Response, onEvent func(data []byte) error) error {
	reader := bufio.NewReaderSize(response, streamBufferSize)
	inErrorEvent := false
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return &Error{Op: op, Reason: "StreamCut", Message: "the stream ended without its terminator", Outcome: Unknown}
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case bytes.Equal(line, errorLine):
			inErrorEvent = true
		case !bytes.HasPrefix(line, dataField):
		case inErrorEvent:
			return parseError(op, 0, line[len(dataField):])
		case bytes.Equal(line[len(dataField):], doneData):
			_, _ = reader.ReadByte() // the blank line that ends the event
			return nil
		default:
			if err := onEvent(line[len(dataField):]); err != nil {
				return err
			}
		}
	}
}

// send tries up to maxAttempts hosts. It goes on to the next host only after a
// call that has not run and that another host may accept.
func (c *Client) send(ctx context.Context, r Request) (*exchange.Response, error) {
	hosts := c.candidates(ctx, r)
	var lastErr error
	for attempt, host := range hosts {
		if attempt == maxAttempts {
			break
		}
		response, err := c.sendTo(ctx, r, host)
		if err == nil {
			return response, nil
		}
		lastErr = err
		var failed *Error
		if !errors.As(err, &failed) || failed.Outcome != NotRun || !failed.tryOtherHost() {
			return nil, err
		}
	}
	if lastErr == nil {
		lastErr = &Error{Op: r.Path, Reason: "NoHost", Message: "no host is known in a region where the data may be", Outcome: c.unsentOutcome(r)}
	}
	return nil, lastErr
}

// tryOtherHost reports whether another host may accept the call.
func (e *Error) tryOtherHost() bool {
	switch core.Reason(e.Reason) {
	case core.ReasonLeaving, core.ReasonNotReady, core.ReasonWrongRegion, core.ReasonNoTarget, core.ReasonTargetRefused,
		core.ReasonStaleVersion, core.ReasonStoreDown, reasonUnreached:
		return true
	}
	return false
}

// reasonUnreached is the reason of a call that could not be sent to its host.
const reasonUnreached core.Reason = "HostNotReached"

func (c *Client) sendTo(ctx context.Context, r Request, host string) (*exchange.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.fillRequest(request, r, host)
	response, err := c.pool.Do(ctx, host, request)
	if err != nil {
		outcome, reason := Unknown, "NoAnswer"
		if kind, _ := failure.KindOf[exchange.Kind](err); kind == exchange.Unsent {
			outcome, reason = c.unsentOutcome(r), string(reasonUnreached)
		}
		return nil, &Error{Op: r.Path, Reason: reason, Message: err.Error(), Outcome: outcome}
	}
	if response.Status() < fasthttp.StatusBadRequest {
		return response, nil
	}
	retryAfter, _ := strconv.Atoi(response.Get(fasthttp.HeaderRetryAfter))
	outcome := core.ParseOutcome(response.Get(core.HeaderOutcome))
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, &Error{Op: r.Path, Reason: "AnswerCut", Message: err.Error(), Outcome: Unknown}
	}
	failed := parseError(r.Path, response.Status(), body)
	failed.Outcome = outcome
	failed.RetryAfter = time.Duration(retryAfter) * time.Second
	return nil, failed
}

// unsentOutcome returns the outcome of a request that was not sent. If it is a
// resend, the outcome is Unknown: an earlier request with the same key may have
// been executed.
func (c *Client) unsentOutcome(r Request) Outcome {
	if r.Resend {
		return Unknown
	}
	return NotRun
}

// parseError converts the body of an error response. A body without a Reason is
// taken for the response of a target.
func parseError(op string, status int, body []byte) *Error {
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

func (c *Client) fillRequest(request *fasthttp.Request, r Request, host string) {
	method := r.Method
	if method == "" {
		method = fasthttp.MethodPost
	}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + host + r.Path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.apiKey)
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

// Hosts returns the caller addresses of the hosts in regions where data of the caller's workspace may be, nearest first.
// It fetches the list again after hostListTTL, and returns the old one if no host responds.
func (c *Client) Hosts(ctx context.Context) []string { return c.hostsFor(ctx, "") }

// hostsFor is Hosts for data of a class.
func (c *Client) hostsFor(ctx context.Context, dataClass string) []string {
	c.mu.Lock()
	list := c.lists[dataClass]
	c.mu.Unlock()
	if time.Since(list.refreshed) < hostListTTL {
		return list.hosts
	}
	for _, host := range append(append([]string(nil), list.hosts...), c.seeds...) {
		if fetched, err := c.fetchHosts(ctx, host, dataClass); err == nil && len(fetched) > 0 {
			c.mu.Lock()
			c.lists[dataClass] = hostList{hosts: fetched, refreshed: time.Now()}
			c.mu.Unlock()
			return fetched
		}
	}
	return list.hosts
}

// candidates returns the hosts to which a call may be sent. The hosts that were given to New are asked for them, but get
// no call that they do not list, as they may be in regions where its data may not be.
func (c *Client) candidates(ctx context.Context, r Request) []string {
	if r.Host != "" {
		return []string{r.Host}
	}
	return c.hostsFor(ctx, r.DataClass)
}

func (c *Client) fetchHosts(ctx context.Context, host, dataClass string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + host + "/v1/hosts")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.apiKey)
	if dataClass != "" {
		request.Header.Set(core.HeaderDataClass, dataClass)
	}
	response, err := c.pool.Do(ctx, host, request)
	if err != nil {
		return nil, err
	}
	body, err := response.ReadAll(maxResponseBytes)
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
	addresses := make([]string, len(parsed.Hosts))
	for i, h := range parsed.Hosts {
		addresses[i] = h.Address
	}
	return addresses, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }
