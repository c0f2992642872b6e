// Package trace gathers what the logs of many hosts say of one call.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// sameCall is how far the clocks of hosts may differ for a call that went from one
// to the other to be shown in this order.
const sameCall = 500 * time.Millisecond

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// maxLineBytes bounds a line of a log.
const maxLineBytes = 4 << 20

// Line is what one host's log says of a call at its end.
type Line struct {
	Time     string   `json:"ts"`
	Host     string   `json:"Host"`
	Logger   string   `json:"logger"`
	Message  string   `json:"msg"`
	ID       string   `json:"ID"`
	Route    string   `json:"Route"`
	Service  string   `json:"Service"`
	Version  uint64   `json:"Version"`
	Received bool     `json:"Received"`
	Status   int      `json:"Status"`
	Outcome  string   `json:"Outcome"`
	Reason   string   `json:"Reason"`
	TookMs   int64    `json:"TookMs"`
	Sends    int      `json:"Sends"`
	Steps    []string `json:"Steps"`
	// Since is when the call came to the first host.
	Since time.Time `json:"Since"`
}

// Gather reads the lines on a call from a log, whatever stands before their JSON.
func Gather(from io.Reader, id string) ([]Line, error) {
	var out []Line
	err := eachObject(from, func(text []byte) {
		if !bytes.Contains(text, []byte(id)) {
			return
		}
		var line Line
		if err := json.Unmarshal(text, &line); err != nil || line.ID != id {
			return // a line of something else that holds the same text
		}
		out = append(out, line)
	})
	return out, errors.Wrap(err, "trace")
}

// eachObject calls f with the JSON of each line of a log, whatever stands before it.
func eachObject(from io.Reader, f func(text []byte)) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if at := bytes.IndexByte(scanner.Bytes(), '{'); at >= 0 {
			f(scanner.Bytes()[at:])
		}
	}
	return scanner.Err()
}

// order puts the caller's host first.
func order(l Line) int {
	if l.Received {
		return 1
	}
	return 0
}

// Sort orders lines by when the call came, the caller's host first.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if a.Received != b.Received && a.Since.Sub(b.Since).Abs() < sameCall {
			return cmp.Compare(order(a), order(b))
		}
		return a.Since.Compare(b.Since)
	})
}

// Write writes lines for people.
func Write(to io.Writer, lines []Line) error {
	var b strings.Builder
	for _, l := range lines {
		came := "from its caller"
		if l.Received {
			came = "from another host"
		}
		fmt.Fprintf(&b, "%s  %s, %s: %s, route %s, service %s, version %d\n", l.Since.Format(timeFormat), l.Host, came, l.Message, l.Route, l.Service, l.Version)
		for _, step := range l.Steps {
			fmt.Fprintf(&b, "    %s\n", step)
		}
		fmt.Fprintf(&b, "    status %d, %s, %s, after %d ms and %d sends\n", l.Status, l.Outcome, l.Reason, l.TookMs, l.Sends)
	}
	_, err := io.WriteString(to, b.String())
	return errors.Wrap(err, "trace")
}
