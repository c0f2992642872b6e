package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
)

const (
	// cacheListPollInterval is the interval between checks for targets whose prompt cache is
	// unknown.
	cacheListPollInterval   = 100 * time.Millisecond
	cacheListTimeout        = 500 * time.Millisecond
	maxConcurrentCacheLists = 4
	maxCacheListBytes       = 1 << 20
)

// pollCacheLists fetches the cache lists of targets whose prompt cache the host cannot derive
// from its own calls, until ctx is done.
func (g *Gateway) pollCacheLists(ctx context.Context) error {
	for {
		g.mu.Lock()
		targets := g.balancer.DueListings(g.clock.Now())
		g.mu.Unlock()
		group := errgroup.Group{}
		group.SetLimit(maxConcurrentCacheLists)
		for _, t := range targets {
			group.Go(func() error {
				g.updateCacheList(ctx, t)
				return nil
			})
		}
		_ = group.Wait() // updateCacheList logs errors
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(cacheListPollInterval):
		}
	}
}

// updateCacheList fetches the cache list of one target, and sends it to the other hosts of the
// region unless the target has a coordinator.
func (g *Gateway) updateCacheList(ctx context.Context, t catalogue.Target) {
	parts, err := g.fetchCacheList(ctx, t)
	if err != nil {
		g.log.Error(err, "A target does not say what it keeps; the known cache contents stay in force.", "Target", t.ID)
		return
	}
	g.mu.Lock()
	list := g.balancer.RecordListing(g.clock.Now(), t.ID, parts)
	shared := !g.balancer.Coordinated()
	g.mu.Unlock()
	g.log.Info("A target says what it keeps.", "Target", t.ID, "Parts", len(parts), "Long", len(list.Parts))
	if shared {
		g.sendMessage(peerMessage{CacheList: &list}, g.regionPeers())
	}
}

func (g *Gateway) fetchCacheList(ctx context.Context, t catalogue.Target) ([]balance.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetHost(t.Address)
	request.Header.SetRequestURI(g.protocol.CacheListPath())
	g.mu.Lock()
	g.countLimitedSend(t.ID, "list")
	g.mu.Unlock()
	sentAt := g.clock.Now()
	response, err := g.targetPool.Do(ctx, t.Address, request)
	if err != nil {
		return nil, err
	}
	// A list without a limit is no statement: only responses to calls are known to have it.
	if limit := g.protocol.ReadTargetResponse(&response.Header).Limit; limit != nil && limit.Limited {
		g.recordLimit(t, sentAt, *limit)
	}
	body, err := response.ReadAllWithin(g.bodyMemory, maxCacheListBytes)
	if err != nil {
		return nil, err
	}
	defer body.Release()
	if response.Status() != fasthttp.StatusOK {
		return nil, errors.Errorf("status %d", response.Status())
	}
	return g.protocol.ReadCacheList(body.Bytes)
}
