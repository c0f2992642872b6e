package bandwidth

import (
	"bytes"
	"context"
)

// readerChunk is the number of bytes that a Reader hands out at once.
const readerChunk = 16 << 10

// Reader reads a message as fast as it may be sent.
type Reader struct {
	budget  *Budget
	ctx     context.Context //nolint:containedctx // readers have no argument for it
	purpose Purpose
	rest    *bytes.Reader
}

// NewReader returns a Reader of a message of bulk. Its reads fail once ctx ends.
func (b *Budget) NewReader(ctx context.Context, p Purpose, message []byte) *Reader {
	return &Reader{budget: b, ctx: ctx, purpose: p, rest: bytes.NewReader(message)}
}

// Read waits until a part of the message may be sent, and reads it.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.rest.Read(b[:min(len(b), readerChunk)])
	if n > 0 {
		if err := r.budget.Send(r.ctx, r.purpose, n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Close ends the reader.
func (r *Reader) Close() error { return nil }
