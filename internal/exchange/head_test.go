package exchange_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// headCase is a response of testdata/heads.json. Without a Status, it must not be taken for a response.
type headCase struct {
	Name, Bytes string
	Status      int
	Body        string
	Incomplete  bool // the fault is behind the head
}

func headCases() []headCase {
	data, err := os.ReadFile("testdata/heads.json")
	if err != nil {
		panic(err)
	}
	var out []headCase
	if err := json.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	return out
}

// scriptedConn is a connection on which the peer has sent text and then closed.
type scriptedConn struct {
	net.Conn
	text io.Reader
}

func (c scriptedConn) Read(b []byte) (int, error)  { return c.text.Read(b) }
func (c scriptedConn) Write(b []byte) (int, error) { return len(b), nil }
func (c scriptedConn) Close() error                { return nil }

// scriptedDialer opens connections on which the peer has sent a text.
type scriptedDialer string

func (s scriptedDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return scriptedConn{text: strings.NewReader(string(s))}, nil
}

// readText reads a response from a peer that sends text and closes the connection.
func readText(text string) (status int, body string, err error) {
	status, body, _, err = readReported(text)
	return status, body, err
}

// readReported is like readText, and returns the number of responses that were reported as malformed.
func readReported(text string) (status int, body string, malformed int, err error) {
	pool := exchange.NewPool(scriptedDialer(text), exchange.WithCloseDelimited(),
		exchange.WithOnMalformed(func(string, error) { malformed++ }))
	defer pool.Close()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://peer/")
	response, err := pool.Do(context.Background(), "peer", request)
	if err != nil {
		if malformed == 0 && isMalformed(err) {
			panic("a malformed response was not reported")
		}
		return 0, "", malformed, err
	}
	const limit = 1 << 20
	data, err := response.ReadAll(limit)
	return response.Status(), string(data), malformed, err
}

func isMalformed(err error) bool {
	kind, _ := failure.KindOf[exchange.Kind](err)
	return kind == exchange.Malformed
}

var _ = Describe("the head of a response", func() {
	for _, c := range headCases() {
		if c.Status > 0 {
			It("is read with "+c.Name, func() {
				status, body, malformed, err := readReported(c.Bytes)
				Expect(malformed).To(BeZero())
				Expect(err).NotTo(HaveOccurred())
				Expect(status).To(Equal(c.Status))
				Expect(body).To(Equal(c.Body))
			})
			continue
		}
		// Guards against bytes outside the grammar of HTTP that callers get as a response (MIXED).
		It("is rejected with "+c.Name, func() {
			_, _, malformed, err := readReported(c.Bytes)
			want := exchange.Malformed
			if c.Incomplete {
				want = exchange.Incomplete
			}
			Expect(kindOf(err)).To(Equal(want))
			Expect(malformed).To(Equal(1))
		})
	}
})

// The following read a response a second time, by regular expressions after the grammar of RFC 9110 and RFC 9112.
const (
	fieldPattern = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r\\n"
	headPattern  = `^HTTP/1\.([0-9]) ([1-5][0-9]{2}) [\t\x20-\x7e\x80-\xff]*\r\n((?:` + fieldPattern + `)*)\r\n`
)

var (
	headExpression    = regexp.MustCompile(headPattern)
	lengthExpression  = regexp.MustCompile(`(?im)^content-length:[\t ]*([0-9]+)[\t ]*\r$`)
	codingExpression  = regexp.MustCompile(`(?im)^transfer-encoding:[\t ]*chunked[\t ]*\r$`)
	chunkExpression   = regexp.MustCompile(`^([0-9A-Fa-f]+)[\t ]*(?:;[^\r\n]*)?\r\n`)
	trailerExpression = regexp.MustCompile(`^(?:` + fieldPattern + `)*\r\n`)
)

// latin1 maps each byte to the character of the same number, so that expressions match bytes.
func latin1(text string) string {
	var b strings.Builder
	for i := range len(text) {
		b.WriteRune(rune(text[i]))
	}
	return b.String()
}

// unmapped is the inverse of latin1.
func unmapped(text string) string {
	var out []byte
	for _, r := range text {
		out = append(out, byte(r))
	}
	return string(out)
}

// readAgain returns the final response that the text holds by the grammar, and false if there is none.
func readAgain(text string) (status int, body string, ok bool) {
	rest := latin1(text)
	for {
		found := headExpression.FindStringSubmatch(rest)
		if found == nil {
			return 0, "", false
		}
		rest = rest[len(found[0]):]
		status, _ = strconv.Atoi(found[2])
		if status == fasthttp.StatusSwitchingProtocols {
			return 0, "", false
		}
		if status < fasthttp.StatusOK {
			continue
		}
		body, ok = bodyAgain(status, found[3], rest)
		return status, unmapped(body), ok
	}
}

func bodyAgain(status int, fields, rest string) (string, bool) {
	length := lengthExpression.FindStringSubmatch(fields)
	switch {
	case status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		return "", true
	case codingExpression.MatchString(fields):
		return chunksAgain(rest)
	case length != nil:
		n, err := strconv.Atoi(length[1])
		characters := []rune(rest)
		if err != nil || n > len(characters) {
			return "", false
		}
		return string(characters[:n]), true
	default:
		return rest, true
	}
}

func chunksAgain(rest string) (string, bool) {
	body := ""
	for {
		found := chunkExpression.FindStringSubmatch(rest)
		if found == nil {
			return "", false
		}
		characters := []rune(rest[len(found[0]):])
		n, err := strconv.ParseUint(found[1], 16, 63)
		if err != nil {
			return "", false
		}
		if n == 0 {
			return body, trailerExpression.MatchString(string(characters))
		}
		if int(n)+2 > len(characters) || string(characters[n:n+2]) != "\r\n" {
			return "", false
		}
		body, rest = body+string(characters[:n]), string(characters[n+2:])
	}
}

// FuzzResponse checks that whatever bytes a peer sends, a response is what a second, independent reading by
// the grammar finds, or an error.
func FuzzResponse(f *testing.F) {
	for _, c := range headCases() {
		f.Add([]byte(c.Bytes))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		status, body, err := readText(string(text))
		if err != nil {
			return
		}
		wantStatus, wantBody, ok := readAgain(string(text))
		if !ok {
			t.Fatalf("status %d and %q were read from bytes that are no response", status, body)
		}
		if status != wantStatus || body != wantBody {
			t.Fatalf("status %d and %q were read in place of %d and %q", status, body, wantStatus, wantBody)
		}
	})
}
