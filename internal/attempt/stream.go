package attempt

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/placement"
)

const (
	streamBufferBytes = 2 << 10
	maxEventBytes     = 256 << 10
	maxResumeAttempts = 2
)

var (
	idField         = []byte("id:")
	doneEvent       = []byte("data: [DONE]")
	errNoTerminator = errors.New("the stream ended without its terminator")
	errGap          = errors.New("the stream left out or repeated events")
	errTooLong      = errors.New("an event is too long")
	errNoMemory     = errors.New("the host is short of memory")
)

// Stream is a response of server-sent events. It checks that no event is missing or
// repeated, and reconnects to the target to continue after the last event when the
// connection breaks.
type Stream struct {
	client         *Client
	address        string
	call           Call
	response       *exchange.Response
	reader         *bufio.Reader
	event          exchange.Body
	lastOffset     int  // offset of the last event returned, -1 for none
	resumeAttempts int  // including failed ones
	hasOffsets     bool // events carry offsets, so the stream can be resumed
	resumes        int
}

// Stream sends a call and returns the stream of its response. If the response isn't an
// event stream, it is read up to limit bytes and returned as a Response instead.
func (c *Client) Stream(ctx context.Context, address string, call Call, limit int) (*Stream, *Response, error) {
	const op = "attempt"
	response, err := c.open(ctx, address, call, -1)
	if err != nil {
		return nil, nil, err
	}
	if !isEventStream(response) {
		result, err := c.readResponse(ctx, op, response, limit)
		if err != nil {
			return nil, nil, err
		}
		return nil, &result, nil
	}
	return &Stream{
		client: c, address: address, call: call, lastOffset: -1, response: response,
		reader: bufio.NewReaderSize(response, streamBufferBytes), event: exchange.NewBody(c.memory),
	}, nil, nil
}

func isEventStream(response *exchange.Response) bool {
	return response.Status() == fasthttp.StatusOK &&
		bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream"))
}

// Load returns the load that the target reported in the response header.
func (s *Stream) Load() (placement.Load, bool) { return ParseLoad(s.response.Get(core.HeaderLoad)) }

// ResumeCount returns the number of times the stream was resumed.
func (s *Stream) ResumeCount() int { return s.resumes }

// Buffered reports whether bytes of a further event are already in the buffer.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// Next returns the next event including its blank line, and whether it is the
// terminator. The bytes are valid until the next call. The error is of kind Cancelled if
// ctx has ended, TooLarge if there is no memory for the event, and Lost if the stream can't be resumed.
func (s *Stream) Next(ctx context.Context) (event []byte, end bool, err error) {
	for {
		event, end, err = s.read()
		if err == nil {
			return event, end, nil
		}
		if ctx.Err() != nil {
			return nil, false, failure.Wrap("read stream", Cancelled, err)
		}
		if errors.Is(err, errNoMemory) {
			return nil, false, failure.Wrap("read stream", TooLarge, err)
		}
		if !s.resume(ctx) {
			return nil, false, failure.Wrap("read stream", Lost, err)
		}
	}
}

// read returns the next event and checks that its offset follows the previous one.
func (s *Stream) read() ([]byte, bool, error) {
	offset, end, err := s.readEvent()
	switch {
	case err != nil:
		return nil, false, err
	case end:
		return s.event.Bytes, true, nil
	case offset < 0 && !s.hasOffsets:
		return s.event.Bytes, false, nil
	case offset != s.lastOffset+1:
		return nil, false, errGap
	}
	s.hasOffsets = true
	s.lastOffset = offset
	return s.event.Bytes, false, nil
}

// readEvent reads up to the next blank line into s.event. It returns the offset of the
// event, or -1 if it has none, and whether the event is the terminator.
func (s *Stream) readEvent() (offset int, end bool, err error) {
	s.event.Reset()
	offset = -1
	for {
		line, err := s.reader.ReadSlice('\n')
		if !s.event.Append(line) {
			return 0, false, errNoMemory
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(s.event.Bytes) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF):
			return 0, false, errNoTerminator
		case err != nil:
			return 0, false, err
		case len(s.event.Bytes) > maxEventBytes:
			return 0, false, errTooLong
		}
		if len(line) <= len("\r\n") && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return offset, end, nil
		}
		switch {
		case bytes.HasPrefix(line, idField):
			offset = parseOffset(line[len(idField):])
		case bytes.HasPrefix(line, doneEvent):
			end = true
		}
	}
}

// parseOffset parses the value of an id field. It returns -1 unless the value is a
// non-negative integer.
func parseOffset(field []byte) int {
	n, err := strconv.Atoi(string(bytes.TrimSpace(field)))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// resume reopens the stream at the target after the event that was returned last, and
// reports whether it succeeded.
func (s *Stream) resume(ctx context.Context) bool {
	s.response.Close()
	for s.hasOffsets && !s.call.NoResume && s.resumeAttempts < maxResumeAttempts {
		s.resumeAttempts++
		response, err := s.client.open(ctx, s.address, s.call, s.lastOffset)
		if err != nil {
			continue
		}
		if !isEventStream(response) {
			response.Close()
			return false
		}
		s.response = response
		s.reader.Reset(response)
		s.resumes++
		return true
	}
	return false
}

// Finish reads to the end of the body after the terminator, so that the connection can
// be reused. It closes the stream if further events follow.
func (s *Stream) Finish() {
	if _, err := s.reader.ReadByte(); err != nil {
		return
	}
	s.response.Close()
}

// Close closes the stream, after which no event may be used. If its end was not reached, the connection is closed too.
func (s *Stream) Close() {
	s.response.Close()
	s.event.Release()
}

// ReleaseEvent returns the memory of the last event, which must not be used afterwards.
func (s *Stream) ReleaseEvent() { s.event.Release() }

// Address returns the address of the target.
func (s *Stream) Address() string { return s.address }
