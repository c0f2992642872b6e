package daemon

import (
	"sync"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/hedge"
)

// hedgeTable holds what is known of the first tokens of each service.
type hedgeTable struct {
	mu         sync.Mutex
	estimators map[string]*hedge.Estimator
}

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

func (t *hedgeTable) observe(service string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.estimator(service).Observe(d)
}

func (t *hedgeTable) delay(service string, budget time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimator(service).Delay(budget)
}
