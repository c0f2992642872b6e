package daemon

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

const (
	// maxResponseMemoryBytes bounds the long bodies and events of targets that are held at the same time.
	maxResponseMemoryBytes = 256 << 20
	// memoryLogInterval bounds the log lines on a lack of memory.
	memoryLogInterval = time.Second
	// maxMemoryRetryAfter is the longest time, in seconds, after which a call that was refused for want of memory may come
	// again. Calls get different times, so that they do not come at once.
	maxMemoryRetryAfter = 3
)

// newLimiter returns a limiter for a share of the process's descriptors.
func (d *Daemon) newLimiter(share float64, options ...link.LimiterOption) *link.Limiter {
	return link.NewLimiter(d.clock, append(options, link.WithMaxConns(int(share*float64(link.Descriptors(0)))), link.WithIdleTimeout(idleTimeout),
		link.WithOnEvent(func(link.Event) { d.metrics.add(countClosedConns, 1) }))...)
}

// reserveCall reserves the memory of a request whose head has been read.
func (d *Daemon) reserveCall(ctx *fasthttp.RequestCtx) *core.Refusal {
	return d.refuseUpload(ctx, d.uploads.Reserve(ctx))
}

// readBody reads the body of a request for which memory has been reserved. source is who sends it, for the shares of the
// memory.
func (d *Daemon) readBody(ctx *fasthttp.RequestCtx, kind memory.Kind, source string, limit int) *core.Refusal {
	return d.refuseUpload(ctx, d.uploads.Read(ctx, memory.Origin{Kind: kind, Source: source, BeganAt: d.clock.Now()}, limit))
}

// refuseUpload returns the refusal of a request whose memory could not be reserved or whose body could not be read, and
// closes the connection, as the body is unread.
func (d *Daemon) refuseUpload(ctx *fasthttp.RequestCtx, err error) *core.Refusal {
	if err == nil {
		return nil
	}
	upload.Refuse(ctx)
	if ctx.RequestBodyStream() != nil {
		ctx.SetConnectionClose()
	}
	if kind, _ := failure.KindOf[upload.Kind](err); kind == upload.NoMemory {
		d.metrics.add(countMemoryRefusals, 1)
		d.logMemory()
		return refusal(fasthttp.StatusServiceUnavailable, core.ReasonOverloaded, "the host is short of memory").WithRetryAfter(1 + rand.IntN(maxMemoryRetryAfter))
	}
	return unreadable(err)
}

// unreadable returns the refusal of a request that could not be read.
func unreadable(err error) *core.Refusal {
	var timeout net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refusal(fasthttp.StatusRequestEntityTooLarge, core.ReasonBodyTooLarge, "the body is too large")
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusal(fasthttp.StatusRequestTimeout, core.ReasonBadRequest, "the request took too long")
	default:
		return refusal(fasthttp.StatusBadRequest, core.ReasonBadRequest, "request: "+err.Error())
	}
}

// recordEndedUpload counts an upload that ended for others.
func (d *Daemon) recordEndedUpload(memory.Reason) {
	d.metrics.add(countEndedUploads, 1)
	d.logMemory()
}

// awaitResponseMemory waits for the memory of long responses, and ends a response that its caller does not read. It
// returns false once a response has waited for upload.MemoryWait.
func (d *Daemon) awaitResponseMemory(attempt int) bool {
	if attempt >= int(upload.MemoryWait/upload.MemoryPoll) {
		d.metrics.add(countMemoryRefusals, 1)
		return false
	}
	d.logMemory()
	d.callerLimiter.EndUnread()
	<-d.clock.After(upload.MemoryPoll)
	return true
}

// logMemory logs a lack of memory, once a memoryLogInterval at most.
func (d *Daemon) logMemory() {
	now := d.clock.Now().UnixNano()
	last := d.memoryLoggedAt.Load()
	if now-last < int64(memoryLogInterval) || !d.memoryLoggedAt.CompareAndSwap(last, now) {
		return
	}
	d.log.Info("Memory is short.", "Memory", d.memoryUse(), "Uploads", d.memory.Use().Uploads)
}
