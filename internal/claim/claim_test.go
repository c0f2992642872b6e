package claim_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/claim"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue/etcd"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/seal"
	"github.com/sequoiarack/sequoiarack/internal/standin"
	"github.com/sequoiarack/sequoiarack/pkg/client"
)

const retention = 24 * time.Hour

var _ = Describe("an idempotency key", func() {
	signer := seal.New("the-fleet's-first-key", "the-fleet's-old-key")
	now := time.Now()

	It("identifies the process that issued it", func() {
		text := claim.Issue(seal.New("the-fleet's-old-key"), now, "celje-a", 42)
		key, err := claim.Parse(signer, text, now, retention)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{key.Issued, key.Host, key.Incarnation}).To(Equal([]any{true, "celje-a", int64(42)}))
	})

	It("holds its creation time when the caller chose it", func() {
		key, err := claim.Parse(signer, client.NewKey(), time.Now(), retention)
		Expect(err).NotTo(HaveOccurred())
		Expect(key.Issued).To(BeFalse())
		Expect(key.CreatedAt).To(BeTemporally("~", time.Now(), time.Minute))
	})

	DescribeTable("is rejected",
		func(text string, at time.Time, want claim.Kind) {
			_, err := claim.Parse(signer, text, at, retention)
			kind, _ := failure.KindOf[claim.Kind](err)
			Expect(err).To(HaveOccurred())
			Expect(kind).To(Equal(want))
		},
		Entry("in an unknown format", "booking-7", now, claim.BadKey),
		Entry("when it is a UUID of another version", "018cc251-f400-4000-8000-000000000000", now, claim.BadKey),
		Entry("with a forged signature", claim.Issue(seal.New("another-fleet's-key"), now, "celje-a", 42), now, claim.BadKey),
		Entry("when it was created in the future", client.NewKey(), now.Add(-time.Hour), claim.BadKey),
		Entry("when a chosen key is older than the retention", client.NewKey(), now.Add(25*time.Hour), claim.Expired),
		Entry("when an issued key is older than the retention", claim.Issue(signer, now, "celje-a", 42), now.Add(25*time.Hour), claim.Expired),
	)
})

var _ = Describe("a committer", func() {
	var store *standin.KeyValue
	var ctx context.Context

	committer := func() *claim.Committer {
		pool := exchange.NewPool(link.NewSystem(""))
		c := claim.NewCommitter(etcd.NewClient(pool, []string{store.Address()}), clock.System{}, retention)
		running, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Run(running)
		}()
		DeferCleanup(func() {
			stop()
			<-done
			pool.Close()
		})
		return c
	}
	record := func() claim.Record {
		return claim.Record{Host: "celje-a", Incarnation: 1, Attempt: core.NewID(), Body: "digest"}
	}
	deadline := func() time.Time { return time.Now().Add(10 * time.Second) }

	BeforeEach(func() {
		ctx = context.Background()
		store = standin.NewKeyValue()
		Expect(store.Listen("127.0.0.1:0")).To(Succeed())
		DeferCleanup(store.Kill)
	})

	It("gives each key to exactly one of several hosts, also when replies are lost", func() {
		const hosts, keys = 8, 20
		committers := make([]*claim.Committer, hosts)
		for i := range committers {
			committers[i] = committer()
		}
		store.SetFault(standin.Fault{LoseReplies: 10})
		var mu sync.Mutex
		winners := map[string]int{}
		var group sync.WaitGroup
		for _, c := range committers {
			for k := range keys {
				group.Go(func() {
					defer GinkgoRecover()
					key := fmt.Sprintf("key-%d", k)
					result, err := c.Claim(ctx, key, record(), deadline())
					Expect(err).NotTo(HaveOccurred())
					mu.Lock()
					defer mu.Unlock()
					if result.Owned {
						winners[key]++
					}
				})
			}
		}
		group.Wait()
		Expect(winners).To(HaveLen(keys))
		for key, n := range winners {
			Expect(n).To(Equal(1), key)
		}
	})

	It("batches claims into transactions", func() {
		const claims = 200
		c := committer()
		var group sync.WaitGroup
		for k := range claims {
			group.Go(func() {
				defer GinkgoRecover()
				_, err := c.Claim(ctx, fmt.Sprintf("key-%d", k), record(), deadline())
				Expect(err).NotTo(HaveOccurred())
			})
		}
		group.Wait()
		Expect(c.Claims.Load()).To(Equal(int64(claims)))
		Expect(c.Transactions.Load()).To(BeNumerically("<", claims/4))
	})

	It("lets a released key be claimed again, and does not delete the new claim with a late release", func() {
		a, b := committer(), committer()
		first, err := a.Claim(ctx, "key", record(), deadline())
		Expect(err).NotTo(HaveOccurred())
		a.Release("key", first)
		var second claim.Result
		Eventually(func() bool {
			second, err = b.Claim(ctx, "key", record(), deadline())
			Expect(err).NotTo(HaveOccurred())
			return second.Owned
		}).Should(BeTrue())
		a.Release("key", first)
		// The committer handles requests in order: once this claim is made, the release
		// has been handled.
		_, err = a.Claim(ctx, "other", record(), deadline())
		Expect(err).NotTo(HaveOccurred())
		third, err := a.Claim(ctx, "key", record(), deadline())
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Owned).To(BeFalse())
		Expect(third.Record).To(Equal(second.Record))
	})

	It("fails a claim when the store does not answer in time, and releases it afterwards", func() {
		c := committer()
		store.SetFault(standin.Fault{ResponseDelayMs: 300})
		_, err := c.Claim(ctx, "key", record(), time.Now().Add(50*time.Millisecond))
		kind, _ := failure.KindOf[claim.Kind](err)
		Expect(kind).To(Equal(claim.Unconfirmed))
		store.SetFault(standin.Fault{})
		Eventually(func() bool {
			result, err := c.Claim(ctx, "key", record(), deadline())
			Expect(err).NotTo(HaveOccurred())
			return result.Owned
		}).WithTimeout(10 * time.Second).Should(BeTrue())
	})
})

var _ = Describe("a registry", func() {
	now := time.Unix(1_700_000_000, 0)

	It("begins a key once and stores its response", func() {
		registry := claim.NewRegistry(retention)
		entry, status := registry.Begin(now, "key", "body")
		Expect(status).To(Equal(claim.Fresh))
		again, status := registry.Begin(now, "key", "body")
		Expect(status).To(Equal(claim.Known))
		_, status = registry.Begin(now, "key", "another body")
		Expect(status).To(Equal(claim.Mismatch))
		registry.Finish("key", entry, claim.Response{Outcome: core.Run, Status: 201})
		Eventually(again.Done()).Should(BeClosed())
		Expect(again.Response().Status).To(Equal(201))
	})

	It("lets a key begin again only if its call was not run", func() {
		registry := claim.NewRegistry(retention)
		for outcome, want := range map[core.Outcome]claim.KeyStatus{core.NotRun: claim.Fresh, core.Run: claim.Known, core.Unknown: claim.Known} {
			entry, _ := registry.Begin(now, outcome.String(), "body")
			registry.Finish(outcome.String(), entry, claim.Response{Outcome: outcome})
			_, status := registry.Begin(now, outcome.String(), "body")
			Expect(status).To(Equal(want), outcome.String())
		}
	})

	It("gives waiting calls the response of another process when a key is forgotten", func() {
		registry := claim.NewRegistry(retention)
		entry, _ := registry.Begin(now, "key", "body")
		waiting, _ := registry.Begin(now, "key", "body")
		registry.Forget("key", entry, claim.Response{Outcome: core.Run, Status: 201})
		Expect(waiting.Response().Outcome).To(Equal(core.Run))
		_, status := registry.Begin(now, "key", "body")
		Expect(status).To(Equal(claim.Fresh))
	})
})
