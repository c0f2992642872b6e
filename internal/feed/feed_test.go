package feed_test

import (
	"context"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/feed"
	"github.com/sequoiarack/sequoiarack/internal/ledger"
)

func TestFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Feed")
}

var _ = Describe("Feed with an older version than its peers", func() {
	const version = 7
	var snapshot ledger.Snapshot

	BeforeEach(func() {
		body, err := os.ReadFile("../ledger/testdata/document.json")
		Expect(err).NotTo(HaveOccurred())
		_, state, err := ledger.Empty().Propose(ledger.Patch{ID: "first", Kind: config.MergePatch, Body: body}, time.Unix(0, 0))
		Expect(err).NotTo(HaveOccurred())
		snapshot = state.Snapshot()
		snapshot.Version = version
	})

	follow := func(fetch feed.FetchFunc) *feed.Feed {
		peers := []string{"restarted", "ahead"}
		n := 0
		f := feed.New(nil, feed.WithFetch(fetch), feed.WithAlternativePeer(func() (string, bool) {
			n++
			return peers[n%len(peers)], true
		}))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			Expect(f.FollowPeers(ctx)).To(Succeed())
		}()
		DeferCleanup(func() {
			cancel()
			<-ended
		})
		return f
	}

	It("fetches from other hosts when the host of the hint has restarted", func() {
		f := follow(func(_ context.Context, peer string, _ uint64) (feed.Update, error) {
			if peer == "ahead" {
				return feed.Update{Snapshot: &snapshot}, nil
			}
			return feed.Update{}, nil
		})
		f.Hint(feed.Hint{Version: version, Peer: "restarted"})
		Eventually(func() uint64 { return f.State().Version }).WithTimeout(5 * time.Second).Should(Equal(uint64(version)))
	})

	It("retries when a fetch fails", func() {
		requests := 0
		f := follow(func(context.Context, string, uint64) (feed.Update, error) {
			if requests++; requests < 3 {
				return feed.Update{}, errors.New("no answer")
			}
			return feed.Update{Snapshot: &snapshot}, nil
		})
		f.Hint(feed.Hint{Version: version, Peer: "ahead"})
		Eventually(func() uint64 { return f.State().Version }).WithTimeout(5 * time.Second).Should(Equal(uint64(version)))
	})
})
