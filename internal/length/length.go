// Package length predicts the output length of a call from its limit and from the
// share of their limits that earlier calls of the same workspace and service have
// used. The package does no I/O.
package length

import "github.com/sequoiarack/sequoiarack/internal/core"

const (
	newSampleWeight   = 0.1  // in the moving average of a share
	defaultMaxTokens  = 1024 // of a request without a limit
	initialShare      = 0.8  // of the limit, before the first sample
	maxPairs          = 4096 // of workspace and service
	defaultLongTokens = 1024 // of a service without LongTokens
)

// Predictor averages the used shares by workspace and service. It is not safe for
// concurrent use.
type Predictor struct {
	shares map[pair]float64 // of the limit
}

type pair struct{ workspace, service string }

// NewPredictor returns a Predictor without samples.
func NewPredictor() *Predictor { return &Predictor{shares: map[pair]float64{}} }

// Prediction is the expected output length of a call.
type Prediction struct {
	Tokens float64
	Class  core.Class
}

// Predict returns the expected output length and the class of a call. maxTokens is the
// limit of its request. Calls are long from longTokens on. Zero selects the defaults.
func (p *Predictor) Predict(workspace, service string, maxTokens, longTokens int) Prediction {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	if longTokens <= 0 {
		longTokens = defaultLongTokens
	}
	share, ok := p.shares[pair{workspace, service}]
	if !ok {
		share = initialShare
	}
	out := Prediction{Tokens: share * float64(maxTokens)}
	if out.Tokens >= float64(longTokens) {
		out.Class = core.Long
	}
	return out
}

// Observe records the output length of a call that has ended. Workspaces and services
// beyond maxPairs are ignored.
func (p *Predictor) Observe(workspace, service string, maxTokens, tokens int) {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	key := pair{workspace, service}
	share, ok := p.shares[key]
	if !ok {
		if len(p.shares) >= maxPairs {
			return
		}
		share = initialShare
	}
	p.shares[key] = share + newSampleWeight*(float64(tokens)/float64(maxTokens)-share)
}
