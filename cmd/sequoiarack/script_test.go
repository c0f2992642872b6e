package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	benchcmd "github.com/sequoiarack/sequoiarack/cmd/sequoiarack-bench/cmd"
	"github.com/sequoiarack/sequoiarack/cmd/sequoiarack/cmd"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/pkg/client"
)

// updateEnv is the environment variable that makes the tests update the golden
// output of the scripts.
const updateEnv = "SEQUOIARACK_UPDATE"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiarack":       func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"sequoiarack-bench": func() { os.Exit(benchcmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

var networkCount atomic.Int64

// TestScripts runs the scripts in testdata/script. Each uses loopback addresses of
// its own, which start with $NET.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: os.Getenv(updateEnv) != "",
		Setup: func(e *testscript.Env) error {
			const firstOctet, perOctet = 210, 200
			n := networkCount.Add(1)
			e.Setenv("NET", fmt.Sprintf("127.%d.%d", firstOctet+n/perOctet, 1+n%perOctet))
			e.Setenv("KEY", client.NewKey())
			const headerBytes = 20_000
			e.Setenv("BIG", strings.Repeat("x", headerBytes))
			e.Setenv("OPERATOR_DIGEST", config.Digest("operator-key"))
			e.Setenv("CALLER_DIGEST", config.Digest("caller-key"))
			e.Setenv("HOME_DIGEST", config.Digest("home-key"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand": expand,
			"await":  await,
			"call":   call,
		},
	})
}

// expand implements "expand FILE...", which expands the environment variables in
// files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

const (
	requestTimeout = 30 * time.Second
	awaitInterval  = 20 * time.Millisecond
)

// await implements "await URL [TEXT]", which waits for status 200 with the text in
// the body.
func await(ts *testscript.TestScript, _ bool, args []string) {
	text := ""
	if len(args) > 1 {
		text = args[1]
	}
	for start := time.Now(); time.Since(start) < requestTimeout; time.Sleep(awaitInterval) {
		status, _, body, err := send(request{method: http.MethodGet, url: args[0], headers: []string{"Authorization: Bearer operator-key"}})
		if err == nil && status == http.StatusOK && strings.Contains(body, text) {
			return
		}
	}
	ts.Fatalf("%s did not respond with status 200 and %q", args[0], text)
}

type request struct {
	method  string
	url     string
	headers []string
	body    []byte
}

// call implements "call METHOD URL [-H HEADER]... [-d BODY | -f FILE] [-n BYTES]",
// which sends a request and prints the status, outcome, reason and body of the
// response.
func call(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: call METHOD URL [-H HEADER]... [-d BODY | -f FILE] [-n BYTES]")
	}
	r := request{method: args[0], url: args[1]}
	for i := 2; i+1 < len(args); i += 2 {
		switch args[i] {
		case "-H":
			r.headers = append(r.headers, args[i+1])
		case "-d":
			r.body = []byte(args[i+1])
		case "-f":
			r.body = []byte(ts.ReadFile(args[i+1]))
		case "-n":
			var n int
			_, err := fmt.Sscan(args[i+1], &n)
			ts.Check(err)
			r.body = bytes.Repeat([]byte("x"), n)
		}
	}
	status, header, body, err := send(r)
	if err != nil {
		if !neg {
			ts.Fatalf("%v", err)
		}
		return
	}
	_, err = fmt.Fprintf(ts.Stdout(), "status %d\noutcome %s\nreason %s\n%s\n", status, header.Get("Sequoiarack-Outcome"), reasonOf(body), body)
	ts.Check(err)
	if neg != (status >= http.StatusBadRequest) {
		ts.Fatalf("status %d: %s", status, body)
	}
}

func reasonOf(body string) string {
	var parsed struct{ Reason string }
	if json.Unmarshal([]byte(body), &parsed) != nil {
		return ""
	}
	return parsed.Reason
}

func send(r request) (status int, header http.Header, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, bytes.NewReader(r.body))
	if err != nil {
		return 0, nil, "", err
	}
	for _, h := range r.headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}
