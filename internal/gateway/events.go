package gateway

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

// eventReader reads a stream one whole event at a time, so that a stream that breaks
// off within an event never shows a part of it.
type eventReader struct {
	from *bufio.Reader
	// last is the ID of the newest event that has one.
	last string
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, eventBufferBytes)}
}

// next returns the bytes of the next event with the empty line that ends it. It
// returns io.EOF only at the end of a stream that is whole.
func (e *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		line, err := e.from.ReadSlice('\n')
		event = append(event, line...)
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
			return nil, errors.New("an event is too long")
		}
		if isBlank(line) && len(event) > len(line) {
			break
		}
	}
	if id, ok := eventID(event); ok {
		e.last = id
	}
	return event, nil
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
