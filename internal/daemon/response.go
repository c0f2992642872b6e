package daemon

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/attempt"
	"github.com/sequoiarack/sequoiarack/internal/claim"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// errorBody is the body of a refusal. Error has the form that clients of the
// OpenAI API read.
type errorBody struct {
	Error      errorDetail  `json:"error"`
	Reason     core.Reason  `json:"Reason"`
	Outcome    core.Outcome `json:"Outcome"`
	RequestID  string       `json:"RequestID,omitempty"`
	RetryAfter int          `json:"RetryAfter,omitempty"`
	Hosts      []hostRow    `json:"Hosts,omitempty"`
}

type errorDetail struct {
	Message string      `json:"message"`
	Type    core.Reason `json:"type"`
	Code    core.Reason `json:"code"`
}

func (d *Daemon) errorBody(id string, r *core.Refusal) errorBody {
	body := errorBody{
		Error:  errorDetail{Message: r.Message, Type: r.Reason, Code: r.Reason},
		Reason: r.Reason, Outcome: r.Outcome, RequestID: id, RetryAfter: r.RetryAfter,
	}
	if r.Reason == core.ReasonLeaving || r.Reason == core.ReasonWrongRegion {
		body.Hosts = d.hostRows()
	}
	return body
}

// writeRefusal writes a refusal as the response. c is the refused call, or nil for a
// request that is no call.
func (d *Daemon) writeRefusal(ctx *fasthttp.RequestCtx, c *call, r *core.Refusal) {
	id := ""
	if c != nil {
		r, id = c.downgradeOutcome(r), c.id
		if c.keyChecked {
			ctx.Response.Header.Set(core.HeaderKeyProven, "1")
		}
	}
	d.metrics.outcomes.Add(r.Outcome.String(), 1)
	d.metrics.reasons.Add(string(r.Reason), 1)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(r.RetryAfter))
	}
	d.setHeaders(ctx, id, r.Outcome)
	writeJSON(ctx, r.Status, d.errorBody(id, r))
}

func (d *Daemon) setHeaders(ctx *fasthttp.RequestCtx, id string, outcome core.Outcome) {
	header := &ctx.Response.Header
	header.Set(core.HeaderOutcome, outcome.String())
	header.Set(core.HeaderHost, d.settings.Host)
	if id != "" {
		header.Set(core.HeaderRequestID, id)
	}
}

// writeResponse writes the complete response of a target to the caller. NotRun is
// reported as Unknown if an earlier request with the same key may have been run and
// the host that responded didn't check the key.
func (d *Daemon) writeResponse(ctx *fasthttp.RequestCtx, c *call, response *attempt.Response) {
	outcome := response.Outcome()
	if outcome == core.NotRun && c.mayHaveRun() && !response.KeyChecked {
		outcome = core.Unknown
	}
	d.metrics.outcomes.Add(outcome.String(), 1)
	d.setHeaders(ctx, c.id, outcome)
	if response.RetryAfter != "" {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, response.RetryAfter)
	}
	ctx.SetStatusCode(response.Status)
	ctx.SetContentType(response.ContentType)
	ctx.Response.SetBodyRaw(response.Body)
	ctx.SetUserValue(writtenResponse{}, writtenResponse{response})
}

// writtenResponse is a response that the server writes. The server closes it afterwards, and when the connection fails.
type writtenResponse struct{ response *attempt.Response }

// Close releases the memory of the response.
func (w writtenResponse) Close() error {
	w.response.Release()
	return nil
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// serveBadRequest answers a request that could not be parsed.
func (d *Daemon) serveBadRequest(ctx *fasthttp.RequestCtx, err error) {
	if isA[*fasthttp.ErrSmallBuffer](err) {
		d.writeRefusal(ctx, nil, refusal(fasthttp.StatusRequestHeaderFieldsTooLarge, core.ReasonBadRequest,
			"headers: expected at most "+strconv.Itoa(maxHeaderBytes)+" bytes"))
		return
	}
	d.writeRefusal(ctx, nil, unreadable(err))
}

// refusalOf returns the refusal that reports the failure of an attempt to the
// caller.
func refusalOf(err error) *core.Refusal {
	kind, ok := failure.KindOf[attempt.Kind](err)
	if !ok {
		kind = attempt.Lost
	}
	out := &core.Refusal{Status: fasthttp.StatusBadGateway, Reason: core.ReasonTargetLost, Message: err.Error(), Outcome: kind.Outcome()}
	switch kind {
	case attempt.Unreached:
		out.Status, out.Reason, out.RetryAfter = fasthttp.StatusServiceUnavailable, core.ReasonNoTarget, 1
	case attempt.Refused, attempt.Leaving:
		out.Status, out.Reason, out.RetryAfter = fasthttp.StatusServiceUnavailable, core.ReasonTargetRefused, 1
	case attempt.Cancelled:
		out.Status, out.Reason = fasthttp.StatusGatewayTimeout, core.ReasonBudget
		out.Message = "the call was given up before its answer had come"
	case attempt.Lost, attempt.Mismatched, attempt.TooLarge:
	}
	return out
}

func kindOfClaim(err error) (claim.Kind, bool) { return failure.KindOf[claim.Kind](err) }
