// Package operator is a client of the operator interface of a host.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds.
const (
	// Unreachable means that no response was received from the host.
	Unreachable Kind = iota
	// Refused means that the host rejected the request.
	Refused
	// Conflict means that a patch was not based on the current version.
	Conflict
)

// String returns the kind as it appears in error messages.
func (k Kind) String() string {
	return [...]string{"host not reached", "refused", "version conflict"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 64 << 20
)

// Client sends requests to one host.
type Client struct {
	address string
	key     string
	pool    *exchange.Pool
}

// NewClient returns a Client of the host at the given IP:port. key is the secret of a key
// with the role operator or reader.
func NewClient(address, key string) *Client {
	return &Client{address: address, key: key, pool: exchange.NewPool(link.NewSystem(""))}
}

// Config is a version of the configuration.
type Config struct {
	Version  uint64          `json:"Version"`
	Digest   string          `json:"Digest"`
	Document json.RawMessage `json:"Document"`
}

// Accepted is the version that results from a patch.
type Accepted struct {
	Version uint64 `json:"Version"`
	ID      string `json:"ID"`
	Digest  string `json:"Digest"`
}

// Get returns the body at a path below /operator, undecoded.
func (c *Client) Get(ctx context.Context, path string) (json.RawMessage, error) {
	return c.do(ctx, fasthttp.MethodGet, path, nil)
}

// Config returns the configuration that the host uses.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var out Config
	body, err := c.Get(ctx, "/operator/config")
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(json.Unmarshal(body, &out), "config")
}

// Patch sends a patch. If check is set, the host only checks it and returns the version
// that would result.
func (c *Client) Patch(ctx context.Context, patch ledger.Patch, check bool) (Accepted, error) {
	var out Accepted
	body, err := json.Marshal(patch)
	if err != nil {
		return out, errors.Wrap(err, "patch")
	}
	path := "/operator/config"
	if check {
		path += "/check"
	}
	responseBody, err := c.do(ctx, fasthttp.MethodPost, path, body)
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(json.Unmarshal(responseBody, &out), "patch")
}

// History returns up to limit of the newest records, the newest last.
func (c *Client) History(ctx context.Context, limit int) ([]ledger.Record, error) {
	var out struct {
		Records []ledger.Record `json:"Records"`
	}
	body, err := c.Get(ctx, fmt.Sprintf("/operator/config/history?limit=%d", limit))
	if err != nil {
		return nil, err
	}
	return out.Records, errors.Wrap(json.Unmarshal(body, &out), "history")
}

// Drain starts a graceful shutdown of the host.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.do(ctx, fasthttp.MethodPost, "/operator/drain", nil)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (json.RawMessage, error) {
	op := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	response, err := c.pool.Do(ctx, c.address, request)
	if err != nil {
		return nil, failure.Wrap(op, Unreachable, err)
	}
	responseBody, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, failure.Wrap(op, Unreachable, err)
	}
	if response.Status() >= fasthttp.StatusBadRequest {
		return nil, statusError(op, response.Status(), responseBody)
	}
	return responseBody, nil
}

// errorBody has the fields of both error formats of a host: that of callers and that of
// operators.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
	Message  string `json:"Message"`
	Reason   string `json:"Reason"`
	Outcome  string `json:"Outcome"`
	Version  uint64 `json:"Version"`
	Problems []struct {
		Path     string `json:"Path"`
		Expected string `json:"Expected"`
	} `json:"Problems"`
}

// statusError returns the error for a response with a status of 400 or higher.
func statusError(op string, status int, responseBody []byte) error {
	var body errorBody
	if err := json.Unmarshal(responseBody, &body); err != nil {
		return failure.Wrap(op, Refused, errors.Errorf("status %d: %s", status, responseBody))
	}
	message := body.Message + body.Error.Message
	for _, p := range body.Problems {
		message += "\n" + p.Path + ": " + p.Expected
	}
	kind := Refused
	if body.Reason == "VersionConflict" {
		kind = Conflict
		message += fmt.Sprintf("\nthe current version is %d", body.Version)
	}
	return failure.Wrap(op, kind, errors.Errorf("%s (%s, %s)", message, body.Reason, body.Outcome))
}
