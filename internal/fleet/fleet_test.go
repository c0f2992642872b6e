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

// limit bounds the wait for a state. It is no measure: a verdict never depends
// on how fast the machine is.
const limit = 30 * time.Second

func chat(tokens int) []byte {
	return fmt.Appendf(nil, `{"model":"tender","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
}

// wholeStream makes a streamed call and fails unless every token came once.
func wholeStream(ctx context.Context, c *client.Client, host string, body []byte, tokens int) error {
	n := 0
	_, err := c.Stream(ctx, client.Request{Path: chatPath, Body: body, Host: host}, func(data []byte) error {
		if !strings.Contains(string(data), fmt.Sprintf("%q", standin.Token(n))) {
			return errors.Errorf("token %d is %s", n, data)
		}
		n++
		return nil
	})
	if err == nil && n != tokens {
		err = errors.Errorf("got %d of %d tokens", n, tokens)
	}
	return err
}

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
	var out []*fleet.Host
	for _, h := range f.Hosts {
		if h.Region == region {
			out = append(out, h)
		}
	}
	return out
}

var _ = Describe("a fleet", func() {
	var f *fleet.Fleet
	var caller *client.Client
	var ctx context.Context

	BeforeEach(func() {
		ctx = context.Background()
		var err error
		f, err = fleet.Start(ctx, fleet.Shape{
			Regions:  []fleet.Region{{Name: "celje", Hosts: 3, Engines: 3, Desks: 1}, {Name: "ravne", Hosts: 2, Engines: 2, Desks: 1}},
			OneWayMs: 55, Engine: standin.EngineOptions{Slots: 8, StepMs: 2, TokensPerStep: 1},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Stop)
		Expect(f.WaitMembers(ctx, 5, f.Hosts)).To(Succeed())
		caller = client.New(fleet.CallerKey, []string{f.Hosts[0].Settings.CallerAddress})
		DeferCleanup(caller.Close)
	})

	It("serves on while hosts that place calls are killed", func() {
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
			Eventually(served.Load).WithTimeout(limit).Should(BeNumerically(">", before+50))
		}
		stop.Store(true)
		wait.Wait()
		Expect(failed.Load()).To(BeZero())
	})

	It("learns the configuration from peers when a region restarts while the store is down", func() {
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

	It("books with issued keys while the store is down, and says truly what is not run", func() {
		f.Store.SetFault(standin.Fault{Down: true})
		host := f.Hosts[0].Settings.CallerAddress
		key, _, err := caller.IssuedKey(ctx, host)
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			answer, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: key, Host: host})
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Outcome).To(Equal(client.Run))
		}
		Expect(effects(f, key)).To(Equal(1))
		chosen := client.NewKey()
		_, err = caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: chosen, Host: host})
		Expect(outcomeOf(err)).To(Equal(client.NotRun))
		_, err = caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: chosen, Host: host, Resend: true})
		Expect(outcomeOf(err)).To(Equal(client.Unknown), "a resend may have been run for all the host knows")
		Expect(effects(f, chosen)).To(BeZero())
		f.Store.SetFault(standin.Fault{})
		Eventually(func() error {
			_, err := caller.Do(ctx, client.Request{Path: bookingPath, Body: []byte(`{}`), Key: chosen, Host: host, Resend: true})
			return err
		}).WithTimeout(limit).Should(Succeed())
		Expect(effects(f, chosen)).To(Equal(1))
	})

	It("makes each booking once, however it is resent, while replies of store and desk are lost", func() {
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
				key, _, err = caller.IssuedKey(ctx, f.Hosts[k%len(f.Hosts)].Settings.CallerAddress)
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

	It("never runs the key of a host that is gone", func() {
		owner := hostsOf(f, "ravne")[0]
		key, _, err := caller.IssuedKey(ctx, owner.Settings.CallerAddress)
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

	It("loses at most two targets to a request that ends them, and spares others", func() {
		const marker = "crash-me"
		for _, e := range f.Engines {
			e.SetFault(standin.Fault{CrashOn: marker})
		}
		poison := fmt.Appendf(nil, `{"model":"tender","stream":true,"max_tokens":5,"messages":[{"role":"user","content":%q}]}`, marker)
		for range 3 {
			for _, h := range f.Hosts {
				_, err := caller.Stream(ctx, client.Request{Path: chatPath, Body: poison, Host: h.Settings.CallerAddress}, func([]byte) error { return nil })
				Expect(err).To(HaveOccurred())
			}
		}
		dead := 0
		for _, e := range f.Engines {
			if e.RequestCounts()[chatPath] > 0 && e.Counts().Started == 0 {
				dead++
			}
		}
		Expect(dead).To(BeNumerically("<=", 2))
		Expect(wholeStream(ctx, caller, f.Hosts[0].Settings.CallerAddress, chat(5), 5)).To(Succeed())
	})

	It("sends calls of a region without targets to another, once, and none past residency", func() {
		body := []byte(`{"Targets":{"tender-celje-1":null,"tender-celje-2":null,"tender-celje-3":null}}`)
		op := operator.NewClient(f.Hosts[0].Settings.CallerAddress, fleet.OperatorKey)
		_, err := op.Patch(ctx, ledger.Patch{ID: "no-targets", Base: 1, Kind: config.MergePatch, Body: body}, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.WaitVersion(ctx, 2, f.Hosts)).To(Succeed())
		Eventually(func() error {
			return wholeStream(ctx, caller, f.Hosts[0].Settings.CallerAddress, chat(5), 5)
		}).WithTimeout(limit).Should(Succeed())
		home := client.New(fleet.HomeKey, []string{f.Hosts[0].Settings.CallerAddress})
		defer home.Close()
		_, err = home.Do(ctx, client.Request{Path: chatPath, Body: chat(5), Host: f.Hosts[0].Settings.CallerAddress})
		Expect(outcomeOf(err)).To(Equal(client.NotRun))
	})

	It("tells a caller whose host dies in the middle of its stream", func() {
		host := f.Hosts[1]
		var once sync.Once
		_, err := caller.Stream(ctx, client.Request{Path: chatPath, Body: chat(2000), Host: host.Settings.CallerAddress}, func([]byte) error {
			once.Do(func() { f.Kill(host) })
			return nil
		})
		Expect(outcomeOf(err)).To(Equal(client.Unknown))
	})

	It("finishes streams and bookings through a drain, and turns new calls away as not run", func() {
		host := f.Hosts[1]
		address := host.Settings.CallerAddress
		began := make(chan struct{}, 8)
		results := make(chan error, 8)
		for range cap(results) {
			go func() {
				first := true
				n := 0
				_, err := caller.Stream(ctx, client.Request{Path: chatPath, Body: chat(500), Host: address}, func([]byte) error {
					if first {
						first = false
						began <- struct{}{}
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
		for range cap(began) {
			Eventually(began).WithTimeout(limit).Should(Receive())
		}
		drained := make(chan error, 1)
		go func() { drained <- host.Daemon.Drain(ctx) }()
		Eventually(func() bool {
			_, err := caller.Do(ctx, client.Request{Path: chatPath, Body: chat(1), Host: address})
			var failed *client.Error
			return errors.As(err, &failed) && failed.Reason == "Leaving" && failed.Outcome == client.NotRun
		}).WithTimeout(limit).Should(BeTrue())
		for range cap(results) {
			Expect(<-results).To(Succeed())
		}
		Expect(<-drained).To(Succeed())
		Expect(slices.Contains(caller.Hosts(ctx), address)).To(BeFalse())
	})
})
