package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

// Call is the content of the headers of a caller's request.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Host is the requested host, and Target the path with its query, both unmodified.
	Host   string
	Target string
	// Deadline is how long the caller waits, 0 if it has set no deadline.
	Deadline time.Duration
	// Tokens is the length of the prompt, and Parts are its cacheable parts.
	Tokens int
	Parts  []balance.Part
	// QuotaTokens is what the call counts against a quota of tokens, negative if it does not say.
	QuotaTokens float64
	// Key is the caller's key, empty if there is none. AmbiguousKey is set if there are several.
	Key          string
	AmbiguousKey bool
	// LastEventID is the ID of the last event of a stream that the caller has received.
	LastEventID string
	// Resumes is the ID of the call that brought the first event of that stream, empty if the
	// caller does not say.
	Resumes string
}

// TargetRequest is the content of the headers that the host adds to a request for a target.
type TargetRequest struct {
	// Instance is the ID of the target. A target with another ID must refuse the request.
	Instance string
	// Workspace is the name of the caller's workspace, empty for calls without a key.
	Workspace string
	// Timeout is how long the target may take.
	Timeout time.Duration
	// Priority orders requests at the target; 0 is the most urgent. HasPriority is set if
	// the target supports priorities.
	Priority    int
	HasPriority bool
	// LastEventID is the ID of the event after which a stream is resumed, empty for a
	// stream from its start.
	LastEventID string
	// FetchFrom is the address of the target from whose prompt cache this one fetches parts
	// of the prompt, empty for no fetch.
	FetchFrom string
}

// TargetResponse is the content of the headers of a target's response.
type TargetResponse struct {
	// Instance is the ID of the target, where the response states it.
	Instance string
	// Sealed is set if the response carries the target's seal.
	Sealed bool
	// NotRun is set if the target reports that it did not run the request.
	NotRun bool
	// Load is the load that the target reports, nil if it reports none.
	Load *balance.Load
	// ColdRemaining is how much longer the target is cold.
	ColdRemaining time.Duration
	// Leaving is set if the target announces that it is leaving.
	Leaving bool
	// RetryAfter is how long the target asks this host to send it nothing, 0 for no backoff.
	RetryAfter time.Duration
	// Limit is what the target says about its limit on calls, nil if the response says
	// nothing valid.
	Limit *balance.LimitStatement
	// Brittle is what the target says about being brittle, nil if the header is invalid.
	Brittle *balance.BrittleStatement
	// InvalidHeaders are the headers with an invalid value, as "name: value".
	InvalidHeaders []string
}

// DirectoryQuery is a caller's query to the directory of hosts. All fields are optional.
type DirectoryQuery struct {
	Name       string
	Region     string
	DataCentre string
}

// Protocol translates between the HTTP messages of a platform and the types of this package.
type Protocol interface {
	// ReadyPath and DirectoryPath are the paths of the readiness check and the directory.
	ReadyPath() string
	DirectoryPath() string
	// IDHeader is the header with the ID of a call. Targets repeat it in their response.
	IDHeader() string
	ReadCall(h *fasthttp.RequestHeader) Call
	// Reserved reports whether callers may not set a header, whatever the case of its name.
	// StripReservedHeaders removes these headers.
	Reserved(name string) bool
	// Known reports whether a header has a meaning to hosts, whatever the case of its name.
	Known(name string) bool
	// Canonical returns the usual spelling of the name of a header that callers and hosts set, and that a
	// request has once. For other names it returns false.
	Canonical(name string) (string, bool)
	StripReservedHeaders(h *fasthttp.RequestHeader)
	// CacheListPath is the path at which targets list their prompt cache. ReadCacheList reads
	// the body of the response.
	CacheListPath() string
	ReadCacheList(body []byte) ([]balance.Part, error)
	WriteTargetRequest(h *fasthttp.RequestHeader, t TargetRequest)
	ReadTargetResponse(h *fasthttp.ResponseHeader) TargetResponse
	// ExpectedInstance returns the ID of the target that a request is for, empty for one that any target answers.
	ExpectedInstance(h *fasthttp.RequestHeader) string
	ReadDirectoryQuery(args *fasthttp.Args) DirectoryQuery
	WriteDirectory(addresses []string, ttl time.Duration) ([]byte, error)
}
