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

// Kind sorts the ends of an attempt that brought no answer.
type Kind int

// The kinds.
const (
	// Unreached means that no byte was sent.
	Unreached Kind = iota
	// Refused means that the target itself refused the call.
	Refused
	// Leaving means that the target refused the call because it is leaving.
	Leaving
	// Lost means that the target went away, or the connection to it.
	Lost
	// Crossed means that the answer was another call's.
	Crossed
	// Cancelled means that the call was given up on our side.
	Cancelled
	// TooLarge means that the answer passed the limit.
	TooLarge
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{
		"target not reached", "target refused", "target is leaving", "target lost",
		"answer of another call", "cancelled", "answer too large",
	}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

// Outcome tells what is known of a call whose attempt ended with the kind.
func (k Kind) Outcome() core.Outcome {
	switch k {
	case Unreached, Refused, Leaving:
		return core.NotRun
	default:
		return core.Unknown
	}
}

// Call is a request as a target gets it.
type Call struct {
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	RequestID      string
	IdempotencyKey string
	Priority       int
	Passed         core.Hops
	// Headers are added to those above.
	Headers []Header
	// Whole forbids to resume a stream, as of a peer, which would run the call
	// again.
	Whole bool
}

// Header is one header of a call.
type Header struct{ Name, Value string }

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Load        placement.Load
	HasLoad     bool
	RetryAfter  string
	// Said is the outcome that a peer gave in its header; FromPeer is set
	// when there was one.
	Said     core.Outcome
	FromPeer bool
	// Proven is set when the peer had looked the call's key up.
	Proven bool
}

// Outcome tells what is known of a call that was answered so. A server error
// does not tell how far the call got.
func (a Answer) Outcome() core.Outcome {
	if a.FromPeer {
		return a.Said
	}
	if a.Status >= fasthttp.StatusInternalServerError {
		return core.Unknown
	}
	return core.Run
}

// Client makes attempts over pooled connections. It is safe for concurrent use.
type Client struct {
	pool *exchange.Pool
}

// NewClient returns a Client.
func NewClient(pool *exchange.Pool) *Client { return &Client{pool: pool} }

func (c *Client) open(ctx context.Context, address string, call Call, lastEvent int) (*exchange.Response, error) {
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
	if lastEvent >= 0 {
		request.Header.Set(core.HeaderLastEventID, strconv.Itoa(lastEvent))
	}
	request.SetBodyRaw(call.Body)
	response, err := c.pool.Do(ctx, address, request)
	if err != nil {
		return nil, c.fail(ctx, op, err)
	}
	if err := check(op, response, call.RequestID); err != nil {
		response.Close()
		return nil, err
	}
	return response, nil
}

func (c *Client) fail(ctx context.Context, op string, err error) error {
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

func check(op string, response *exchange.Response, requestID string) error {
	if refused := response.Get(core.HeaderRefused); refused != "" && response.Status() >= fasthttp.StatusBadRequest {
		if response.Get(core.HeaderLeaving) != "" {
			return failure.New(op, Leaving)
		}
		return failure.Wrap(op, Refused, errors.New(refused))
	}
	if echo := response.Get(core.HeaderRequestID); echo != requestID {
		return failure.Wrap(op, Crossed, errors.Errorf("expected the answer to %s, got that to %q", requestID, echo))
	}
	return nil
}

// Whole runs a call whose answer is read whole, up to limit bytes.
func (c *Client) Whole(ctx context.Context, address string, call Call, limit int) (Answer, error) {
	const op = "attempt"
	response, err := c.open(ctx, address, call, -1)
	if err != nil {
		return Answer{}, err
	}
	return c.readWhole(ctx, op, response, limit)
}

func (c *Client) readWhole(ctx context.Context, op string, response *exchange.Response, limit int) (Answer, error) {
	answer := Answer{
		Status: response.Status(), ContentType: string(response.Header.ContentType()),
		RetryAfter: response.Get(fasthttp.HeaderRetryAfter),
	}
	answer.Load, answer.HasLoad = ParseLoad(response.Get(core.HeaderLoad))
	if said := response.Get(core.HeaderOutcome); said != "" {
		answer.Said, answer.FromPeer = core.ParseOutcome(said), true
		answer.Proven = response.Get(core.HeaderKeyProven) != ""
	}
	var err error
	if answer.Body, err = response.ReadAll(limit); err != nil {
		return Answer{}, c.fail(ctx, op, err)
	}
	return answer, nil
}

// Cancel tells a target to stop working on a request. It reports nothing: the
// target also stops by itself some time after its reader is gone.
func (c *Client) Cancel(ctx context.Context, address, requestID string) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI("http://" + address + "/v1/streams/" + requestID)
	response, err := c.pool.Do(ctx, address, request)
	if err == nil {
		_, _ = response.ReadAll(maxCancelAnswerBytes)
	}
}

const maxCancelAnswerBytes = 4 << 10

// ParseLoad reads the value of core.HeaderLoad: running, waiting and slots,
// joined by slashes.
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
