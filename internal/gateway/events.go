package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
)

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

// eventReader reads a stream of server-sent events one complete event at a time, so that a
// stream that breaks off within an event yields no part of it.
type eventReader struct {
	from  *bufio.Reader
	event exchange.Body // the last one
	// lastID is the ID of the last event that had one.
	lastID string
}

func newEventReader(from io.Reader, memory *exchange.MemoryBudget) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, eventBufferBytes), event: exchange.NewBody(memory)}
}

// next returns the bytes of the next event, including the empty line that ends it; they are valid until
// the next call. It returns
// io.EOF only at the end of a complete stream, and io.ErrUnexpectedEOF within an event.
func (e *eventReader) next() ([]byte, error) {
	e.event.Reset()
	event, err := e.read()
	if err != nil {
		e.release()
		return nil, err
	}
	if id, ok := eventID(event); ok {
		e.lastID = id
	}
	return event, nil
}

// release returns the memory of the last event, which must not be used any more.
func (e *eventReader) release() { e.event.Release() }

// read reads the next event into e.event.
func (e *eventReader) read() ([]byte, error) {
	for {
		line, err := e.from.ReadSlice('\n')
		if !e.event.Append(line) {
			return nil, errors.New("the memory for long events and bodies is used up")
		}
		event := e.event.Bytes
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if isEOF(err) && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(event) >= maxEventBytes {
			return nil, errors.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if isBlank(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// eventID returns the value of the first id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
