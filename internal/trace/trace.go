// Package trace reads the logs of gateway hosts. It gathers the log lines of one call from
// several hosts, and counts failed calls.
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

// maxClockSkew is the clock difference between two hosts up to which Sort orders the lines of a
// forwarded call by the path of the call.
const maxClockSkew = 500 * time.Millisecond

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 4 << 20

// Line is a log line of a host about a call, usually written at its end.
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
	// Diverted are the targets that had no room for the call under their limits.
	Diverted []string `json:"Diverted"`
	// Since is when the call arrived at the host that the caller chose.
	Since time.Time `json:"Since"`
}

// Gather returns the lines of a log about the call with the given ID. Text before the JSON of
// a line is skipped.
func Gather(from io.Reader, id string) ([]Line, error) {
	var out []Line
	err := eachObject(from, func(text []byte) {
		if !bytes.Contains(text, []byte(id)) {
			return
		}
		var line Line
		if err := json.Unmarshal(text, &line); err != nil || line.ID != id {
			return // the text occurs in a line about something else
		}
		out = append(out, line)
	})
	return out, errors.Wrap(err, "trace")
}

// eachObject calls f with the JSON object in each line of a log, without the text before it.
func eachObject(from io.Reader, f func(text []byte)) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if start := bytes.IndexByte(scanner.Bytes(), '{'); start >= 0 {
			f(scanner.Bytes()[start:])
		}
	}
	return scanner.Err()
}

// pathPosition returns the position of a line's host on the path of its call: 0 for the host
// that the caller chose, 1 for the host to which that one forwarded the call.
func pathPosition(l Line) int {
	if l.Received {
		return 1
	}
	return 0
}

// Sort sorts lines by the arrival of the call. Within maxClockSkew, the host that the caller
// chose comes first.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		if a.Received != b.Received && a.Since.Sub(b.Since).Abs() < maxClockSkew {
			return cmp.Compare(pathPosition(a), pathPosition(b))
		}
		return a.Since.Compare(b.Since)
	})
}

// Write writes lines as text, each followed by its steps and its result.
func Write(to io.Writer, lines []Line) error {
	var b strings.Builder
	for _, l := range lines {
		origin := "from its caller"
		if l.Received {
			origin = "from another host"
		}
		fmt.Fprintf(&b, "%s  %s, %s: %s, route %s, service %s, version %d\n", l.Since.Format(timeFormat), l.Host, origin, l.Message, l.Route, l.Service, l.Version)
		if len(l.Diverted) > 0 {
			fmt.Fprintf(&b, "    passed over at their limits: %s\n", strings.Join(l.Diverted, ", "))
		}
		for _, step := range l.Steps {
			fmt.Fprintf(&b, "    %s\n", step)
		}
		fmt.Fprintf(&b, "    status %d, %s, %s, after %d ms and %d sends\n", l.Status, l.Outcome, l.Reason, l.TookMs, l.Sends)
	}
	_, err := io.WriteString(to, b.String())
	return errors.Wrap(err, "trace")
}
