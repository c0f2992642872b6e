package daemon

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/attempt"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/residency"
)

const (
	maxForwardAttempts = 2
	signatureMaxSkew   = 60 * time.Second
)

// forward sends the call to a host of another region. A second host is tried only
// if the first could not be reached, so that the call is sent at most once.
func (h *callHandler) forward(to string) result {
	if !residency.MayHold(h.call.index, h.call.workspace, h.call.dataClass, to) {
		return refused(refusal(fasthttp.StatusForbidden, core.ReasonResidency, "the data may not go to region "+to))
	}
	last := refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonNoTarget, "no host of region "+to+" is in use").WithRetryAfter(1))
	hosts := h.d.regionHostsInUse(to)
	for _, host := range hosts[:min(len(hosts), maxForwardAttempts)] {
		r, err := h.forwardTo(host)
		if err == nil {
			return r
		}
		last = refused(refusalOf(err))
		if kind, _ := failure.KindOf[attempt.Kind](err); kind != attempt.Unreached {
			return last
		}
	}
	return last
}

// regionHostsInUse returns the other hosts in use of a region. Each call starts at
// the next one, which spreads the calls over them.
func (d *Daemon) regionHostsInUse(name string) []member.Info {
	var out []member.Info
	for _, m := range d.gossip.View().Members {
		if m.Region == name && m.InUse() && m.Host != d.settings.Host {
			out = append(out, m)
		}
	}
	if len(out) > 1 {
		offset := int(d.metrics.forwards.Add(1)) % len(out)
		out = slices.Concat(out[offset:], out[:offset])
	}
	return out
}

// forwardTo sends the call to another host and returns its response, or its stream
// once the first event has arrived.
func (h *callHandler) forwardTo(host member.Info) (result, error) {
	h.d.metrics.add(countForwarded, 1)
	call := h.peerCall()
	if !h.call.stream {
		response, err := h.d.forwardClient.Do(h.ctx, host.PeerAddress, call, h.call.index.Document.Limits.MaxAnswerBytes)
		return result{response: &response, target: host.Host, region: host.Region}, err
	}
	ctx, cancel := context.WithCancel(h.ctx)
	stream, response, err := h.d.forwardClient.Stream(ctx, host.PeerAddress, call, h.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil || response != nil {
		cancel()
		return result{response: response, target: host.Host, region: host.Region}, err
	}
	event, ended, err := stream.Next(ctx)
	if err != nil {
		stream.Close()
		cancel()
		return result{}, err
	}
	open := &openStream{stream: stream, firstEvent: event, ended: ended, release: cancel}
	return result{stream: open, target: host.Host, region: host.Region}, nil
}

// peerCall returns the call as it is sent to another host: with the hops that it
// has made, the version of the configuration under which it was accepted, and a
// signature.
func (h *callHandler) peerCall() attempt.Call {
	c := h.call
	call := c.attemptCall(h.d)
	call.Path = c.path
	call.IdempotencyKey = c.keyText
	call.Priority = 0
	call.NoResume = true
	remaining := c.timeout - h.d.clock.Now().Sub(c.arrived)
	signedAt := strconv.FormatInt(h.d.clock.Now().UnixMilli(), 10)
	call.Headers = []attempt.Header{
		{Name: core.HeaderCaller, Value: c.caller},
		{Name: core.HeaderVersion, Value: strconv.FormatUint(c.index.Version, 10)},
		{Name: core.HeaderDeadline, Value: strconv.FormatInt(max(1, remaining.Milliseconds()), 10)},
		{Name: core.HeaderSignedAt, Value: signedAt},
		{Name: headerHeadSignature, Value: h.d.signHead(call.Method, call.Path, signedAt)},
	}
	if c.dataClass != "" {
		call.Headers = append(call.Headers, attempt.Header{Name: core.HeaderDataClass, Value: c.dataClass})
	}
	if c.firstSend {
		call.Headers = append(call.Headers, attempt.Header{Name: headerFirstSend, Value: "1"})
	}
	if c.hasKey() && c.key.Issued && c.keyChecked {
		call.Headers = append(call.Headers, attempt.Header{Name: headerKeySpent, Value: "1"})
	}
	signature := h.d.signer.Sign(signedParts(signedHeaderValue(call), call.Method, call.Path, call.Body)...)
	call.Headers = append(call.Headers, attempt.Header{Name: core.HeaderSignature, Value: signature})
	return call
}

// signedHeaderNames are the headers that the signature of a peer covers.
var signedHeaderNames = []string{
	core.HeaderRequestID, core.HeaderPassed, core.HeaderCaller, core.HeaderVersion, core.HeaderDeadline,
	core.HeaderSignedAt, core.HeaderDataClass, headerFirstSend, headerKeySpent, core.HeaderIdempotencyKey,
}

// signedHeaderValue returns a function that returns the value of a header of the
// call.
func signedHeaderValue(call attempt.Call) func(name string) string {
	values := map[string]string{
		core.HeaderRequestID: call.RequestID, core.HeaderPassed: call.Passed.String(),
		core.HeaderIdempotencyKey: call.IdempotencyKey,
	}
	for _, h := range call.Headers {
		values[h.Name] = h.Value
	}
	return func(name string) string { return values[name] }
}

// signedParts returns what the signature of a request between hosts covers, in
// order: headers, method, path and body.
func signedParts(header func(string) string, method, path string, body []byte) [][]byte {
	parts := make([][]byte, 0, len(signedHeaderNames)+3)
	for _, name := range signedHeaderNames {
		parts = append(parts, []byte(header(name)))
	}
	return append(parts, []byte(method), []byte(path), body)
}
