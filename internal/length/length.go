// Package length predicts the output of a call from the limit in its request
// and from what its caller's earlier calls have used of theirs. The package
// does no I/O.
package length

import "github.com/sequoiarack/sequoiarack/internal/core"

const (
	decay          = 0.1
	defaultLimit   = 1024 // tokens, of a request that sets no limit
	firstShare     = 0.8  // of the limit, before anything is known
	maxKnownPairs  = 4096
	defaultLongCut = 1024 // tokens, of a service that sets none
)

// Predictor learns by caller and service. Its owner is one goroutine.
type Predictor struct {
	shares map[pair]float64
}

type pair struct{ workspace, service string }

// NewPredictor returns a Predictor that knows nothing yet.
func NewPredictor() *Predictor { return &Predictor{shares: map[pair]float64{}} }

// Prediction is the expected output of a call.
type Prediction struct {
	Tokens float64
	Class  core.Class
}

// Predict returns the expected output of a call with the given limit, zero for
// none, and its class for a service whose long calls begin at longCut tokens.
func (p *Predictor) Predict(workspace, service string, limit, longCut int) Prediction {
	if limit <= 0 {
		limit = defaultLimit
	}
	if longCut <= 0 {
		longCut = defaultLongCut
	}
	share, ok := p.shares[pair{workspace, service}]
	if !ok {
		share = firstShare
	}
	out := Prediction{Tokens: share * float64(limit)}
	if out.Tokens >= float64(longCut) {
		out.Class = core.Long
	}
	return out
}

// Observe takes the output of a call that has ended.
func (p *Predictor) Observe(workspace, service string, limit, tokens int) {
	if limit <= 0 {
		limit = defaultLimit
	}
	key := pair{workspace, service}
	share, ok := p.shares[key]
	if !ok {
		if len(p.shares) >= maxKnownPairs {
			return
		}
		share = firstShare
	}
	p.shares[key] = share + decay*(float64(tokens)/float64(limit)-share)
}
