package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/fleet"
	"github.com/sequoiarack/sequoiarack/internal/standin"
	"github.com/sequoiarack/sequoiarack/pkg/client"
)

const (
	chatPath    = "/v1/chat/completions"
	bookingPath = "/services/" + fleet.DeskService + "/bookings"
)

func chatBody(prompt string, tokens int) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		fleet.ModelService, tokens, prompt)
}

// streamResult is what a caller received of a stream.
type streamResult struct {
	response   client.Response
	firstToken time.Duration
	tokens     int
}

// stream sends a call and checks that each token arrives once and in order.
func stream(ctx context.Context, c *client.Client, r client.Request, tokens int) (streamResult, error) {
	result := streamResult{}
	started := time.Now()
	response, err := c.Stream(ctx, r, func(data []byte) error {
		if result.tokens == 0 {
			result.firstToken = time.Since(started)
		}
		want := standin.Token(result.tokens)
		if got := content(data); got != want {
			return errors.Errorf("token %d: got %q, want %q", result.tokens, got, want)
		}
		result.tokens++
		return nil
	})
	result.response = response
	if err == nil && result.tokens != tokens {
		err = errors.Errorf("got %d tokens, want %d", result.tokens, tokens)
	}
	return result, err
}

// content returns the content of an event of a chat stream, or the raw data if it
// has none.
func content(data []byte) string {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &event) != nil || len(event.Choices) == 0 {
		return string(data)
	}
	return event.Choices[0].Delta.Content
}

func checkChatStream(ctx context.Context, s *session) (string, error) {
	const tokens = 100
	got, err := stream(ctx, s.caller, client.Request{Path: chatPath, Body: chatBody("Compare lots 4 and 7.", tokens)}, tokens)
	return fmt.Sprintf("%d tokens, first after %s", got.tokens, got.firstToken.Round(time.Millisecond)), err
}

func checkLongStream(ctx context.Context, s *session) (string, error) {
	const tokens = 1500
	got, err := stream(ctx, s.caller, client.Request{Path: chatPath, Body: chatBody("Draft the tender for Graz.", tokens)}, tokens)
	return fmt.Sprintf("%d tokens from %s", got.tokens, got.response.Target), err
}

// effects counts how often a key took effect at all desks together.
func (s *session) effects(key string) int {
	n := 0
	for _, desk := range s.fleet.Desks {
		n += desk.Effects()[key]
	}
	return n
}

// checkResentBooking sends bookings to several hosts, each with a key of the caller
// or an issued key, and checks that each takes effect once.
func checkResentBooking(ctx context.Context, s *session) (string, error) {
	const keys = 20
	totalRuns, totalEffects := 0, 0
	for i := range keys {
		key, host := client.NewKey(), s.fleet.Hosts[i%len(s.fleet.Hosts)].Settings.CallerAddress
		if i%2 == 1 {
			var err error
			if key, _, err = s.caller.IssueKey(ctx, host); err != nil {
				return "", err
			}
		}
		runs, err := s.sendToHosts(ctx, key, host)
		if err != nil {
			return "", err
		}
		totalRuns += runs
		totalEffects += s.effects(key)
		if n := s.effects(key); n != 1 {
			return "", errors.Errorf("key %s took effect %d times", key, n)
		}
	}
	return fmt.Sprintf("%d keys, %d sends answered Run, %d effects", keys, totalRuns, totalEffects), nil
}

// sendToHosts sends a booking to the host at the address first and to three more
// hosts at once, and returns the number of responses with the outcome Run. There
// must be at least one, all of them must have the same body, and no response may
// have the outcome NotRun.
func (s *session) sendToHosts(ctx context.Context, key, first string) (int, error) {
	hosts := []string{first}
	for _, i := range []int{1, 6, 11} {
		hosts = append(hosts, s.fleet.Hosts[i].Settings.CallerAddress)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var bodies []string
	runs := 0
	var falseNotRun error
	for _, host := range hosts {
		wait.Go(func() {
			response, err := s.caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{"Lot":7}`), Key: key, Host: host, Resend: true})
			mu.Lock()
			defer mu.Unlock()
			var failed *client.Error
			switch {
			case err == nil && response.Outcome == client.Run:
				bodies = append(bodies, string(response.Body))
				runs++
			case errors.As(err, &failed) && failed.Outcome == client.NotRun:
				falseNotRun = err
			}
		})
	}
	wait.Wait()
	slices.Sort(bodies)
	if bodies = slices.Compact(bodies); len(bodies) != 1 {
		return 0, errors.Errorf("key %s: expected one response body, got %q", key, bodies)
	}
	if falseNotRun != nil {
		return 0, errors.Wrap(falseNotRun, "a booking that took effect got the outcome NotRun")
	}
	return runs, nil
}

// checkResidency loads the home region of a caller whose residency is that region
// alone, while the other regions are idle.
func checkResidency(ctx context.Context, s *session) (string, error) {
	const marker, calls = "confidential-lot-4711", 60
	home := client.New(fleet.HomeKey, []string{s.fleet.Hosts[0].Settings.CallerAddress})
	defer home.Close()
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for range calls {
		wait.Go(func() {
			got, err := stream(ctx, home, client.Request{Path: chatPath, Body: chatBody(marker, 50)}, 50)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && got.response.Region == "celje" {
				served++
			}
		})
	}
	wait.Wait()
	_, err := home.Do(ctx, client.Request{Path: chatPath, Body: chatBody(marker, 5), Host: s.fleet.Hosts[6].Settings.CallerAddress})
	var failed *client.Error
	if !errors.As(err, &failed) || failed.Outcome != client.NotRun {
		return "", errors.Errorf("a host of another region did not refuse the call: %v", err)
	}
	for name, engine := range s.fleet.Engines {
		if !strings.Contains(name, "celje") && engine.HasReceived(marker) {
			return "", errors.Errorf("engine %s received the data", name)
		}
	}
	if s.fleet.Store.HasReceived(marker) {
		return "", errors.New("the store received the data")
	}
	if served != calls {
		return "", errors.Errorf("%d of %d calls were served in the home region", served, calls)
	}
	return fmt.Sprintf("%d of %d calls served at home, none elsewhere", served, calls), nil
}

// checkResumedStream makes the engines of the first region break a stream off after
// 40 events, and checks that another connection resumes it.
func checkResumedStream(ctx context.Context, s *session) (string, error) {
	const tokens, cutAfter = 200, 40
	for name, engine := range s.fleet.Engines {
		if strings.Contains(name, "celje") {
			engine.SetFault(standin.Fault{TruncateStreams: 1, TruncateAfterEvents: cutAfter})
			defer engine.SetFault(standin.Fault{})
		}
	}
	_, err := stream(ctx, s.caller, client.Request{Path: chatPath, Body: chatBody("Resume me.", tokens)}, tokens)
	resumed := 0
	for _, engine := range s.fleet.Engines {
		resumed += engine.Counts().Resumed
	}
	if err == nil && resumed == 0 {
		err = errors.New("no stream was resumed")
	}
	return fmt.Sprintf("%d tokens over %d connections", tokens, resumed+1), err
}

// checkCallerDisconnect checks that an engine cancels a call within a second after
// its caller has disconnected.
func checkCallerDisconnect(ctx context.Context, s *session) (string, error) {
	const tokens = 5000
	before := s.cancelledCalls()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var disconnected time.Time
	_, err := s.caller.Stream(callCtx, client.Request{Path: chatPath, Body: chatBody("Never mind.", tokens)}, func([]byte) error {
		disconnected = time.Now()
		return errors.New("the caller disconnects")
	})
	if err == nil {
		return "", errors.New("the call did not fail")
	}
	if err := s.fleet.Wait(ctx, func() bool { return s.cancelledCalls() > before }); err != nil {
		return "", errors.New("no engine cancelled the call")
	}
	took := time.Since(disconnected)
	if took > time.Second {
		return "", errors.Errorf("the engine cancelled the call only after %s", took)
	}
	return fmt.Sprintf("the engine stopped after %s", took.Round(time.Millisecond)), nil
}

// cancelledCalls counts the calls that the engines cancelled.
func (s *session) cancelledCalls() int {
	n := 0
	for _, engine := range s.fleet.Engines {
		n += engine.Counts().Cancelled
	}
	return n
}
