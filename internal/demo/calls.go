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

// streamed is what a caller saw of a stream.
type streamed struct {
	answer     client.Answer
	firstToken time.Duration
	tokens     int
}

// stream makes a call and checks that each token comes once and in order.
func stream(ctx context.Context, c *client.Client, r client.Request, tokens int) (streamed, error) {
	out := streamed{}
	began := time.Now()
	answer, err := c.Stream(ctx, r, func(data []byte) error {
		if out.tokens == 0 {
			out.firstToken = time.Since(began)
		}
		want := standin.Token(out.tokens)
		if got := content(data); got != want {
			return errors.Errorf("token %d: got %q, want %q", out.tokens, got, want)
		}
		out.tokens++
		return nil
	})
	out.answer = answer
	if err == nil && out.tokens != tokens {
		err = errors.Errorf("got %d tokens, want %d", out.tokens, tokens)
	}
	return out, err
}

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

func chatStream(ctx context.Context, s *stage) (string, error) {
	const tokens = 100
	got, err := stream(ctx, s.buyer, client.Request{Path: chatPath, Body: chatBody("Compare lots 4 and 7.", tokens)}, tokens)
	return fmt.Sprintf("%d tokens, first after %s", got.tokens, got.firstToken.Round(time.Millisecond)), err
}

func longTender(ctx context.Context, s *stage) (string, error) {
	const tokens = 1500
	got, err := stream(ctx, s.buyer, client.Request{Path: chatPath, Body: chatBody("Draft the tender for Graz.", tokens)}, tokens)
	return fmt.Sprintf("%d tokens from %s", got.tokens, got.answer.Target), err
}

// effects counts how often a key took effect at all desks together.
func (s *stage) effects(key string) int {
	n := 0
	for _, desk := range s.fleet.Desks {
		n += desk.Effects()[key]
	}
	return n
}

func resentBooking(ctx context.Context, s *stage) (string, error) {
	const keys = 20
	runs, total := 0, 0
	for i := range keys {
		key, host := client.NewKey(), s.fleet.Hosts[i%len(s.fleet.Hosts)].Settings.CallerAddress
		if i%2 == 1 {
			var err error
			if key, _, err = s.buyer.IssuedKey(ctx, host); err != nil {
				return "", err
			}
		}
		answers, err := s.bookEverywhere(ctx, key, host)
		if err != nil {
			return "", err
		}
		runs += answers
		total += s.effects(key)
		if n := s.effects(key); n != 1 {
			return "", errors.Errorf("key %s took effect %d times", key, n)
		}
	}
	return fmt.Sprintf("%d keys, %d sends answered Run, %d effects", keys, runs, total), nil
}

// bookEverywhere sends one booking to its own and three other hosts at once and
// counts the answers with the outcome Run. At least one must have it, and all
// of those must name the same booking.
func (s *stage) bookEverywhere(ctx context.Context, key, first string) (int, error) {
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
			a, err := s.buyer.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{"Lot":7}`), Key: key, Host: host, Resend: true})
			mu.Lock()
			defer mu.Unlock()
			var failed *client.Error
			switch {
			case err == nil && a.Outcome == client.Run:
				bodies = append(bodies, string(a.Body))
				runs++
			case errors.As(err, &failed) && failed.Outcome == client.NotRun:
				falseNotRun = err
			}
		})
	}
	wait.Wait()
	slices.Sort(bodies)
	if bodies = slices.Compact(bodies); len(bodies) != 1 {
		return 0, errors.Errorf("expected one answer to all sends of %s, got %q", key, bodies)
	}
	if falseNotRun != nil {
		return 0, errors.Wrap(falseNotRun, "a booking that was made was said not to have run")
	}
	return runs, nil
}

// residencyHolds loads the home region of a caller whose data may only be
// there, while the other regions are idle.
func residencyHolds(ctx context.Context, s *stage) (string, error) {
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
			if err == nil && got.answer.Region == "celje" {
				served++
			}
		})
	}
	wait.Wait()
	_, err := home.Do(ctx, client.Request{Path: chatPath, Body: chatBody(marker, 5), Host: s.fleet.Hosts[6].Settings.CallerAddress})
	var failed *client.Error
	if !errors.As(err, &failed) || failed.Outcome != client.NotRun {
		return "", errors.Errorf("a host of another region took the call: %v", err)
	}
	for name, engine := range s.fleet.Engines {
		if !strings.Contains(name, "celje") && engine.HasReceived(marker) {
			return "", errors.Errorf("engine %s saw the data", name)
		}
	}
	if s.fleet.Store.HasReceived(marker) {
		return "", errors.New("the store saw the data")
	}
	if served != calls {
		return "", errors.Errorf("%d of %d calls were served at home", served, calls)
	}
	return fmt.Sprintf("%d of %d calls served at home, none elsewhere", served, calls), nil
}

func resumedStream(ctx context.Context, s *stage) (string, error) {
	const tokens, cuts = 200, 40
	for name, engine := range s.fleet.Engines {
		if strings.Contains(name, "celje") {
			engine.SetFault(standin.Fault{TruncateStreams: 1, TruncateAfterEvents: cuts})
			defer engine.SetFault(standin.Fault{})
		}
	}
	_, err := stream(ctx, s.buyer, client.Request{Path: chatPath, Body: chatBody("Resume me.", tokens)}, tokens)
	resumed := 0
	for _, engine := range s.fleet.Engines {
		resumed += engine.Counts().Resumed
	}
	if err == nil && resumed == 0 {
		err = errors.New("no stream was cut")
	}
	return fmt.Sprintf("%d tokens over %d connections", tokens, resumed+1), err
}

func hangUp(ctx context.Context, s *stage) (string, error) {
	const tokens = 5000
	before := s.cancelled()
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	var gone time.Time
	_, err := s.buyer.Stream(calling, client.Request{Path: chatPath, Body: chatBody("Never mind.", tokens)}, func([]byte) error {
		gone = time.Now()
		return errors.New("the caller hangs up")
	})
	if err == nil {
		return "", errors.New("the call was not given up")
	}
	if err := s.fleet.Wait(ctx, func() bool { return s.cancelled() > before }); err != nil {
		return "", errors.New("no engine cancelled the work")
	}
	took := time.Since(gone)
	if took > time.Second {
		return "", errors.Errorf("the engine worked on for %s", took)
	}
	return fmt.Sprintf("the engine stopped after %s", took.Round(time.Millisecond)), nil
}

func (s *stage) cancelled() int {
	n := 0
	for _, engine := range s.fleet.Engines {
		n += engine.Counts().Cancelled
	}
	return n
}
