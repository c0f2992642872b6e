package ledger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue/etcd"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/standin"
)

func firstPatch() ledger.Patch {
	body, err := os.ReadFile("testdata/document.json")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return ledger.Patch{ID: "first", Kind: config.MergePatch, Body: body}
}

func budgetPatch(id string, base uint64, ms int) ledger.Patch {
	body := fmt.Appendf(nil, `{"Services":{"tender":{"FirstTokenBudgetMs":%d}}}`, ms)
	return ledger.Patch{ID: id, Base: base, Kind: config.MergePatch, Body: body}
}

func kindOf(err error) ledger.Kind {
	kind, ok := failure.KindOf[ledger.Kind](err)
	ExpectWithOffset(1, ok).To(BeTrue(), "%v", err)
	return kind
}

var _ = Describe("a ledger", func() {
	var store *standin.KeyValue
	var ctx context.Context

	open := func() *ledger.Ledger {
		pool := exchange.NewPool(link.NewSystem(""))
		DeferCleanup(pool.Close)
		return ledger.New(etcd.NewClient(pool, []string{store.Address()}), time.Now)
	}

	BeforeEach(func() {
		ctx = context.Background()
		store = standin.NewKeyValue()
		Expect(store.Listen("127.0.0.1:0")).To(Succeed())
		DeferCleanup(store.Kill)
	})

	It("makes the same document from the same records, independent of the order of names in JSON", func() {
		patch := firstPatch()
		for range 50 {
			record, _, err := ledger.Empty().Propose(patch, time.Unix(0, 0))
			Expect(err).NotTo(HaveOccurred())
			wire, err := json.Marshal(record)
			Expect(err).NotTo(HaveOccurred())
			var read ledger.Record
			Expect(json.Unmarshal(wire, &read)).To(Succeed())
			_, err = ledger.Empty().Apply(read)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("accepts each patch of concurrent operators once and in order", func() {
		const operators, each = 20, 10
		_, err := open().Commit(ctx, firstPatch(), 0)
		Expect(err).NotTo(HaveOccurred())
		var group sync.WaitGroup
		for o := range operators {
			l := open()
			group.Go(func() {
				defer GinkgoRecover()
				for n := range each {
					commitByRetrying(ctx, l, fmt.Sprintf("op-%d-%d", o, n))
				}
			})
		}
		group.Wait()
		records, err := open().History(ctx, 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(1 + operators*each))
		seen := map[string]bool{}
		for i, r := range records {
			Expect(r.Version).To(Equal(uint64(i + 1)))
			Expect(seen).NotTo(HaveKey(r.ID))
			seen[r.ID] = true
		}
		state, _, err := open().Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Version).To(Equal(uint64(1 + operators*each)))
	})

	It("returns the same version for a patch whose reply was lost and for its resend", func() {
		l := open()
		store.SetFault(standin.Fault{LoseReplies: 1})
		first, err := l.Commit(ctx, firstPatch(), 0)
		Expect(err).NotTo(HaveOccurred())
		again, err := open().Commit(ctx, firstPatch(), 1)
		Expect(err).NotTo(HaveOccurred())
		Expect([]uint64{first.Version, again.Version}).To(Equal([]uint64{1, 1}))
	})

	It("rejects another patch with an ID that is in use", func() {
		l := open()
		_, err := l.Commit(ctx, firstPatch(), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Commit(ctx, budgetPatch("first", 1, 900), 1)
		Expect(kindOf(err)).To(Equal(ledger.IDReused))
	})

	It("does not write to a store that is behind the applied version", func() {
		l := open()
		_, err := l.Commit(ctx, firstPatch(), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Commit(ctx, budgetPatch("later", 1, 900), 7)
		Expect(kindOf(err)).To(Equal(ledger.StoreBehind))
	})

	It("fails as unavailable when the store is down", func() {
		store.Kill()
		_, err := open().Commit(ctx, firstPatch(), 0)
		Expect(kindOf(err)).To(Equal(ledger.Unavailable))
	})
})

func commitByRetrying(ctx context.Context, l *ledger.Ledger, id string) {
	for {
		state, _, err := l.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Commit(ctx, budgetPatch(id, state.Version, 1000), state.Version)
		if err == nil {
			return
		}
		Expect(kindOf(err)).To(BeElementOf(ledger.Conflict, ledger.StoreBehind))
	}
}
