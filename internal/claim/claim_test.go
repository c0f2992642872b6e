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

var _ = Describe("a key", func() {
	sealer := seal.New("the-fleet's-first-key", "the-fleet's-old-key")
	now := time.Now()

	It("names the process that issued it", func() {
		text := claim.Issue(seal.New("the-fleet's-old-key"), now, "celje-a", 42)
		key, err := claim.Parse(sealer, text, now, retention)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{key.Issued, key.Host, key.Incarnation}).To(Equal([]any{true, "celje-a", int64(42)}))
	})

	It("carries its age when the caller chose it", func() {
		key, err := claim.Parse(sealer, client.NewKey(), time.Now(), retention)
		Expect(err).NotTo(HaveOccurred())
		Expect(key.Issued).To(BeFalse())
		Expect(key.CreatedAt).To(BeTemporally("~", time.Now(), time.Minute))
	})

	DescribeTable("is refused",
		func(text string, at time.Time, want claim.Kind) {
			_, err := claim.Parse(sealer, text, at, retention)
			kind, _ := failure.KindOf[claim.Kind](err)
			Expect(err).To(HaveOccurred())
			Expect(kind).To(Equal(want))
		},
		Entry("without form", "booking-7", now, claim.BadKey),
		Entry("of another version", "018cc251-f400-4000-8000-000000000000", now, claim.BadKey),
		Entry("with a forged seal", claim.Issue(seal.New("another-fleet's-key"), now, "celje-a", 42), now, claim.BadKey),
		Entry("from the future", client.NewKey(), now.Add(-time.Hour), claim.BadKey),
		Entry("when it is old", client.NewKey(), now.Add(25*time.Hour), claim.Expired),
		Entry("when it is old, also an issued one", claim.Issue(sealer, now, "celje-a", 42), now.Add(25*time.Hour), claim.Expired),
	)
})

var _ = Describe("claims in the store", func() {
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
	soon := func() time.Time { return time.Now().Add(10 * time.Second) }

	BeforeEach(func() {
		ctx = context.Background()
		store = standin.NewKeyValue()
		Expect(store.Listen("127.0.0.1:0")).To(Succeed())
		DeferCleanup(store.Kill)
	})

	It("go to one of many hosts, also when replies are lost", func() {
		const hosts, keys = 8, 20
		committers := make([]*claim.Committer, hosts)
		for i := range committers {
			committers[i] = committer()
		}
		store.SetFault(standin.Fault{LoseReplies: 10})
		var mu sync.Mutex
		winners := map[string]int{}
		var wait sync.WaitGroup
		for _, c := range committers {
			for k := range keys {
				wait.Go(func() {
					defer GinkgoRecover()
					key := fmt.Sprintf("key-%d", k)
					result, err := c.Claim(ctx, key, record(), soon())
					Expect(err).NotTo(HaveOccurred())
					mu.Lock()
					defer mu.Unlock()
					if result.Owned {
						winners[key]++
					}
				})
			}
		}
		wait.Wait()
		Expect(winners).To(HaveLen(keys))
		for key, n := range winners {
			Expect(n).To(Equal(1), key)
		}
	})

	It("share transactions", func() {
		const claims = 200
		c := committer()
		var wait sync.WaitGroup
		for k := range claims {
			wait.Go(func() {
				defer GinkgoRecover()
				_, err := c.Claim(ctx, fmt.Sprintf("key-%d", k), record(), soon())
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wait.Wait()
		Expect(c.Claims.Load()).To(Equal(int64(claims)))
		Expect(c.Transactions.Load()).To(BeNumerically("<", claims/4))
	})

	It("can be made again after a call that was not run, and a late deletion spares them", func() {
		a, b := committer(), committer()
		first, err := a.Claim(ctx, "key", record(), soon())
		Expect(err).NotTo(HaveOccurred())
		a.Release("key", first)
		var second claim.Result
		Eventually(func() bool {
			second, err = b.Claim(ctx, "key", record(), soon())
			Expect(err).NotTo(HaveOccurred())
			return second.Owned
		}).Should(BeTrue())
		a.Release("key", first)
		// Another claim goes through the same duty after the deletion.
		_, err = a.Claim(ctx, "other", record(), soon())
		Expect(err).NotTo(HaveOccurred())
		third, err := a.Claim(ctx, "key", record(), soon())
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Owned).To(BeFalse())
		Expect(third.Record).To(Equal(second.Record))
	})

	It("are given up when the store does not answer in time, and then withdrawn", func() {
		c := committer()
		store.SetFault(standin.Fault{LateMs: 300})
		_, err := c.Claim(ctx, "key", record(), time.Now().Add(50*time.Millisecond))
		kind, _ := failure.KindOf[claim.Kind](err)
		Expect(kind).To(Equal(claim.Unconfirmed))
		store.SetFault(standin.Fault{})
		Eventually(func() bool {
			result, err := c.Claim(ctx, "key", record(), soon())
			Expect(err).NotTo(HaveOccurred())
			return result.Owned
		}).WithTimeout(10 * time.Second).Should(BeTrue())
	})
})

var _ = Describe("a book", func() {
	now := time.Unix(1_700_000_000, 0)

	It("runs a key once and remembers its answer", func() {
		book := claim.NewRegistry(retention)
		entry, verdict := book.Begin(now, "key", "body")
		Expect(verdict).To(Equal(claim.Fresh))
		again, verdict := book.Begin(now, "key", "body")
		Expect(verdict).To(Equal(claim.Known))
		_, verdict = book.Begin(now, "key", "another body")
		Expect(verdict).To(Equal(claim.Mismatch))
		book.Finish("key", entry, claim.Response{Outcome: core.Run, Status: 201})
		Eventually(again.Done()).Should(BeClosed())
		Expect(again.Response().Status).To(Equal(201))
	})

	It("lets a key that was not run begin again, and no other", func() {
		book := claim.NewRegistry(retention)
		for outcome, want := range map[core.Outcome]claim.KeyStatus{core.NotRun: claim.Fresh, core.Run: claim.Known, core.Unknown: claim.Known} {
			entry, _ := book.Begin(now, outcome.String(), "body")
			book.Finish(outcome.String(), entry, claim.Response{Outcome: outcome})
			_, verdict := book.Begin(now, outcome.String(), "body")
			Expect(verdict).To(Equal(want), outcome.String())
		}
	})

	It("gives those who wait the answer that was got elsewhere", func() {
		book := claim.NewRegistry(retention)
		entry, _ := book.Begin(now, "key", "body")
		waiting, _ := book.Begin(now, "key", "body")
		book.Forget("key", entry, claim.Response{Outcome: core.Run, Status: 201})
		Expect(waiting.Response().Outcome).To(Equal(core.Run))
		_, verdict := book.Begin(now, "key", "body")
		Expect(verdict).To(Equal(claim.Fresh))
	})
})
