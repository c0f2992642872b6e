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
	// listCheck is the pause between two looks for targets whose memory is not known.
	listCheck   = 100 * time.Millisecond
	listTimeout = 500 * time.Millisecond
	// maxListers bounds the targets that are asked at once, and maxListBytes an answer.
	maxListers   = 4
	maxListBytes = 1 << 20
)

// listKept is the duty that asks targets what they keep of prompts, where the host
// cannot know.
func (g *Gateway) listKept(ctx context.Context) error {
	for {
		g.mu.Lock()
		targets := g.book.DueListings(g.clock.Now())
		g.mu.Unlock()
		group := errgroup.Group{}
		group.SetLimit(maxListers)
		for _, t := range targets {
			group.Go(func() error {
				g.listTarget(ctx, t)
				return nil
			})
		}
		_ = group.Wait() // listTarget logs what fails
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(listCheck):
		}
	}
}

// listTarget asks one target what it keeps and tells the hosts that count on it.
func (g *Gateway) listTarget(ctx context.Context, t catalogue.Target) {
	parts, err := g.askKept(ctx, t)
	if err != nil {
		g.log.Error(err, "A target does not say what it keeps; the beliefs stay.", "Target", t.ID)
		return
	}
	g.mu.Lock()
	list := g.book.RecordListing(g.clock.Now(), t.ID, parts)
	told := !g.book.Coordinated()
	g.mu.Unlock()
	g.log.Info("A target says what it keeps.", "Target", t.ID, "Parts", len(parts), "Long", len(list.Parts))
	if told {
		g.sendShare(shareMessage{Kept: &list}, g.mates())
	}
}

func (g *Gateway) askKept(ctx context.Context, t catalogue.Target) ([]balance.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetHost(t.Address)
	request.Header.SetRequestURI(g.protocol.KeptPath())
	response, err := g.pool.Do(ctx, t.Address, request)
	if err != nil {
		return nil, err
	}
	body, err := response.ReadAll(maxListBytes)
	if err != nil {
		return nil, err
	}
	if response.Status() != fasthttp.StatusOK {
		return nil, errors.Errorf("status %d", response.Status())
	}
	return g.protocol.ReadKept(body)
}
