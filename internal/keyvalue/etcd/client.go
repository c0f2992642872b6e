package etcd

import (
	"bufio"
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

const (
	maxResponseBytes = 64 << 20
	requestTimeout   = 3 * time.Second
	eventDelete      = "DELETE"
)

// Client is a keyvalue.Store over etcd's JSON gateway. It tries its endpoints in turn,
// starting with the one that responded last.
type Client struct {
	endpoints []string
	pool      *exchange.Pool
	preferred atomic.Int64 // index of the endpoint to try first
	timeout   time.Duration
}

var _ keyvalue.Store = (*Client)(nil)

// NewClient returns a Client of the given endpoints, each an IP:port.
func NewClient(pool *exchange.Pool, endpoints []string) *Client {
	return &Client{endpoints: endpoints, pool: pool, timeout: requestTimeout}
}

// Get implements keyvalue.Store.
func (c *Client) Get(ctx context.Context, key string) (keyvalue.Page, error) {
	return c.read(ctx, rangeRequest{Key: []byte(key)})
}

// List implements keyvalue.Store.
func (c *Client) List(ctx context.Context, from, to string) (keyvalue.Page, error) {
	return c.read(ctx, rangeRequest{Key: []byte(from), RangeEnd: []byte(to)})
}

func (c *Client) read(ctx context.Context, request rangeRequest) (keyvalue.Page, error) {
	var answer rangeResponse
	if err := c.call(ctx, "range", "/v3/kv/range", request, &answer); err != nil {
		return keyvalue.Page{}, err
	}
	return keyvalue.Page{Entries: entriesOf(answer.Kvs), Revision: answer.Header.Revision}, nil
}

// Commit implements keyvalue.Store.
func (c *Client) Commit(ctx context.Context, txn keyvalue.Txn) (keyvalue.TxnResult, error) {
	request := txnRequest{}
	for _, condition := range txn.Compares {
		request.Compare = append(request.Compare, compare{
			Key: []byte(condition.Key), Target: "MOD", Result: "EQUAL", ModRevision: condition.Revision,
		})
	}
	for _, w := range txn.Writes {
		request.Success = append(request.Success, writeOp(w))
	}
	for _, key := range txn.Reads {
		read := requestOp{RequestRange: &rangeRequest{Key: []byte(key)}}
		request.Success = append(request.Success, read)
		request.Failure = append(request.Failure, read)
	}
	var answer txnResponse
	if err := c.call(ctx, "txn", "/v3/kv/txn", request, &answer); err != nil {
		return keyvalue.TxnResult{}, err
	}
	return keyvalue.TxnResult{
		Succeeded: answer.Succeeded, Revision: answer.Header.Revision, Reads: readsOf(txn.Reads, answer.Responses),
	}, nil
}

func writeOp(w keyvalue.Write) requestOp {
	if w.Delete {
		return requestOp{RequestDeleteRange: &rangeRequest{Key: []byte(w.Key)}}
	}
	return requestOp{RequestPut: &putRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease}}
}

func readsOf(keys []string, responses []responseOp) []keyvalue.Entry {
	out := make([]keyvalue.Entry, 0, len(keys))
	for _, response := range responses {
		if response.ResponseRange == nil {
			continue
		}
		entry := keyvalue.Entry{}
		if len(response.ResponseRange.Kvs) > 0 {
			entry = entryOf(response.ResponseRange.Kvs[0])
		}
		out = append(out, entry)
	}
	return out
}

// Grant implements keyvalue.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var answer leaseResponse
	request := leaseRequest{TTL: int64(ttl / time.Second)}
	if err := c.call(ctx, "grant", "/v3/lease/grant", request, &answer); err != nil {
		return 0, err
	}
	return answer.ID, nil
}

// KeepAlive implements keyvalue.Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	const op = "keep alive"
	var answer keepAliveResponse
	if err := c.call(ctx, op, "/v3/lease/keepalive", leaseRequest{ID: lease}, &answer); err != nil {
		return 0, err
	}
	if answer.Result.TTL <= 0 {
		return 0, failure.New(op, keyvalue.LeaseNotFound)
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke implements keyvalue.Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return c.call(ctx, "revoke", "/v3/lease/revoke", leaseRequest{ID: lease}, &struct{}{})
}

// call sends one request and decodes its response. It tries the next endpoint only if
// nothing was sent to the previous one, so that no write is sent twice.
func (c *Client) call(ctx context.Context, op, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.open(ctx, op, path, request)
	if err != nil {
		return err
	}
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return failure.Wrap(op, keyvalue.Unconfirmed, err)
	}
	if response.Status() != fasthttp.StatusOK {
		return statusError(op, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return failure.Wrap(op, keyvalue.Unconfirmed, err)
	}
	return nil
}

// open sends a request and returns the response before its body is read. The error is
// Unavailable if no endpoint received the request, and Unconfirmed if one may have.
func (c *Client) open(ctx context.Context, op, path string, request any) (*exchange.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, failure.Wrap(op, keyvalue.Rejected, err)
	}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	out.Header.SetMethod(fasthttp.MethodPost)
	out.Header.SetContentType("application/json")
	out.SetBody(body)
	first := c.preferred.Load()
	lastErr := errors.New("no endpoint is set")
	for i := range c.endpoints {
		index := (int(first) + i) % len(c.endpoints)
		out.SetRequestURI("http://" + c.endpoints[index] + path)
		response, err := c.pool.Do(ctx, c.endpoints[index], out)
		if err == nil {
			c.preferred.Store(int64(index))
			return response, nil
		}
		if kind, _ := failure.KindOf[exchange.Kind](err); kind != exchange.Unsent {
			c.preferred.Store(int64(index + 1))
			return nil, failure.Wrap(op, keyvalue.Unconfirmed, err)
		}
		lastErr = err
	}
	return nil, failure.Wrap(op, keyvalue.Unavailable, lastErr)
}

// statusError returns the error for a response with a status other than 200.
func statusError(op string, body []byte) error {
	var answer errorResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return failure.Wrap(op, keyvalue.Unconfirmed, err)
	}
	kind := keyvalue.Unconfirmed
	switch answer.Code {
	case codeOutOfRange:
		kind = keyvalue.Compacted
	case codeNotFound:
		kind = keyvalue.LeaseNotFound
	case codeInvalidArgument:
		kind = keyvalue.Rejected
	case codeUnavailable:
		// The service may respond with this code after the write was proposed.
		kind = keyvalue.Unconfirmed
	}
	return failure.Wrap(op, kind, errors.New(answer.Message))
}

// Watch implements keyvalue.Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64) (keyvalue.Watcher, error) {
	request := watchRequest{CreateRequest: watchCreate{
		Key: []byte(prefix), RangeEnd: []byte(keyvalue.PrefixEnd(prefix)), StartRevision: revision,
	}}
	response, err := c.open(ctx, "watch", "/v3/watch", request)
	if err != nil {
		return nil, err
	}
	if response.Status() != fasthttp.StatusOK {
		body, err := response.ReadAll(maxResponseBytes)
		if err != nil {
			return nil, failure.Wrap("watch", keyvalue.Unavailable, err)
		}
		return nil, statusError("watch", body)
	}
	return &watcher{response: response, decoder: json.NewDecoder(bufio.NewReader(response))}, nil
}

type watcher struct {
	response *exchange.Response
	decoder  *json.Decoder
}

// Next implements keyvalue.Watcher.
func (w *watcher) Next() ([]keyvalue.Event, error) {
	const op = "watch"
	for {
		var answer watchResponse
		if err := w.decoder.Decode(&answer); err != nil {
			return nil, failure.Wrap(op, keyvalue.Unavailable, err)
		}
		if answer.Error != nil {
			return nil, failure.Wrap(op, keyvalue.Unavailable, errors.New(answer.Error.Message))
		}
		if answer.Result.CompactRevision > 0 {
			return nil, failure.New(op, keyvalue.Compacted)
		}
		if answer.Result.Canceled {
			return nil, failure.New(op, keyvalue.Unavailable)
		}
		if len(answer.Result.Events) > 0 {
			return eventsOf(answer.Result.Events), nil
		}
	}
}

// Close implements keyvalue.Watcher.
func (w *watcher) Close() { w.response.Close() }

func eventsOf(list []watchEvent) []keyvalue.Event {
	out := make([]keyvalue.Event, len(list))
	for i, event := range list {
		out[i] = keyvalue.Event{Entry: entryOf(event.Kv), Deleted: event.Type == eventDelete}
	}
	return out
}

func entriesOf(list []keyValue) []keyvalue.Entry {
	out := make([]keyvalue.Entry, len(list))
	for i, kv := range list {
		out[i] = entryOf(kv)
	}
	return out
}

func entryOf(kv keyValue) keyvalue.Entry {
	return keyvalue.Entry{
		Key: string(kv.Key), Value: kv.Value,
		CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision, Lease: kv.Lease,
	}
}
