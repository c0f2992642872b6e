package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/fleet"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/operator"
	"github.com/sequoiarack/sequoiarack/internal/standin"
	"github.com/sequoiarack/sequoiarack/pkg/client"
)

const (
	chatPath    = "/v1/chat/completions"
	bookingPath = "/services/desk/bookings"
)

// waitTimeout limits the wait for a state. It is long, so that the result of a test
// does not depend on the speed of the machine.
const waitTimeout = 30 * time.Second

func chat(tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"tender","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
}

// wholeStream sends a streaming call and returns an error unless each token arrives
// once and in order.
func wholeStream(ctx context.Context, c *client.Client, host string, body []byte, tokens int) error {
	n := 0
	_, err := c.Stream(ctx, client.Request{Path: chatPath, Body: body, Host: host}, func(data []byte) error {
		if !strings.Contains(string(data), fmt.Sprintf("%q", standin.Token(n))) {
			return errors.Errorf("token %d: got %s", n, data)
		}
		n++
		return nil
	})
	if err == nil && n != tokens {
		err = errors.Errorf("got %d of %d tokens", n, tokens)
	}
	return err
}

// effects returns how often a key took effect at all desks together.
func effects(f *fleet.Fleet, key string) int {
	n := 0
	for _, desk := range f.Desks {
		n += desk.Effects()[key]
	}
	return n
}

func outcomeOf(err error) client.Outcome {
	var failed *client.Error
	ExpectWithOffset(1, errors.As(err, &failed)).To(BeTrue(), "%v", err)
	return failed.Outcome
}

func hostsOf(f *fleet.Fleet, region string) []*fleet.Host {
	var hosts []*fleet.Host
	for _, h := range f.Hosts {
		if h.Region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

var _ = Describe("Fleet", func() {
	var f *fleet.Fleet
	var caller *client.Client
	var ctx context.Context

	BeforeEach(func() {
		ctx = context.Background()
		var err error
		f, err = fleet.Start(ctx, fleet.Spec{
			Regions:  []fleet.RegionSpec{{Name: "celje", Hosts: 3, Engines: 3, Desks: 1}, {Name: "ravne", Hosts: 2, Engines: 2, Desks: 1}},
			OneWayMs: 55, Engine: standin.EngineOptions{Slots: 8, StepMs: 2, TokensPerStep: 1},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Stop)
		Expect(f.WaitMembers(ctx, 5, f.Hosts)).To(Succeed())
		caller = client.New(fleet.CallerKey, []string{f.Hosts[0].Settings.CallerAddress})
		DeferCleanup(caller.Close)
	})

	It("serves streams without failures while placing hosts are killed", func() {
		survivor := f.Hosts[0]
		var stop atomic.Bool
		var served, failed atomic.Int64
		var wait sync.WaitGroup
		for range 4 {
			wait.Go(func() {
				for !stop.Load() {
					if err := wholeStream(ctx, caller, survivor.Settings.CallerAddress, chat(20), 20); err != nil {
						failed.Add(1)
					}
					served.Add(1)
				}
			})
		}
		for _, h := range f.Hosts[1:3] {
			before := served.Load()
			f.Kill(h)
			Eventually(served.Load).WithTimeout(waitTimeout).Should(BeNumerically(">", before+50))
		}
		stop.Store(true)
		wait.Wait()
		Expect(failed.Load()).To(BeZero())
	})

	It("loads the configuration from peers when a region restarts while the store is down", func() {
		f.Store.SetFault(standin.Fault{Down: true})
		ravne := hostsOf(f, "ravne")
		for _, h := range ravne {
			f.Kill(h)
		}
		for _, h := range ravne {
			Expect(f.Restart(h)).To(Succeed())
		}
		Expect(f.WaitVersion(ctx, 1, ravne)).To(Succeed())
		Expect(wholeStream(ctx, caller, ravne[0].Settings.CallerAddress, chat(5), 5)).To(Succeed())
	})

	It("accepts issued keys while the store is down, and reports the correct outcome for other keys", func() {
		f.Store.SetFault(standin.Fault{Down: true})
		host := f.Hosts[0].Settings.CallerAddress
		key, _, err := caller.IssueKey(ctx, host)
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			response, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: key, Host: host})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Outcome).To(Equal(client.Run))
		}
		Expect(effects(f, key)).To(Equal(1))
		callerKey := client.NewKey()
		_, err = caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: callerKey, Host: host})
		Expect(outcomeOf(err)).To(Equal(client.NotRun))
		_, err = caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: callerKey, Host: host, Resend: true})
		Expect(outcomeOf(err)).To(Equal(client.Unknown), "the host cannot know whether an earlier send has run")
		Expect(effects(f, callerKey)).To(BeZero())
		f.Store.SetFault(standin.Fault{})
		Eventually(func() error {
			_, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: callerKey, Host: host, Resend: true})
			return err
		}).WithTimeout(waitTimeout).Should(Succeed())
		Expect(effects(f, callerKey)).To(Equal(1))
	})

	It("executes each booking once when it is sent to all hosts while replies of the store and the desks are lost", func() {
		const keys = 30
		f.Store.SetFault(standin.Fault{LoseReplies: 15})
		for _, desk := range f.Desks {
			desk.SetFault(standin.Fault{LoseReplies: 5})
		}
		var wait sync.WaitGroup
		var falseNotRun atomic.Int64
		for k := range keys {
			key := client.NewKey()
			if k%2 == 1 {
				var err error
				key, _, err = caller.IssueKey(ctx, f.Hosts[k%len(f.Hosts)].Settings.CallerAddress)
				Expect(err).NotTo(HaveOccurred())
			}
			for _, h := range f.Hosts {
				wait.Go(func() {
					_, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: key, Host: h.Settings.CallerAddress, Resend: true})
					var failed *client.Error
					if errors.As(err, &failed) && failed.Outcome == client.NotRun && effects(f, key) > 0 {
						falseNotRun.Add(1)
					}
				})
			}
		}
		wait.Wait()
		for _, desk := range f.Desks {
			for key, n := range desk.Effects() {
				Expect(n).To(Equal(1), key)
			}
		}
		Expect(falseNotRun.Load()).To(BeZero())
	})

	It("never runs a call with a key that was issued by a crashed host", func() {
		owner := hostsOf(f, "ravne")[0]
		key, _, err := caller.IssueKey(ctx, owner.Settings.CallerAddress)
		Expect(err).NotTo(HaveOccurred())
		f.Kill(owner)
		Expect(f.Restart(owner)).To(Succeed())
		Expect(f.WaitVersion(ctx, 1, f.Hosts)).To(Succeed())
		for _, h := range f.Hosts {
			_, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: key, Host: h.Settings.CallerAddress, Resend: true})
			Expect(outcomeOf(err)).To(Equal(client.Unknown))
		}
		Expect(effects(f, key)).To(BeZero())
	})

	It("quarantines a request that crashes targets after at most two crashes, and serves other requests", func() {
		const marker = "crash-me"
		for _, e := range f.Engines {
			e.SetFault(standin.Fault{CrashOn: marker})
		}
		crashBody := fmt.Appendf(nil, `{"model":"tender","stream":true,"max_tokens":5,"messages":[{"role":"user","content":%q}]}`, marker)
		for range 3 {
			for _, h := range f.Hosts {
				_, err := caller.Stream(ctx, client.Request{Path: chatPath, Body: crashBody, Host: h.Settings.CallerAddress}, func([]byte) error { return nil })
				Expect(err).To(HaveOccurred())
			}
		}
		crashed := 0
		for _, e := range f.Engines {
			if e.RequestCounts()[chatPath] > 0 && e.Counts().Started == 0 {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically("<=", 2))
		Expect(wholeStream(ctx, caller, f.Hosts[0].Settings.CallerAddress, chat(5), 5)).To(Succeed())
	})

	It("forwards calls from a region without targets once to another region, unless residency forbids it", func() {
		body := []byte(`{"Targets":{"tender-celje-1":null,"tender-celje-2":null,"tender-celje-3":null}}`)
		op := operator.NewClient(f.Hosts[0].Settings.CallerAddress, fleet.OperatorKey)
		_, err := op.Patch(ctx, ledger.Patch{ID: "no-targets", Base: 1, Kind: config.MergePatch, Body: body}, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.WaitVersion(ctx, 2, f.Hosts)).To(Succeed())
		Eventually(func() error {
			return wholeStream(ctx, caller, f.Hosts[0].Settings.CallerAddress, chat(5), 5)
		}).WithTimeout(waitTimeout).Should(Succeed())
		home := client.New(fleet.HomeKey, []string{f.Hosts[0].Settings.CallerAddress})
		defer home.Close()
		_, err = home.Do(ctx, client.Request{Path: chatPath, Body: chat(5), Host: f.Hosts[0].Settings.CallerAddress})
		Expect(outcomeOf(err)).To(Equal(client.NotRun))
	})

	It("returns the outcome Unknown if the host crashes during a stream", func() {
		host := f.Hosts[1]
		var once sync.Once
		_, err := caller.Stream(ctx, client.Request{Path: chatPath, Body: chat(2000), Host: host.Settings.CallerAddress}, func([]byte) error {
			once.Do(func() { f.Kill(host) })
			return nil
		})
		Expect(outcomeOf(err)).To(Equal(client.Unknown))
	})

	It("finishes running streams during a drain, and refuses new calls with the outcome NotRun", func() {
		host := f.Hosts[1]
		address := host.Settings.CallerAddress
		started := make(chan struct{}, 8)
		results := make(chan error, 8)
		for range cap(results) {
			go func() {
				first := true
				n := 0
				_, err := caller.Stream(ctx, client.Request{Path: chatPath, Body: chat(500), Host: address}, func([]byte) error {
					if first {
						first = false
						started <- struct{}{}
					}
					n++
					return nil
				})
				if err == nil && n != 500 {
					err = errors.Errorf("got %d tokens", n)
				}
				results <- err
			}()
		}
		for range cap(started) {
			Eventually(started).WithTimeout(waitTimeout).Should(Receive())
		}
		drained := make(chan error, 1)
		go func() { drained <- host.Daemon.Drain(ctx) }()
		Eventually(func() bool {
			_, err := caller.Do(ctx, client.Request{Path: chatPath, Body: chat(1), Host: address})
			var failed *client.Error
			return errors.As(err, &failed) && failed.Reason == "Leaving" && failed.Outcome == client.NotRun
		}).WithTimeout(waitTimeout).Should(BeTrue())
		for range cap(results) {
			Expect(<-results).To(Succeed())
		}
		Expect(<-drained).To(Succeed())
		Expect(slices.Contains(caller.Hosts(ctx), address)).To(BeFalse())
	})
})
