package exchange

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// WithRepeat makes Do send a request once more, on a new connection, when the first one brings no response
// within d or fails on a connection that was kept. The first response counts. A connection that has gone
// silent or was closed then says nothing of the peer. All requests of the pool must be safe to repeat.
// onRepeat is called before a request is sent once more.
func WithRepeat(d time.Duration, onRepeat func()) Option {
	return func(p *Pool) { p.repeatAfter, p.onRepeat = d, onRepeat }
}

// outcome is the end of one exchange.
type outcome struct {
	response *Response
	err      error
	kept     bool // the connection was used by an earlier exchange
}

// running is an exchange that reports its end on a channel.
type running struct {
	ended  <-chan outcome
	cancel context.CancelFunc // makes it fail at once
}

// doWithRepeat is Do of a pool that repeats its requests.
func (p *Pool) doWithRepeat(ctx context.Context, address string, request *fasthttp.Request) (*Response, error) {
	first := p.start(ctx, address, request, p.get)
	timer := time.NewTimer(p.repeatAfter)
	defer timer.Stop()
	select {
	case o := <-first.ended:
		if o.err == nil || !o.kept || ctx.Err() != nil {
			return o.response, o.err
		}
		p.onRepeat()
		o = <-p.startNew(ctx, address, request).ended
		return o.response, o.err
	case <-timer.C:
	}
	p.onRepeat()
	second := p.startNew(ctx, address, request)
	select {
	case o := <-first.ended:
		return o.orElse(second)
	case o := <-second.ended:
		return o.orElse(first)
	}
}

// orElse returns the outcome, or that of the other exchange if this one failed.
func (o outcome) orElse(other running) (*Response, error) {
	if o.err != nil {
		o = <-other.ended
		return o.response, o.err
	}
	other.cancel()
	if late := <-other.ended; late.err == nil {
		late.response.Close()
	}
	return o.response, nil
}

// startNew starts an exchange on a new connection.
func (p *Pool) startNew(ctx context.Context, address string, request *fasthttp.Request) running {
	return p.start(ctx, address, request, func(ctx context.Context, address string, _ requestID) (*conn, error) { return p.dial(ctx, address) })
}

// start starts an exchange on the connection that get returns.
func (p *Pool) start(ctx context.Context, address string, request *fasthttp.Request, get func(context.Context, string, requestID) (*conn, error)) running {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan outcome, 1)
	own := fasthttp.AcquireRequest() // writing a request changes it
	request.CopyTo(own)
	go func() {
		defer fasthttp.ReleaseRequest(own)
		o := p.exchangeOn(ctx, address, own, get)
		if o.err != nil || o.response.state != bodyOpen {
			cancel()
		} else {
			detach := o.response.stop
			o.response.stop = func() bool {
				defer cancel()
				return detach()
			}
		}
		ended <- o
	}()
	return running{ended: ended, cancel: cancel}
}

// exchangeOn makes one exchange on the connection that get returns.
func (p *Pool) exchangeOn(ctx context.Context, address string, request *fasthttp.Request, get func(context.Context, string, requestID) (*conn, error)) outcome {
	c, err := get(ctx, address, p.idOf(request))
	if err != nil {
		return outcome{err: wrap("exchange", Unsent, err)}
	}
	kept := c.used
	response, err := p.exchange(ctx, c, request)
	return outcome{response: response, err: err, kept: kept}
}
