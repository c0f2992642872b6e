package gateway

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/upload"
)

const (
	// maxControlBodyBytes bounds the requests to the servers that expect none with a body.
	maxControlBodyBytes = 16 << 10
	// memoryLogInterval bounds the log lines on a lack of memory.
	memoryLogInterval = time.Second

	reasonMemory = "the host is short of memory"
)

// maxBody returns the length of the longest body that a server reads.
func (g *Gateway) maxBody(server string) int {
	if bound := g.limits().MaxBodyBytes; server == callerServer && bound > 0 {
		return min(bound, maxCallBytes)
	}
	return maxCallBytes
}

// reserveCall reserves the memory of a request whose head has been read. Otherwise it writes the response and returns
// false.
func (g *Gateway) reserveCall(server string, ctx *fasthttp.RequestCtx) bool {
	err := g.uploads.Reserve(ctx)
	if kind, _ := failure.KindOf[upload.Kind](err); err != nil && kind == upload.NoMemory {
		return g.refuseForMemory(server, ctx, "call", ctx.RequestBodyStream() != nil)
	}
	return err == nil || g.refuseBody(server, ctx, err)
}

// readBody reads the body of a request, within the budget of the host's memory. Otherwise it writes the response and
// returns false.
func (g *Gateway) readBody(server string, ctx *fasthttp.RequestCtx, kind memory.Kind, source string) bool {
	isChunked := ctx.Request.Header.ContentLength() == -1
	err := g.uploads.Read(ctx, memory.Origin{Kind: kind, Source: source, BeganAt: g.clock.Now()}, g.maxBody(server))
	if kind, _ := failure.KindOf[upload.Kind](err); err != nil && kind == upload.NoMemory {
		return g.refuseForMemory(server, ctx, "body", true)
	}
	if err != nil {
		return g.refuseBody(server, ctx, err)
	}
	if isChunked && !g.checkGrammar(server, ctx) { // of the trailer
		return false
	}
	stripTrailer(&ctx.Request.Header, g.protocol)
	return true
}

// releaseBody returns the memory of the body of a call that has ended but for its response.
func releaseBody(ctx *fasthttp.RequestCtx) {
	if _, isStream := ctx.Response.BodyStream().(*relay); isStream {
		return // it may be resumed
	}
	upload.ReleaseBody(ctx)
}

// refuseBody responds to a request whose body could not be read, and closes the connection.
func (g *Gateway) refuseBody(server string, ctx *fasthttp.RequestCtx, err error) bool {
	g.rejectRequest(server, ctx, err)
	upload.Refuse(ctx)
	ctx.SetConnectionClose()
	return false
}

// refuseForMemory responds to a request for which there is no memory. If its body is unread, it closes the connection.
func (g *Gateway) refuseForMemory(server string, ctx *fasthttp.RequestCtx, what string, unread bool) bool {
	g.metrics.add("memory_refusals_total{server=\""+server+"\",of=\""+what+"\"}", 1)
	g.logMemory()
	g.writeHostReply(ctx, reply{status: fasthttp.StatusServiceUnavailable, outcome: core.NotRun, reason: reasonMemory, retryAfter: g.jitter(shortRetryAfter)})
	if server == peerServer {
		ctx.Response.Header.Set(headerArrivals, "0")
	}
	upload.Refuse(ctx)
	if unread {
		ctx.SetConnectionClose()
	}
	return false
}

// recordEndedUpload counts an upload that ended for others.
func (g *Gateway) recordEndedUpload(reason memory.Reason) {
	g.metrics.add("uploads_ended_total{reason=\""+reason.String()+"\"}", 1)
	g.logMemory()
}

// logMemory logs a lack of memory, once a memoryLogInterval at most.
func (g *Gateway) logMemory() {
	now := g.clock.Now().UnixNano()
	last := g.memoryLoggedAt.Load()
	if now-last < int64(memoryLogInterval) || !g.memoryLoggedAt.CompareAndSwap(last, now) {
		return
	}
	use := g.memory.Use()
	g.log.Info("Memory is short.", "Total", use.Total, "Connections", use.Bytes[memory.Connections], "Calls", use.Bytes[memory.Calls], "Bodies", use.Bytes[memory.Bodies],
		"Responses", use.Bytes[memory.Responses], "Control", use.Bytes[memory.Control], "Uploads", use.Uploads, "Ending", use.Ending)
}

// awaitResponseMemory waits for the memory of long responses, and ends a response that its caller does not read. It
// returns false once a response has waited for upload.MemoryWait.
func (g *Gateway) awaitResponseMemory(attempt int) bool {
	if attempt >= int(upload.MemoryWait/upload.MemoryPoll) {
		g.metrics.add("memory_refusals_total{server=\""+callerServer+"\",of=\"response\"}", 1)
		return false
	}
	g.logMemory()
	g.callers.EndUnread()
	<-g.clock.After(upload.MemoryPoll)
	return true
}

// writeMemory writes the metrics of the budget.
func (g *Gateway) writeMemory(w io.Writer) {
	use := g.memory.Use()
	line := func(name string, n int) { _, _ = io.WriteString(w, "sequoiarack_"+name+" "+strconv.Itoa(n)+"\n") }
	line("memory_budget_bytes", use.Total)
	for kind := memory.Connections; kind <= memory.Control; kind++ {
		line("memory_bytes{kind=\""+kind.String()+"\"}", use.Bytes[kind])
	}
	line("memory_bytes{kind=\"ending\"}", use.Ending)
	line("uploads_unfinished", use.Uploads)
}
