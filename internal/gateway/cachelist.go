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
	// cacheListPollInterval is the pause between two looks for targets whose memory is not known.
	cacheListPollInterval = 100 * time.Millisecond
	cacheListTimeout      = 500 * time.Millisecond
	// maxConcurrentCacheLists bounds the targets that are asked at once, and maxCacheListBytes an answer.
	maxConcurrentCacheLists = 4
	maxCacheListBytes       = 1 << 20
)

// pollCacheLists is the duty that asks targets what they keep of prompts, where the host
// cannot know.
func (g *Gateway) pollCacheLists(ctx context.Context) error {
	for {
		g.mu.Lock()
		targets := g.balancer.Unlisted(g.clock.Now())
		g.mu.Unlock()
		group := errgroup.Group{}
		group.SetLimit(maxConcurrentCacheLists)
		for _, t := range targets {
			group.Go(func() error {
				g.updateCacheList(ctx, t)
				return nil
			})
		}
		_ = group.Wait() // updateCacheList logs what fails
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(cacheListPollInterval):
		}
	}
}

// updateCacheList asks one target what it keeps and tells the hosts that count on it.
func (g *Gateway) updateCacheList(ctx context.Context, t catalogue.Target) {
	parts, err := g.fetchCacheList(ctx, t)
	if err != nil {
		g.log.Error(err, "A target does not say what it keeps; the beliefs stay.", "Target", t.ID)
		return
	}
	g.mu.Lock()
	list := g.balancer.Listed(g.clock.Now(), t.ID, parts)
	told := !g.balancer.Coordinated()
	g.mu.Unlock()
	g.log.Info("A target says what it keeps.", "Target", t.ID, "Parts", len(parts), "Long", len(list.Parts))
	if told {
		g.sendMessage(peerMessage{Kept: &list}, g.regionPeers())
	}
}

func (g *Gateway) fetchCacheList(ctx context.Context, t catalogue.Target) ([]balance.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetHost(t.Address)
	request.Header.SetRequestURI(g.protocol.CacheListPath())
	response, err := g.pool.Do(ctx, t.Address, request)
	if err != nil {
		return nil, err
	}
	body, err := response.ReadAll(maxCacheListBytes)
	if err != nil {
		return nil, err
	}
	if response.Status() != fasthttp.StatusOK {
		return nil, errors.Errorf("status %d", response.Status())
	}
	return g.protocol.ReadCacheList(body)
}
