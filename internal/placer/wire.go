package placer

import (
	"strconv"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/affinity"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

// Paths of the placing host's endpoints.
const (
	PathPlace  = "/peer/place"
	PathSettle = "/peer/settle"
)

// placeRequest requests a target. It is sent again with the same ID to poll for the
// decision.
type placeRequest struct {
	ID        string   `json:"ID"`
	Host      string   `json:"Host"`
	Service   string   `json:"Service"`
	Workspace string   `json:"Workspace"`
	Long      bool     `json:"Long,omitempty"`
	Tokens    float64  `json:"Tokens"`
	Prefix    []string `json:"Prefix,omitempty"`
	WaitMs    int64    `json:"WaitMs"`
	Avoid     []string `json:"Avoid,omitempty"`
	Alone     bool     `json:"Alone,omitempty"`
}

func newPlaceRequest(id, host string, call placement.Call, wait time.Duration) placeRequest {
	request := placeRequest{
		ID: id, Host: host, Service: call.Service, Workspace: call.Workspace, Long: call.Class == core.Long,
		Tokens: call.Tokens, WaitMs: wait.Milliseconds(), Avoid: call.Avoid, Alone: call.Isolated,
	}
	for _, hash := range call.Prefix {
		request.Prefix = append(request.Prefix, strconv.FormatUint(hash, 16))
	}
	return request
}

// call returns the call to place, with times relative to now.
func (r placeRequest) call(now time.Time) placement.Call {
	call := placement.Call{
		Service: r.Service, Workspace: r.Workspace, Tokens: r.Tokens, Arrived: now,
		Deadline: now.Add(time.Duration(r.WaitMs) * time.Millisecond), Avoid: r.Avoid, Isolated: r.Alone,
	}
	if r.Long {
		call.Class = core.Long
	}
	for i := range min(len(r.Prefix), affinity.Levels) {
		call.Prefix[i], _ = strconv.ParseUint(r.Prefix[i], 16, 64)
	}
	return call
}

// placeResponse is the response to a placeRequest. If Pending is set, there is no
// decision yet and the request has to be sent again.
type placeResponse struct {
	Pending bool              `json:"Pending,omitempty"`
	Target  *placement.Target `json:"Target,omitempty"`
	Alone   bool              `json:"Alone,omitempty"`
	Refusal *core.Refusal     `json:"Refusal,omitempty"`
	Summary placement.Summary `json:"Summary"`
}

// settleRequest lists the IDs of placement requests whose calls have ended or were
// abandoned, and the latencies of targets.
type settleRequest struct {
	Ended   []string        `json:"Ended,omitempty"`
	Samples []latencySample `json:"Samples,omitempty"`
}

// latencySample is the mean latency of a target since the previous sample, in
// microseconds.
type latencySample struct {
	Target string           `json:"Target"`
	Signal straggler.Signal `json:"Signal"`
	Micros int64            `json:"Micros"`
}
