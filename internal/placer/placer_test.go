package placer_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/dispatch"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/placement"
	"github.com/sequoiarack/sequoiarack/internal/placer"
)

const service = "tender"

// newDispatcher starts a host's dispatcher with one target that has the given slots.
func newDispatcher(slots int) *dispatch.Dispatcher {
	d := dispatch.New(clock.System{}, placement.Options{MaxQueued: 100}, 1)
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = d.Run(ctx) }()
	d.Configure(ctx, []placement.Target{{Name: "t1", Service: service, Slots: slots}},
		placement.Options{MaxQueued: 100, LongSlotShare: 0.75, MaxEjectedShare: 0.3}, config.DefaultLimits())
	d.SetOwned(ctx, map[string]bool{service: true})
	return d
}

var _ = Describe("a placing host", func() {
	var owner *dispatch.Dispatcher
	var server *placer.Server
	var client *placer.Client
	var down, loseResponses atomic.Bool
	var ctx context.Context

	busy := func() int {
		summary, err := owner.Summary(ctx, service)
		Expect(err).NotTo(HaveOccurred())
		return summary.Busy
	}
	request := func() dispatch.Request {
		now := time.Now()
		return dispatch.Request{Service: service, Workspace: "mill", Call: placement.Call{Arrived: now, Deadline: now.Add(time.Minute)}}
	}

	BeforeEach(func() {
		ctx = context.Background()
		down.Store(false)
		loseResponses.Store(false)
		owner = newDispatcher(1)
		server = placer.NewServer(owner, clock.System{})
		post := func(ctx context.Context, _, path string, body, v any) error {
			if down.Load() {
				return errors.New("no response")
			}
			data, err := json.Marshal(body)
			if err != nil {
				return err
			}
			if path == placer.PathSettle {
				return server.Settle(ctx, data)
			}
			response, err := server.Place(ctx, data)
			if err != nil || loseResponses.Load() {
				return errors.New("the response is lost")
			}
			wire, err := json.Marshal(response)
			if err != nil {
				return err
			}
			return json.Unmarshal(wire, v)
		}
		client = placer.NewClient("ravne-a-1", newDispatcher(1), clock.System{}, post, func(string) (member.Info, bool) {
			return member.Info{Host: "celje-a", PeerAddress: "owner"}, false
		})
		runCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		started := client
		go func() {
			defer close(ended)
			_ = started.Run(runCtx)
		}()
		DeferCleanup(func() {
			stop()
			<-ended
		})
	})

	It("grants a target and frees its slot when the call has ended", func() {
		grant, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		Expect(grant.Target.Name).To(Equal("t1"))
		Expect(busy()).To(Equal(1))
		client.Release(ctx, grant)
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("queues a second call until the first has ended, over several polls", func() {
		first, _ := client.Acquire(ctx, "ravne-a", request())
		got := make(chan *core.Refusal, 1)
		go func() {
			_, refusal := client.Acquire(ctx, "ravne-a", request())
			got <- refusal
		}()
		Consistently(got).WithTimeout(500 * time.Millisecond).ShouldNot(Receive())
		client.Release(ctx, first)
		Eventually(got).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})

	It("is bypassed by a local placement when it does not respond", func() {
		down.Store(true)
		grant, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		Expect(grant.Target.Name).To(Equal("t1"))
		Expect(client.LocalPlacements.Load()).To(Equal(int64(1)))
		client.Release(ctx, grant)
	})

	It("receives the end of a call again after it did not respond", func() {
		first, _ := client.Acquire(ctx, "ravne-a", request())
		down.Store(true)
		local, _ := client.Acquire(ctx, "ravne-a", request())
		Expect(client.LocalPlacements.Load()).To(Equal(int64(1)))
		client.Release(ctx, first)
		client.Release(ctx, local)
		time.Sleep(200 * time.Millisecond)
		down.Store(false)
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("frees the slot of a grant whose response was lost", func() {
		loseResponses.Store(true)
		grant, _ := client.Acquire(ctx, "ravne-a", request())
		Expect(client.LocalPlacements.Load()).To(Equal(int64(1)))
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
		client.Release(ctx, grant)
	})

	It("frees the slots of a host that is gone, but not of an unknown host", func() {
		_, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		server.Sweep(ctx, func(string) bool { return false })
		Expect(busy()).To(Equal(1))
		server.Sweep(ctx, func(host string) bool { return host == "ravne-a" })
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("removes a queued call when its caller hangs up", func() {
		_, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		callCtx, hangUp := context.WithCancel(ctx)
		got := make(chan *core.Refusal, 1)
		go func() {
			_, refusal := client.Acquire(callCtx, "ravne-a", request())
			got <- refusal
		}()
		queued := func() int {
			summary, err := owner.Summary(ctx, service)
			Expect(err).NotTo(HaveOccurred())
			return summary.Queued
		}
		Eventually(queued).WithTimeout(10 * time.Second).Should(Equal(1))
		hangUp()
		Eventually(got).WithTimeout(10 * time.Second).Should(Receive(HaveField("Outcome", core.NotRun)))
		Eventually(queued).WithTimeout(10 * time.Second).Should(BeZero())
	})
})
