package gateway

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
)

// FuzzEvents checks that only complete events are read: the bytes read are a prefix of the
// stream, end with an empty line, and do not depend on how the stream is split into reads.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndat"))
	f.Add([]byte("\n\n\n: comment\n\ndata\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, err := readEvents(newEventReader(bytes.NewReader(stream), exchange.NewMemoryBudget(maxEventBytes)))
		byByte, errByByte := readEvents(newEventReader(iotest.OneByteReader(bytes.NewReader(stream)), exchange.NewMemoryBudget(maxEventBytes)))
		if !bytes.Equal(whole, byByte) || isEOF(err) != isEOF(errByByte) {
			t.Fatalf("read at once: %q (%v), read byte by byte: %q (%v)", whole, err, byByte, errByByte)
		}
		if !bytes.HasPrefix(stream, whole) {
			t.Fatalf("%q is not a prefix of %q", whole, stream)
		}
		if isEOF(err) && len(whole) != len(stream) {
			t.Fatalf("io.EOF after %d of %d bytes", len(whole), len(stream))
		}
	})
}

func readEvents(e *eventReader) ([]byte, error) {
	var out []byte
	for {
		event, err := e.next()
		if err != nil {
			return out, err
		}
		if !isBlank(event[bytes.LastIndexByte(event[:len(event)-1], '\n')+1:]) {
			return out, io.ErrNoProgress
		}
		out = append(out, event...)
	}
}
