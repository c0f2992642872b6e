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
	maxForwardTries  = 2
	signatureMaxSkew = 60 * time.Second
)

// forward sends the call to a host of another region, at most once: it goes to
// a second host only when the first was not reached.
func (f *flight) forward(to string) result {
	if !residency.MayHold(f.call.index, f.call.workspace, f.call.dataClass, to) {
		return refused(refusal(fasthttp.StatusForbidden, core.ReasonResidency, "the data may not go to region "+to))
	}
	last := refused(refusal(fasthttp.StatusServiceUnavailable, core.ReasonNoTarget, "no host of region "+to+" is in use").WithRetryAfter(1))
	hosts := f.d.hostsOf(to)
	for _, host := range hosts[:min(len(hosts), maxForwardTries)] {
		r, err := f.sendTo(host)
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

// hostsOf returns the hosts in use of a region, in an order that spreads calls.
func (d *Daemon) hostsOf(name string) []member.Info {
	var out []member.Info
	for _, m := range d.gossip.View().Members {
		if m.Region == name && m.InUse() && m.Host != d.settings.Host {
			out = append(out, m)
		}
	}
	if len(out) > 1 {
		at := int(d.metrics.forwards.Add(1)) % len(out)
		out = slices.Concat(out[at:], out[:at])
	}
	return out
}

// sendTo runs the call at another host.
func (f *flight) sendTo(host member.Info) (result, error) {
	f.d.metrics.add(countForwarded, 1)
	call := f.peerCall()
	if !f.call.stream {
		answer, err := f.d.forwards.Do(f.ctx, host.PeerAddress, call, f.call.index.Document.Limits.MaxAnswerBytes)
		return result{answer: &answer, target: host.Host, region: host.Region}, err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	stream, answer, err := f.d.forwards.Stream(ctx, host.PeerAddress, call, f.call.index.Document.Limits.MaxAnswerBytes)
	if err != nil || answer != nil {
		cancel()
		return result{answer: answer, target: host.Host, region: host.Region}, err
	}
	event, ended, err := stream.Next(ctx)
	if err != nil {
		stream.Close()
		cancel()
		return result{}, err
	}
	open := &openStream{stream: stream, first: slices.Clone(event), ended: ended, done: cancel}
	return result{stream: open, target: host.Host, region: host.Region}, nil
}

// peerCall returns the call as another host gets it: with the record of where
// it has been, the version that it was judged under, and a seal.
func (f *flight) peerCall() attempt.Call {
	c := f.call
	call := c.attempt(f.d)
	call.Path = c.path
	call.IdempotencyKey = c.keyText
	call.Priority = 0
	call.NoResume = true
	left := c.timeout - f.d.clock.Now().Sub(c.arrived)
	signedAt := strconv.FormatInt(f.d.clock.Now().UnixMilli(), 10)
	call.Headers = []attempt.Header{
		{Name: core.HeaderCaller, Value: c.caller},
		{Name: core.HeaderVersion, Value: strconv.FormatUint(c.index.Version, 10)},
		{Name: core.HeaderDeadline, Value: strconv.FormatInt(max(1, left.Milliseconds()), 10)},
		{Name: core.HeaderSignedAt, Value: signedAt},
	}
	if c.dataClass != "" {
		call.Headers = append(call.Headers, attempt.Header{Name: core.HeaderDataClass, Value: c.dataClass})
	}
	if c.firstSend {
		call.Headers = append(call.Headers, attempt.Header{Name: headerFirstSend, Value: "1"})
	}
	if c.hasKey() && c.key.Issued && c.claimed {
		call.Headers = append(call.Headers, attempt.Header{Name: headerSpent, Value: "1"})
	}
	sum := f.d.sealer.Sign(signedParts(signedHeaders(call), call.Method, call.Path, call.Body)...)
	call.Headers = append(call.Headers, attempt.Header{Name: core.HeaderSignature, Value: sum})
	return call
}

// signedNames are the headers that a peer's seal covers.
var signedNames = []string{
	core.HeaderRequestID, core.HeaderPassed, core.HeaderCaller, core.HeaderVersion, core.HeaderDeadline,
	core.HeaderSignedAt, core.HeaderDataClass, headerFirstSend, headerSpent, core.HeaderIdempotencyKey,
}

func signedHeaders(call attempt.Call) func(name string) string {
	values := map[string]string{
		core.HeaderRequestID: call.RequestID, core.HeaderPassed: call.Passed.String(),
		core.HeaderIdempotencyKey: call.IdempotencyKey,
	}
	for _, h := range call.Headers {
		values[h.Name] = h.Value
	}
	return func(name string) string { return values[name] }
}

func signedParts(header func(string) string, method, path string, body []byte) [][]byte {
	parts := make([][]byte, 0, len(signedNames)+3)
	for _, name := range signedNames {
		parts = append(parts, []byte(header(name)))
	}
	return append(parts, []byte(method), []byte(path), body)
}
