package exchange

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = readBufferBytes

// maxQuotedBytes bounds the part of a faulty line that an error quotes.
const maxQuotedBytes = 64

// framing is how the end of a body is declared.
type framing struct {
	chunked   bool
	hasLength bool
	length    int
}

// headReader reads the head of a response by the grammar of RFC 9110 and RFC 9112. A head outside the
// grammar is an error of kind Malformed.
type headReader struct {
	from     *bufio.Reader
	read     int           // bytes
	fields   bytes.Buffer  // lines of the head but for those of the framing, as they came
	lines    *bufio.Reader // of fields
	status   int
	isHTTP10 bool
	body     framing
}

var headReaders = sync.Pool{New: func() any { return &headReader{lines: bufio.NewReaderSize(nil, 2*maxHeadBytes)} }}

// readHead reads the next head into h, which states HTTP/1.1 whatever the version of the peer. It returns the
// declared framing and whether the connection persists after the response.
func readHead(from *bufio.Reader, h *fasthttp.ResponseHeader) (body framing, persists bool, err error) {
	r, _ := headReaders.Get().(*headReader)
	defer headReaders.Put(r)
	r.reset(from)
	if err := r.readLines(); err != nil {
		return framing{}, false, err
	}
	if err := r.checkFraming(); err != nil {
		return framing{}, false, err
	}
	if err := r.store(h); err != nil {
		return framing{}, false, malformed("field", "%s", quote([]byte(err.Error())))
	}
	return r.body, !r.isHTTP10 && !h.ConnectionClose(), nil
}

func (r *headReader) reset(from *bufio.Reader) {
	r.fields.Reset()
	r.from, r.read, r.status, r.isHTTP10, r.body = from, 0, 0, false, framing{}
}

// malformed returns the error for a head whose part breaks the grammar.
func malformed(part, format string, args ...any) error {
	return wrap("read head", Malformed, errors.Errorf(part+": "+format, args...))
}

// quote returns the begin of a line for an error.
func quote(line []byte) string {
	return strconv.QuoteToASCII(string(line[:min(len(line), maxQuotedBytes)]))
}

// quoteName returns the begin of the name in a field line for an error. Values may be secret, such as the keys of
// callers, and so may a line without a colon, which continues a value for some readers.
func quoteName(line []byte) string {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return strconv.Itoa(len(line)) + " bytes without a colon"
	}
	return quote(name) + ", " + strconv.Itoa(len(value)) + " bytes"
}

// readLines reads the lines of the head up to the empty one.
func (r *headReader) readLines() error {
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if err := r.parseStatusLine(line); err != nil {
		return err
	}
	for {
		if line, err = r.readLine(); err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		if err := r.parseField(line); err != nil {
			return err
		}
	}
}

// readLine returns the next line without its end. It is valid until the next read.
func (r *headReader) readLine() ([]byte, error) {
	line, err := readLine(r.from)
	if errors.Is(err, io.EOF) && r.read+len(line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if r.read += len(line) + len(lineEnd); r.read > maxHeadBytes || errors.Is(err, bufio.ErrBufferFull) {
		return nil, malformed("head", "longer than %d bytes", maxHeadBytes)
	}
	return line, err
}

const lineEnd = "\r\n"

// readLine returns the next line without its end, or what there is of it and an error.
func readLine(from *bufio.Reader) ([]byte, error) {
	line, err := from.ReadSlice('\n')
	if err != nil {
		return line, err
	}
	trimmed, ok := bytes.CutSuffix(line, []byte(lineEnd))
	if !ok {
		return nil, malformed("line end", "%s", quote(line))
	}
	return trimmed, nil
}

// parseStatusLine parses HTTP-version SP status-code SP [ reason-phrase ].
func (r *headReader) parseStatusLine(line []byte) error {
	const prefix = "HTTP/1."
	const codeAt, codeDigits = len(prefix) + len("1 "), 3
	if len(line) <= codeAt+codeDigits || !bytes.HasPrefix(line, []byte(prefix)) || !isDigit(line[len(prefix)]) ||
		line[codeAt-1] != ' ' || line[codeAt+codeDigits] != ' ' {
		return malformed("status line", "%s", quote(line))
	}
	code, reason := line[codeAt:codeAt+codeDigits], line[codeAt+codeDigits+1:]
	for _, digit := range code {
		if !isDigit(digit) {
			return malformed("status line", "%s", quote(line))
		}
		r.status = 10*r.status + int(digit-'0')
	}
	const lowest, highest = 100, 599
	if r.status < lowest || r.status > highest || !isFieldValue(reason) {
		return malformed("status line", "%s", quote(line))
	}
	r.isHTTP10 = line[len(prefix)] == '0'
	r.fields.WriteString("HTTP/1.1 ")
	r.fields.Write(line[codeAt:])
	r.fields.WriteString(lineEnd)
	return nil
}

// parseField parses field-name ":" OWS field-value OWS, and keeps the line unless it is one of the framing.
func (r *headReader) parseField(line []byte) error {
	name, value, err := cutField(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		return r.parseLength(value)
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		if r.body.chunked || r.isHTTP10 || !bytes.EqualFold(value, []byte("chunked")) {
			return malformed("transfer coding", "%s", quote(line))
		}
		r.body.chunked = true
		return nil
	}
	r.fields.Write(line)
	r.fields.WriteString(lineEnd)
	return nil
}

// CheckRequest returns an error of kind Malformed if the head or the trailer of a request is outside the grammar of RFC 9110 and
// RFC 9112. The library that has parsed it joins continued lines and takes names with blanks.
func CheckRequest(h *fasthttp.RequestHeader) error {
	if method := h.Method(); len(method) == 0 || !isToken(method) {
		return malformed("method", "%s", quoteName(method)) // a field line after a body of a wrong length, or so it may be
	}
	if target := h.RequestURI(); len(target) == 0 || bytes.ContainsAny(target, " \t") || !isFieldValue(target) {
		return malformed("request target", "%d bytes", len(target))
	}
	if len(h.PeekTrailerKeys()) > 0 {
		if err := checkFields(h.TrailerHeader()); err != nil {
			return err
		}
	}
	return checkFields(h.RawHeaders())
}

// checkFields checks field lines with the empty line after them.
func checkFields(lines []byte) error {
	for len(lines) > 0 {
		line, rest, ok := bytes.Cut(lines, []byte(lineEnd))
		if lines = rest; len(line) == 0 && ok && len(lines) == 0 {
			return nil
		}
		if !ok {
			return malformed("line end", "%s", quoteName(line))
		}
		if _, _, err := cutField(line); err != nil {
			return err
		}
	}
	return nil
}

// cutField returns the name and the value of a field line.
func cutField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || !isToken(name) {
		return nil, nil, malformed("field name", "%s", quoteName(line))
	}
	if !isFieldValue(value) {
		return nil, nil, malformed("field value", "%s", quoteName(line))
	}
	return name, bytes.Trim(value, " \t"), nil
}

func (r *headReader) parseLength(value []byte) error {
	length, err := strconv.ParseInt(string(value), 10, strconv.IntSize)
	if err != nil || !isDigit(value[0]) || r.body.hasLength {
		return malformed("length", "%s", quote(value))
	}
	r.body.hasLength, r.body.length = true, int(length)
	return nil
}

// checkFraming reports framing that contradicts itself or the status.
func (r *headReader) checkFraming() error {
	if r.body.chunked && r.body.hasLength {
		return malformed("framing", "both a transfer coding and a length")
	}
	isEmpty := r.status < fasthttp.StatusOK || r.status == fasthttp.StatusNoContent
	if isEmpty && (r.body.chunked || r.body.length > 0) {
		return malformed("framing", "a body after status %d", r.status)
	}
	return nil
}

// store parses the lines into h, with the framing.
func (r *headReader) store(h *fasthttp.ResponseHeader) error {
	if r.body.chunked {
		r.fields.WriteString(fasthttp.HeaderTransferEncoding + ": chunked" + lineEnd)
	}
	if r.body.hasLength {
		r.fields.WriteString(fasthttp.HeaderContentLength + ": " + strconv.Itoa(r.body.length) + lineEnd)
	}
	r.fields.WriteString(lineEnd)
	r.lines.Reset(&r.fields)
	return h.Read(r.lines)
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// tokenBytes holds the bytes of tokens.
var tokenBytes = func() (out [256]bool) {
	for i := range out {
		b := byte(i)
		isLetter := b|0x20 >= 'a' && b|0x20 <= 'z'
		out[i] = isLetter || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
	return out
}()

// isToken reports whether all bytes may stand in a field name.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return true
}

// isFieldValue reports whether all bytes may stand in a field value or a reason phrase.
func isFieldValue(b []byte) bool {
	const tab, space, del = '\t', ' ', 0x7f
	for _, c := range b {
		if c != tab && (c < space || c == del) {
			return false
		}
	}
	return true
}
