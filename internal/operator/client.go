// Package operator is the client of a host's operator interface.
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

// Kind sorts the failures of the package.
type Kind int

// The kinds.
const (
	// Unreachable means that the host did not answer.
	Unreachable Kind = iota
	// Refused means that the host refused the request.
	Refused
	// Conflict means that a patch was based on another version.
	Conflict
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"host not reached", "refused", "version conflict"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

const (
	timeout        = 10 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client asks one host.
type Client struct {
	address string
	key     string
	pool    *exchange.Pool
}

// NewClient returns a Client of the host at the address, with an operator's or
// reader's key.
func NewClient(address, key string) *Client {
	return &Client{address: address, key: key, pool: exchange.NewPool(link.NewSystem(""))}
}

// Config is a version of the configuration.
type Config struct {
	Version  uint64          `json:"Version"`
	Digest   string          `json:"Digest"`
	Document json.RawMessage `json:"Document"`
}

// Accepted tells which version a patch made.
type Accepted struct {
	Version uint64 `json:"Version"`
	ID      string `json:"ID"`
	Digest  string `json:"Digest"`
}

// Get reads a path below /operator as it is.
func (c *Client) Get(ctx context.Context, path string) (json.RawMessage, error) {
	return c.do(ctx, fasthttp.MethodGet, path, nil)
}

// Config reads the configuration in force.
func (c *Client) Config(ctx context.Context) (Config, error) {
	var out Config
	body, err := c.Get(ctx, "/operator/config")
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(json.Unmarshal(body, &out), "config")
}

// Patch sends a patch; check only asks what it would do.
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
	answer, err := c.do(ctx, fasthttp.MethodPost, path, body)
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(json.Unmarshal(answer, &out), "patch")
}

// History reads the newest records.
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

// Drain asks the host to stop gracefully.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.do(ctx, fasthttp.MethodPost, "/operator/drain", nil)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (json.RawMessage, error) {
	op := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	answer, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return nil, failure.Wrap(op, Unreachable, err)
	}
	if response.Status() >= fasthttp.StatusBadRequest {
		return nil, refusal(op, response.Status(), answer)
	}
	return answer, nil
}

// refused has the fields of both forms in which a host refuses.
type refused struct {
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

func refusal(op string, status int, answer []byte) error {
	var body refused
	if err := json.Unmarshal(answer, &body); err != nil {
		return failure.Wrap(op, Refused, errors.Errorf("status %d: %s", status, answer))
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
