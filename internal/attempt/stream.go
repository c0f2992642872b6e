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
	resumeTries       = 2
)

var (
	idField    = []byte("id:")
	doneEvent  = []byte("data: [DONE]")
	errNoEnd   = errors.New("the stream ended without its terminator")
	errGap     = errors.New("the stream left out or repeated events")
	errTooLong = errors.New("an event is too long")
)

// Stream is an answer in server-sent events. It checks that no event is
// missing or repeated, and resumes at the target where the connection broke.
type Stream struct {
	client   *Client
	address  string
	call     Call
	response *exchange.Response
	reader   *bufio.Reader
	event    []byte
	last     int // offset of the last event returned, -1 for none
	tries    int
	numbered bool
	resumed  int
}

// Stream starts a call whose answer is a stream. An answer that is none comes
// back as an Answer.
func (c *Client) Stream(ctx context.Context, address string, call Call, limit int) (*Stream, *Response, error) {
	const op = "attempt"
	response, err := c.open(ctx, address, call, -1)
	if err != nil {
		return nil, nil, err
	}
	if !isEventStream(response) {
		answer, err := c.readWhole(ctx, op, response, limit)
		if err != nil {
			return nil, nil, err
		}
		return nil, &answer, nil
	}
	return &Stream{
		client: c, address: address, call: call, last: -1, response: response,
		reader: bufio.NewReaderSize(response, streamBufferBytes),
	}, nil, nil
}

func isEventStream(response *exchange.Response) bool {
	return response.Status() == fasthttp.StatusOK &&
		bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream"))
}

// Load returns the load report that came with the answer.
func (s *Stream) Load() (placement.Load, bool) { return ParseLoad(s.response.Get(core.HeaderLoad)) }

// ResumeCount returns how often the stream was resumed.
func (s *Stream) ResumeCount() int { return s.resumed }

// Buffered reports whether another event can be read without waiting.
func (s *Stream) Buffered() bool { return s.reader.Buffered() > 0 }

// Next returns the next event with its blank line, and whether it is the
// terminator. The bytes are valid until the following call.
func (s *Stream) Next(ctx context.Context) (event []byte, end bool, err error) {
	for {
		event, end, err = s.read()
		if err == nil {
			return event, end, nil
		}
		if ctx.Err() != nil {
			return nil, false, failure.Wrap("read stream", Cancelled, err)
		}
		if !s.resume(ctx) {
			return nil, false, failure.Wrap("read stream", Lost, err)
		}
	}
}

// read returns the next event. A numbered one must follow the last.
func (s *Stream) read() ([]byte, bool, error) {
	offset, end, err := s.readEvent()
	switch {
	case err != nil:
		return nil, false, err
	case end:
		return s.event, true, nil
	case offset < 0 && !s.numbered:
		return s.event, false, nil
	case offset != s.last+1:
		return nil, false, errGap
	}
	s.numbered = true
	s.last = offset
	return s.event, false, nil
}

// readEvent reads up to the next blank line into s.event and returns the
// event's offset, -1 when it has none.
func (s *Stream) readEvent() (offset int, end bool, err error) {
	s.event = s.event[:0]
	offset = -1
	for {
		line, err := s.reader.ReadSlice('\n')
		s.event = append(s.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(s.event) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF):
			return 0, false, errNoEnd
		case err != nil:
			return 0, false, err
		case len(s.event) > maxEventBytes:
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

func parseOffset(field []byte) int {
	n, err := strconv.Atoi(string(bytes.TrimSpace(field)))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// resume continues at the target after the last event that was returned.
func (s *Stream) resume(ctx context.Context) bool {
	s.response.Close()
	for s.numbered && !s.call.NoResume && s.tries < resumeTries {
		s.tries++
		response, err := s.client.open(ctx, s.address, s.call, s.last)
		if err != nil {
			continue
		}
		if !isEventStream(response) {
			response.Close()
			return false
		}
		s.response = response
		s.reader.Reset(response)
		s.resumed++
		return true
	}
	return false
}

// Finish reads what follows the terminator, so that the connection can be used
// again.
func (s *Stream) Finish() {
	if _, err := s.reader.ReadByte(); err != nil {
		return
	}
	s.response.Close()
}

// Close gives the stream up.
func (s *Stream) Close() { s.response.Close() }

// Address returns the address of the target.
func (s *Stream) Address() string { return s.address }
