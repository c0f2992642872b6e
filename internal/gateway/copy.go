package gateway

import (
	"bytes"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHopHeaders are the headers that a proxy must not relay.
var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTransferEncoding, fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade, fasthttp.HeaderContentLength, fasthttp.HeaderTE, "Proxy-Connection",
}

// copyRequest returns a copy of the caller's request, less the headers that concern one connection or
// that callers may not set. The others keep their order, repetition and spelling, but for the names that
// hosts read or set. The caller must release the copy.
func (c *activeCall) copyRequest() *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	from, to := &c.request.Header, &request.Header
	to.DisableNormalizing()
	to.DisableSpecialHeader()
	to.SetMethodBytes(from.Method())
	to.SetBytesV(fasthttp.HeaderHost, from.Host())
	copyHeaders(from, to, c.gateway.protocol)
	if len(from.PeekTrailerKeys()) > 0 {
		addTrailer(to, string(from.TrailerHeader()), c.gateway.protocol)
	}
	to.SetRequestURI(c.meta.Target)
	to.SetNoDefaultContentType(true)
	request.SetBodyRaw(c.request.Body())
	return request
}

// copyHeaders adds the raw header lines of a request to another one, which keeps the spelling of names.
func copyHeaders(from, to *fasthttp.RequestHeader, protocol Protocol) {
	dropped := append(connectionOptions(from), hopByHopHeaders...)
	for line := range bytes.Lines(from.RawHeaders()) {
		key, value, ok := strings.Cut(string(line), ":")
		isDropped := func(name string) bool { return strings.EqualFold(name, key) }
		if !ok || slices.ContainsFunc(dropped, isDropped) || isInternal(key) || protocol.Reserved(key) || isDropped(fasthttp.HeaderHost) {
			continue
		}
		if name, isSingle := protocol.Canonical(key); isSingle {
			if len(to.PeekAll(name)) > 0 {
				continue // hosts go by the first one
			}
			key = name
		}
		to.Add(key, strings.TrimSpace(value))
	}
}

// stripTrailer removes the trailer fields of a request that targets must not get, and that hosts would take for
// headers.
func stripTrailer(h *fasthttp.RequestHeader, protocol Protocol) {
	var names []string
	for _, name := range h.PeekTrailerKeys() {
		names = append(names, string(name))
	}
	if len(names) == 0 {
		return
	}
	lines := string(h.TrailerHeader())
	_ = h.SetTrailer("") // its fields become headers
	for _, name := range names {
		h.Del(name)
	}
	for line := range bytes.Lines(h.RawHeaders()) {
		key, value, _ := strings.Cut(string(line), ":")
		if slices.ContainsFunc(names, func(name string) bool { return strings.EqualFold(name, key) }) {
			h.Add(key, strings.TrimSpace(value))
		}
	}
	addTrailer(h, lines, protocol)
}

// addTrailer adds field lines to the trailer of a request. It leaves out those with the name of a header of the
// request, and those that targets may not get there.
func addTrailer(h *fasthttp.RequestHeader, lines string, protocol Protocol) {
	var names, values []string
	for line := range strings.Lines(lines) {
		key, value, ok := strings.Cut(line, ":")
		isKey := func(name string) bool { return strings.EqualFold(name, key) }
		if ok && !slices.ContainsFunc(hopByHopHeaders, isKey) && !isInternal(key) && !protocol.Known(key) && len(h.Peek(key)) == 0 {
			names, values = append(names, key), append(values, strings.TrimSpace(value))
		}
	}
	for i, name := range names {
		if h.AddTrailer(name) == nil {
			h.Add(name, values[i])
		}
	}
}

// connectionOptions returns the names that the Connection header lists.
func connectionOptions(h *fasthttp.RequestHeader) []string {
	var out []string
	for _, value := range h.PeekAll(fasthttp.HeaderConnection) {
		for option := range strings.SplitSeq(string(value), ",") {
			out = append(out, strings.TrimSpace(option))
		}
	}
	return out
}
