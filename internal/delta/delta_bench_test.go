package delta_test

import (
	"testing"

	"github.com/sequoiarack/sequoiarack/internal/delta"
)

// BenchmarkUpdate encodes and decodes what a host that reads the store sends when little has changed.
func BenchmarkUpdate(b *testing.B) {
	for _, c := range []struct {
		name   string
		routes int
	}{{"few changes", 4}, {"a configuration", 50}, {"a long configuration", 4500}} {
		value, base := configuration(c.routes, 2), configuration(c.routes, 1)
		b.Run("whole/"+c.name, func(b *testing.B) { encodeAndDecode(b, value, nil) })
		b.Run("difference/"+c.name, func(b *testing.B) { encodeAndDecode(b, value, base) })
	}
}

func encodeAndDecode(b *testing.B, value, base []byte) {
	b.ReportAllocs()
	codec := delta.NewCodec(limit)
	for b.Loop() {
		value = append(value, ' ') // so that it is not cached
		encoded, err := codec.Encode(value, base)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := codec.Decode(encoded, base); err != nil {
			b.Fatal(err)
		}
	}
}
