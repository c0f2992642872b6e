package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

// Call is what the head of a caller's request says.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Host is where the caller wanted to go, and Target the path with its query,
	// both as they came.
	Host   string
	Target string
	// Deadline is how long the caller waits; 0 when it has not said.
	Deadline time.Duration
	// Tokens is the length of the prompt, and Parts are its pieces.
	Tokens int
	Parts  []balance.Part
	// LastEventID is the last event that the caller has of a stream.
	LastEventID string
}

// TargetRequest is what the head of a request to a target says beside what its caller
// said.
type TargetRequest struct {
	// Instance is the only target that may run the request.
	Instance string
	// Timeout is how long the target may take.
	Timeout time.Duration
	// Priority orders requests at the target; 0 goes first. Ranked is whether the
	// target knows ranks.
	Priority    int
	HasPriority bool
	// LastEventID is the event after which a stream goes on, if it is set.
	LastEventID string
	// FetchFrom is the address of the target from which this one fetches what that keeps
	// of the prompt, empty if from none.
	FetchFrom string
}

// TargetResponse is what the head of a target's answer says.
type TargetResponse struct {
	// Sealed is set when the answer carries the target's signature.
	Sealed bool
	// NotRun is set when the target says that it has not run the request.
	NotRun bool
	// Load is what the target says of its load, nil when it says nothing.
	Load *balance.Load
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
	// Leaving is set when the target says that it leaves.
	Leaving bool
	// RetryAfter is for how long the target wants nothing from this host, 0 when it
	// has not said.
	RetryAfter time.Duration
	// InvalidHeaders are the fields that mean nothing.
	InvalidHeaders []string
}

// DirectoryQuery is what a caller asks the directory.
type DirectoryQuery struct {
	Name       string
	Region     string
	DataCentre string
}

// Protocol translates between the heads of HTTP messages and what they mean.
type Protocol interface {
	// ReadyPath and DirectoryPath are the paths of the host's own answers.
	ReadyPath() string
	DirectoryPath() string
	// IDHeader is the header that names a call, which targets repeat.
	IDHeader() string
	ReadCall(h *fasthttp.RequestHeader) Call
	// StripReservedHeaders removes what callers may not set, and what concerns one connection.
	StripReservedHeaders(h *fasthttp.RequestHeader)
	// CacheListPath is where targets say what they keep of prompts, in a body that ReadCacheList
	// reads.
	CacheListPath() string
	ReadCacheList(body []byte) ([]balance.Part, error)
	WriteTargetRequest(h *fasthttp.RequestHeader, s TargetRequest)
	ReadTargetResponse(h *fasthttp.ResponseHeader) TargetResponse
	ReadDirectoryQuery(args *fasthttp.Args) DirectoryQuery
	WriteDirectory(addresses []string, ttl time.Duration) ([]byte, error)
}
