package attempt

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/placement"
)

// Kind classifies the failure of an attempt that returned no response.
type Kind int

// The kinds of failure.
const (
	// Unreached means that no byte of the request was sent.
	Unreached Kind = iota
	// Refused means that the target itself refused the call, so it was not run.
	Refused
	// Leaving means that the target refused the call because it is being taken out
	// of service.
	Leaving
	// Lost means that the target or the connection to it failed after at least one byte
	// of the request was sent.
	Lost
	// Mismatched means that the response doesn't echo the call's request ID, so that it
	// belongs to another call.
	Mismatched
	// Cancelled means that the context ended before the response was complete.
	Cancelled
	// TooLarge means that the response body exceeds the limit.
	TooLarge
)

// String returns the text of the kind in error messages, which callers receive.
func (k Kind) String() string {
	return [...]string{
		"target not reached", "target refused", "target is leaving", "target lost",
		"answer of another call", "cancelled", "answer too large",
	}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

// Outcome returns whether a call was run if its attempt failed with the kind.
func (k Kind) Outcome() core.Outcome {
	switch k {
	case Unreached, Refused, Leaving:
		return core.NotRun
	default:
		return core.Unknown
	}
}

// Call is the request that is sent to a target or to a peer host.
type Call struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	RequestID      string
	IdempotencyKey string
	Priority       int
	Passed         core.Hops
	// Headers are set after those of the fields above, and override them.
	Headers []Header
	// NoResume disables the resumption of an interrupted stream. It is set for a call to
	// a peer, which would run a resumed call again.
	NoResume bool
}

// Header is one header of a call.
type Header struct{ Name, Value string }

// Response is a response whose body was read completely.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Load        placement.Load
	HasLoad     bool
	RetryAfter  string
	// PeerOutcome is the outcome in the response header of a peer. It is valid if
	// FromPeer is set.
	PeerOutcome core.Outcome
	FromPeer    bool
	// KeyChecked is set if the peer had looked up the call's idempotency key.
	KeyChecked bool

	memory exchange.Body
}

// Release returns the memory of the body to the budget of the client. Body must not be used afterwards. It may be called
// more than once.
func (r *Response) Release() { r.memory.Release() }

// Outcome returns whether the call was run: the outcome that a peer reported, or else
// core.Run. A server error (5xx) of a target gives core.Unknown, since the target may
// have failed before, during or after the run.
func (r Response) Outcome() core.Outcome {
	if r.FromPeer {
		return r.PeerOutcome
	}
	if r.Status >= fasthttp.StatusInternalServerError {
		return core.Unknown
	}
	return core.Run
}

// Client makes attempts over pooled connections. It is safe for concurrent use.
type Client struct {
	pool   *exchange.Pool
	memory *exchange.MemoryBudget
}

// NewClient returns a Client whose responses draw from a budget.
func NewClient(pool *exchange.Pool, m *exchange.MemoryBudget) *Client {
	return &Client{pool: pool, memory: m}
}

// open sends the request and checks the response header. A lastOffset of at least 0 asks
// the target to resume a stream after the event with this offset.
func (c *Client) open(ctx context.Context, address string, call Call, lastOffset int) (*exchange.Response, error) {
	const op = "attempt"
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(call.Method)
	request.SetRequestURI("http://" + address + call.Path)
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.Header.Set(core.HeaderRequestID, call.RequestID)
	request.Header.Set(core.HeaderPassed, call.Passed.String())
	if call.IdempotencyKey != "" {
		request.Header.Set(core.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.Priority != 0 {
		request.Header.Set(core.HeaderPriority, strconv.Itoa(call.Priority))
	}
	for _, h := range call.Headers {
		request.Header.Set(h.Name, h.Value)
	}
	if lastOffset >= 0 {
		request.Header.Set(core.HeaderLastEventID, strconv.Itoa(lastOffset))
	}
	request.SetBodyRaw(call.Body)
	response, err := c.pool.Do(ctx, address, request)
	if err != nil {
		return nil, c.wrapError(ctx, op, err)
	}
	if err := checkHeader(op, response, call.RequestID); err != nil {
		response.Close()
		return nil, err
	}
	return response, nil
}

// wrapError converts an error of package exchange into an Error. An ended context makes it
// Cancelled, unless nothing was sent or the body was too large.
func (c *Client) wrapError(ctx context.Context, op string, err error) error {
	kind := Lost
	switch exchangeKind, _ := failure.KindOf[exchange.Kind](err); {
	case exchangeKind == exchange.Unsent:
		kind = Unreached
	case exchangeKind == exchange.TooLarge:
		kind = TooLarge
	case ctx.Err() != nil:
		kind = Cancelled
	}
	return failure.Wrap(op, kind, err)
}

// checkHeader returns an error if the target refused the call, or if the response doesn't echo
// the request ID.
func checkHeader(op string, response *exchange.Response, requestID string) error {
	if refused := response.Get(core.HeaderRefused); refused != "" && response.Status() >= fasthttp.StatusBadRequest {
		if response.Get(core.HeaderLeaving) != "" {
			return failure.New(op, Leaving)
		}
		return failure.Wrap(op, Refused, errors.New(refused))
	}
	if echo := response.Get(core.HeaderRequestID); echo != requestID {
		return failure.Wrap(op, Mismatched, errors.Errorf("expected the answer to %s, got that to %q", requestID, echo))
	}
	return nil
}

// Do sends a call and reads the complete response, whose body may have at most limit
// bytes. The caller must Release the response. Errors are of type Error.
func (c *Client) Do(ctx context.Context, address string, call Call, limit int) (Response, error) {
	const op = "attempt"
	response, err := c.open(ctx, address, call, -1)
	if err != nil {
		return Response{}, err
	}
	return c.readResponse(ctx, op, response, limit)
}

func (c *Client) readResponse(ctx context.Context, op string, response *exchange.Response, limit int) (Response, error) {
	out := Response{
		Status: response.Status(), ContentType: string(response.Header.ContentType()),
		RetryAfter: response.Get(fasthttp.HeaderRetryAfter),
	}
	out.Load, out.HasLoad = ParseLoad(response.Get(core.HeaderLoad))
	if outcome := response.Get(core.HeaderOutcome); outcome != "" {
		out.PeerOutcome, out.FromPeer = core.ParseOutcome(outcome), true
		out.KeyChecked = response.Get(core.HeaderKeyProven) != ""
	}
	var err error
	if out.memory, err = response.ReadAllWithin(c.memory, limit); err != nil {
		return Response{}, c.wrapError(ctx, op, err)
	}
	out.Body = out.memory.Bytes
	return out, nil
}

// Cancel asks a target to stop a running request. It returns no error, since a target
// also stops by itself some time after the connection of the request was closed.
func (c *Client) Cancel(ctx context.Context, address, requestID string) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI("http://" + address + "/v1/streams/" + requestID)
	response, err := c.pool.Do(ctx, address, request)
	if err == nil {
		_, _ = response.ReadAll(maxCancelResponseBytes)
	}
}

const maxCancelResponseBytes = 4 << 10

// ParseLoad parses the value of core.HeaderLoad, "running/waiting/slots". It returns
// false unless the value consists of three non-negative integers.
func ParseLoad(value string) (placement.Load, bool) {
	parts := strings.Split(value, "/")
	const fields = 3
	if len(parts) != fields {
		return placement.Load{}, false
	}
	var numbers [fields]int
	for i, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return placement.Load{}, false
		}
		numbers[i] = n
	}
	return placement.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}
