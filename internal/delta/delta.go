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
	// Malformed means that the encoded value is no value of Encode, or too long.
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
	// maxCached bounds the encoded values that an Encoder keeps, for recipients that get the same.
	maxCached = 16
	// checksumBytes is the length of each of the two checksums before the compressed value: of the base and of the value.
	checksumBytes = 8
	// minWindow is the least window of the compression.
	minWindow = 1 << 10
	// maxWindow bounds the window, and with it the memory for one value.
	maxWindow = 4 << 20
)

// Encoder encodes values. It keeps the last encoded ones. It is safe for concurrent use.
type Encoder struct {
	mu     sync.Mutex
	cached map[checksums][]byte
	order  []checksums // of cached, oldest first
}

// checksums identify a value and its base.
type checksums struct{ base, value uint64 }

// NewEncoder returns an Encoder.
func NewEncoder() *Encoder { return &Encoder{cached: map[checksums][]byte{}} }

// Encode returns a value encoded with a base, which the recipient must have; an empty base is none. Errors are of kind
// Failed.
func (e *Encoder) Encode(value, base []byte) ([]byte, error) {
	id := checksums{base: xxhash.Sum64(base), value: xxhash.Sum64(value)}
	e.mu.Lock()
	defer e.mu.Unlock() // recipients of the same value wait for the first one's
	if encoded, ok := e.cached[id]; ok {
		return encoded, nil
	}
	encoded, err := encode(value, base, id)
	if err != nil {
		return nil, failure.Wrap("encode", Failed, err)
	}
	if len(e.order) == maxCached {
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
	e.cached[id], e.order = encoded, append(e.order, id)
	return encoded, nil
}

func encode(value, base []byte, id checksums) ([]byte, error) {
	window := minWindow
	for window < len(value)+len(base) && window < maxWindow {
		window *= 2
	}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window), zstd.WithEncoderCRC(false)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }() // nothing is written to it
	head := binary.BigEndian.AppendUint64(nil, id.base)
	return w.EncodeAll(value, binary.BigEndian.AppendUint64(head, id.value)), nil
}

// Decode returns the value that was encoded with a base, of at most limit bytes. Errors are of kind Malformed or
// OtherBase.
func Decode(encoded, base []byte, limit int) ([]byte, error) {
	const op = "decode"
	if len(encoded) < 2*checksumBytes {
		return nil, failure.Wrap(op, Malformed, nil)
	}
	if binary.BigEndian.Uint64(encoded) != xxhash.Sum64(base) {
		return nil, failure.Wrap(op, OtherBase, nil)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)), zstd.WithDecoderMaxWindow(maxWindow)} //nolint:gosec // limits are positive
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, failure.Wrap(op, Malformed, err)
	}
	defer r.Close()
	value, err := r.DecodeAll(encoded[2*checksumBytes:], nil)
	if err != nil {
		return nil, failure.Wrap(op, Malformed, err)
	}
	if binary.BigEndian.Uint64(encoded[checksumBytes:]) != xxhash.Sum64(value) {
		return nil, failure.Wrap(op, Malformed, nil)
	}
	return value, nil
}
