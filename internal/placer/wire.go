package placer

import (
	"strconv"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/affinity"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/straggler"
)

// Paths of the placing host's interface.
const (
	PathPlace  = "/peer/place"
	PathSettle = "/peer/settle"
)

// askBody asks for a target, or asks again for the answer.
type askBody struct {
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

func newAskBody(id, host string, ask placement.Call, wait time.Duration) askBody {
	body := askBody{
		ID: id, Host: host, Service: ask.Service, Workspace: ask.Workspace, Long: ask.Class == core.Long,
		Tokens: ask.Tokens, WaitMs: wait.Milliseconds(), Avoid: ask.Avoid, Alone: ask.Isolated,
	}
	for _, hash := range ask.Prefix {
		body.Prefix = append(body.Prefix, strconv.FormatUint(hash, 16))
	}
	return body
}

func (b askBody) ask(now time.Time) placement.Call {
	ask := placement.Call{
		Service: b.Service, Workspace: b.Workspace, Tokens: b.Tokens, Arrived: now,
		Deadline: now.Add(time.Duration(b.WaitMs) * time.Millisecond), Avoid: b.Avoid, Isolated: b.Alone,
	}
	if b.Long {
		ask.Class = core.Long
	}
	for i := range min(len(b.Prefix), affinity.Levels) {
		ask.Prefix[i], _ = strconv.ParseUint(b.Prefix[i], 16, 64)
	}
	return ask
}

// answerBody is the answer to an ask. Pending means to ask again.
type answerBody struct {
	Pending bool              `json:"Pending,omitempty"`
	Target  *placement.Target `json:"Target,omitempty"`
	Alone   bool              `json:"Alone,omitempty"`
	Refusal *core.Refusal     `json:"Refusal,omitempty"`
	Summary placement.Summary `json:"Summary"`
}

// settleBody tells of calls that have ended or are given up, and of speeds.
type settleBody struct {
	Ended   []string `json:"Ended,omitempty"`
	Samples []sample `json:"Samples,omitempty"`
}

// sample is the mean of what a host saw of a target's speed since the last one.
type sample struct {
	Target string           `json:"Target"`
	Signal straggler.Signal `json:"Signal"`
	Micros int64            `json:"Micros"`
}
