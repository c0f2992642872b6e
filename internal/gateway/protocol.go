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
	// LastEvent is the last event that the caller has of a stream.
	LastEvent string
}

// Send is what the head of a request to a target says beside what its caller
// said.
type Send struct {
	// Instance is the only target that may run the request.
	Instance string
	// Left is how long the target may take.
	Left time.Duration
	// Rank orders requests at the target; 0 goes first. Ranked is whether the
	// target knows ranks.
	Rank   int
	Ranked bool
	// LastEvent is the event after which a stream goes on, if it is set.
	LastEvent string
	// FetchFrom is the address of the target from which this one fetches what that keeps
	// of the prompt, empty if from none.
	FetchFrom string
}

// Answer is what the head of a target's answer says.
type Answer struct {
	// Sealed is set when the answer carries the target's signature.
	Sealed bool
	// NotRun is set when the target says that it has not run the request.
	NotRun bool
	// Load is what the target says of its load, nil when it says nothing.
	Load *balance.Load
	// Cold is how much longer the target is cold.
	Cold time.Duration
	// Leaving is set when the target says that it leaves.
	Leaving bool
	// LeaveAlone is for how long the target wants nothing from this host, 0 when it
	// has not said.
	LeaveAlone time.Duration
	// Unreadable are the fields that mean nothing.
	Unreadable []string
}

// Question is what a caller asks the directory.
type Question struct {
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
	// Strip removes what callers may not set, and what concerns one connection.
	Strip(h *fasthttp.RequestHeader)
	// KeptPath is where targets say what they keep of prompts, in a body that ReadKept
	// reads.
	KeptPath() string
	ReadKept(body []byte) ([]balance.Part, error)
	WriteSend(h *fasthttp.RequestHeader, s Send)
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	ReadQuestion(args *fasthttp.Args) Question
	WriteDirectory(addresses []string, ttl time.Duration) ([]byte, error)
}
