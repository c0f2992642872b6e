// Package delta encodes values for recipients that may have an earlier value: compressed, with the earlier value as the
// dictionary. What a value shares with the earlier one takes next to no bytes.
package delta

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds.
const (
	// Failed means that a value could not be encoded.
	Failed Kind = iota
	// Malformed means that the encoded value is no value of a Codec, or too long.
	Malformed
	// OtherBase means that the value was encoded with another base.
	OtherBase
)

// String returns the kind as it appears in error messages.
func (k Kind) String() string { return [...]string{"failed", "malformed", "other base"}[k] }

// Error is the error type of the package.
type Error = failure.Error[Kind]

const (
	// dictionaryID is that of all bases, which the checksums tell apart.
	dictionaryID = 1
	// maxCached bounds the encoded values that a Codec keeps, for recipients that get the same.
	maxCached = 16
	// checksumBytes is the length of each of the two checksums before the compressed value: of the base and of the value.
	checksumBytes = 8
	// minWindow is the least window of the compression.
	minWindow = 1 << 10
	// maxWindow bounds the window, and with it the memory for one value.
	maxWindow = 4 << 20
)

// Codec encodes and decodes values. It keeps the last encoded ones. It is safe for concurrent use.
type Codec struct {
	limit   int // of the bytes of a decoded value
	encoder *zstd.Encoder
	decoder *zstd.Decoder // without a base

	mu     sync.Mutex
	cached map[checksums][]byte
	order  []checksums // of cached, oldest first
}

// checksums identify a value and its base.
type checksums struct{ base, value uint64 }

// NewCodec returns a Codec that decodes values of at most limit bytes.
func NewCodec(limit int) *Codec {
	c := &Codec{limit: limit, cached: map[checksums][]byte{}}
	var err error
	if c.encoder, err = newEncoder(); err == nil {
		c.decoder, err = c.newDecoder()
	}
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return c
}

func newEncoder(options ...zstd.EOption) (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, append(options, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))...)
}

func (c *Codec) newDecoder(options ...zstd.DOption) (*zstd.Decoder, error) {
	return zstd.NewReader(nil, append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(c.limit)), zstd.WithDecoderMaxWindow(maxWindow))...) //nolint:gosec // limits are positive
}

// Encode returns a value encoded with a base, which the recipient must have; an empty base is none. Errors are of kind
// Failed.
func (c *Codec) Encode(value, base []byte) ([]byte, error) {
	id := checksums{base: xxhash.Sum64(base), value: xxhash.Sum64(value)}
	c.mu.Lock()
	defer c.mu.Unlock() // recipients of the same value wait for the first one's
	if encoded, ok := c.cached[id]; ok {
		return encoded, nil
	}
	encoded, err := c.encode(value, base, id)
	if err != nil {
		return nil, failure.Wrap("encode", Failed, err)
	}
	if len(c.order) == maxCached {
		delete(c.cached, c.order[0])
		c.order = c.order[1:]
	}
	c.cached[id], c.order = encoded, append(c.order, id)
	return encoded, nil
}

func (c *Codec) encode(value, base []byte, id checksums) ([]byte, error) {
	head := binary.BigEndian.AppendUint64(nil, id.base)
	head = binary.BigEndian.AppendUint64(head, id.value)
	if len(base) == 0 {
		return c.encoder.EncodeAll(value, head), nil
	}
	window := minWindow
	for window < len(value)+len(base) && window < maxWindow {
		window *= 2
	}
	w, err := newEncoder(zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithWindowSize(window), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }() // nothing is written to it
	return w.EncodeAll(value, head), nil
}

// Decode returns the value that was encoded with a base. Errors are of kind Malformed or OtherBase.
func (c *Codec) Decode(encoded, base []byte) ([]byte, error) {
	const op = "decode"
	if len(encoded) < 2*checksumBytes {
		return nil, failure.Wrap(op, Malformed, nil)
	}
	if binary.BigEndian.Uint64(encoded) != xxhash.Sum64(base) {
		return nil, failure.Wrap(op, OtherBase, nil)
	}
	r := c.decoder
	if len(base) > 0 {
		var err error
		if r, err = c.newDecoder(zstd.WithDecoderDictRaw(dictionaryID, base)); err != nil {
			return nil, failure.Wrap(op, Malformed, err)
		}
		defer r.Close()
	}
	value, err := r.DecodeAll(encoded[2*checksumBytes:], nil)
	if err != nil {
		return nil, failure.Wrap(op, Malformed, err)
	}
	if binary.BigEndian.Uint64(encoded[checksumBytes:]) != xxhash.Sum64(value) {
		return nil, failure.Wrap(op, Malformed, nil)
	}
	return value, nil
}
