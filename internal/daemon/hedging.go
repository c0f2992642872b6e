package daemon

import (
	"sync"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/hedge"
)

// hedgeTable holds the estimator of the time to the first token of each service. It
// is safe for concurrent use.
type hedgeTable struct {
	mu         sync.Mutex
	estimators map[string]*hedge.Estimator
}

// estimator returns the estimator of a service. t.mu must be held.
func (t *hedgeTable) estimator(service string) *hedge.Estimator {
	if t.estimators == nil {
		t.estimators = map[string]*hedge.Estimator{}
	}
	e := t.estimators[service]
	if e == nil {
		e = &hedge.Estimator{}
		t.estimators[service] = e
	}
	return e
}

// observe records a time to the first token.
func (t *hedgeTable) observe(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimator(service).Observe(d)
}

// delay returns how long to wait for a first token before a hedge is sent.
func (t *hedgeTable) delay(service string, budget time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimator(service).Delay(budget)
}
