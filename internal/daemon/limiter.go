package daemon

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/sequoiarack/sequoiarack/internal/config"
)

// limiterTable holds the rate limiters of the workspaces. It is safe for concurrent
// use.
type limiterTable struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// reset applies the rates of a configuration. Existing limiters keep their tokens.
func (t *limiterTable) reset(x *config.Index) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[string]*rate.Limiter{}
	for name, w := range x.Document.Workspaces {
		if w.RequestsPerSecond == 0 {
			continue
		}
		limiter := t.limiters[name]
		if limiter == nil {
			limiter = rate.NewLimiter(rate.Limit(w.RequestsPerSecond), w.Burst)
		}
		limiter.SetLimit(rate.Limit(w.RequestsPerSecond))
		limiter.SetBurst(w.Burst)
		next[name] = limiter
	}
	t.limiters = next
}

// allow takes one token of a workspace. If there is none, it returns the number of
// seconds after which the caller should retry.
func (t *limiterTable) allow(workspace string, now time.Time) (retryAfter int, ok bool) {
	t.mu.Lock()
	limiter := t.limiters[workspace]
	t.mu.Unlock()
	if limiter == nil || limiter.AllowN(now, 1) {
		return 0, true
	}
	return max(1, int(math.Ceil(1/float64(limiter.Limit())))), false
}

func isA[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
