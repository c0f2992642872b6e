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

// side is one host: its dispatcher with the region's targets.
func side(slots int) *dispatch.Dispatcher {
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
	var down, loseAnswers atomic.Bool
	var ctx context.Context

	busy := func() int {
		summary, err := owner.Summary(ctx, service)
		Expect(err).NotTo(HaveOccurred())
		return summary.Busy
	}
	request := func() dispatch.Request {
		now := time.Now()
		return dispatch.Request{Service: service, Workspace: "mill", Call: placement.Ask{Arrived: now, Deadline: now.Add(time.Minute)}}
	}

	BeforeEach(func() {
		ctx = context.Background()
		down.Store(false)
		loseAnswers.Store(false)
		owner = side(1)
		server = placer.NewServer(owner, clock.System{})
		ask := func(ctx context.Context, _, path string, body, v any) error {
			if down.Load() {
				return errors.New("no answer")
			}
			data, err := json.Marshal(body)
			if err != nil {
				return err
			}
			if path == placer.PathSettle {
				return server.Settle(ctx, data)
			}
			answer, err := server.Place(ctx, data)
			if err != nil || loseAnswers.Load() {
				return errors.New("the answer is lost")
			}
			wire, err := json.Marshal(answer)
			if err != nil {
				return err
			}
			return json.Unmarshal(wire, v)
		}
		client = placer.NewClient("ravne-a-1", side(1), clock.System{}, ask, func(string) (member.Info, bool) {
			return member.Info{Host: "celje-a", PeerAddress: "owner"}, false
		})
		running, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		started := client
		go func() {
			defer close(ended)
			_ = started.Run(running)
		}()
		DeferCleanup(func() {
			stop()
			<-ended
		})
	})

	It("gives a target and has it back at the end", func() {
		grant, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		Expect(grant.Target.Name).To(Equal("t1"))
		Expect(busy()).To(Equal(1))
		client.Release(ctx, grant)
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("lets a second call wait for the first, over several asks", func() {
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

	It("is done without when it is silent", func() {
		down.Store(true)
		grant, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		Expect(grant.Target.Name).To(Equal("t1"))
		Expect(client.Alone.Load()).To(Equal(int64(1)))
		client.Release(ctx, grant)
	})

	It("is told of an end that came while it was silent", func() {
		first, _ := client.Acquire(ctx, "ravne-a", request())
		down.Store(true)
		alone, _ := client.Acquire(ctx, "ravne-a", request())
		Expect(client.Alone.Load()).To(Equal(int64(1)))
		client.Release(ctx, first)
		client.Release(ctx, alone)
		time.Sleep(200 * time.Millisecond)
		down.Store(false)
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("has a target back whose grant got lost on the way", func() {
		loseAnswers.Store(true)
		grant, _ := client.Acquire(ctx, "ravne-a", request())
		Expect(client.Alone.Load()).To(Equal(int64(1)))
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
		client.Release(ctx, grant)
	})

	It("frees the targets of a host that is gone, and not of one it does not know yet", func() {
		_, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		server.Sweep(ctx, func(string) bool { return false })
		Expect(busy()).To(Equal(1))
		server.Sweep(ctx, func(host string) bool { return host == "ravne-a" })
		Eventually(busy).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("takes a call out of the queue whose caller is gone", func() {
		_, refusal := client.Acquire(ctx, "ravne-a", request())
		Expect(refusal).To(BeNil())
		calling, hangUp := context.WithCancel(ctx)
		got := make(chan *core.Refusal, 1)
		go func() {
			_, refusal := client.Acquire(calling, "ravne-a", request())
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
