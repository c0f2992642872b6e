package bandwidth_test

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
)

// jumpingClock is a clock that moves by the time for which somebody waits.
type jumpingClock struct{ now time.Time }

func (c *jumpingClock) Now() time.Time { return c.now }

func (c *jumpingClock) After(d time.Duration) <-chan time.Time {
	c.now = c.now.Add(d)
	out := make(chan time.Time, 1)
	out <- c.now
	return out
}

const (
	narrowMbps  = 10
	narrowBytes = narrowMbps * 1_000_000 / 8 // a second
)

var _ = Describe("a Budget", func() {
	var clock *jumpingClock
	BeforeEach(func() { clock = &jumpingClock{now: time.Unix(1000, 0)} })

	// Guards against hosts whose own bulk fills their link, so that their heartbeats, forwarded calls and reads of the
	// store wait behind it.
	It("leaves most of the link to what is no bulk", func() {
		waits := 0
		b := bandwidth.NewBudget(clock, narrowMbps, bandwidth.WithOnWait(func(bandwidth.Purpose, time.Duration) { waits++ }))
		began := clock.now
		const messages, length = 400, 17_000
		for range messages {
			Expect(b.Send(context.Background(), bandwidth.Updates, length)).To(Succeed())
		}
		seconds := clock.now.Sub(began).Seconds()
		Expect(messages * length / seconds).To(BeNumerically("<", 0.26*narrowBytes))
		Expect(messages * length / seconds).To(BeNumerically(">", 0.24*narrowBytes))
		Expect(waits).To(Equal(messages))
	})

	It("holds back nothing over a link that is not known", func() {
		b := bandwidth.NewBudget(clock, 0)
		began := clock.now
		Expect(b.Send(context.Background(), bandwidth.Updates, 100<<20)).To(Succeed())
		Expect(clock.now).To(Equal(began))
		Expect(b.MaxRead()).To(BeZero())
		Expect(b.Timeout(100<<20, 0)).To(Equal(b.Timeout(0, 0)))
	})

	It("ends a wait with its context", func() {
		b := bandwidth.NewBudget(stoppedClock{}, narrowMbps)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(b.Send(ctx, bandwidth.Differences, narrowBytes)).To(MatchError(context.Canceled))
	})

	It("reads a message as fast as it may be sent", func() {
		b := bandwidth.NewBudget(clock, narrowMbps)
		began := clock.now
		message := make([]byte, 10*narrowBytes)
		Expect(io.ReadAll(b.NewReader(context.Background(), bandwidth.Differences, message))).To(Equal(message))
		Expect(clock.now.Sub(began).Seconds()).To(BeNumerically("~", 40, 1))
	})

	// Guards against requests that end before their message can have been sent, and are sent again.
	DescribeTable("allows a message the time that it takes", func(own, peer float64) {
		b := bandwidth.NewBudget(clock, own)
		Expect(b.Timeout(narrowBytes, peer)).To(BeNumerically("~", 4*time.Second, time.Second))
		Expect(b.Timeout(100, peer)).To(BeNumerically("<", time.Second))
	},
		Entry("between narrow links", 10.0, 10.0), Entry("from a narrow link to a wide one", 10.0, 200.0), Entry("from a wide link to a narrow one", 200.0, 10.0),
		Entry("from a narrow link", 10.0, 0.0), Entry("to a narrow link", 0.0, 10.0),
	)

	It("reports the purposes that exceed their share", func() {
		b := bandwidth.NewBudget(clock, narrowMbps)
		b.Count(bandwidth.Calls, bandwidth.Sent, 6*narrowBytes)
		b.Count(bandwidth.Store, bandwidth.Received, 6*narrowBytes)
		b.Count(bandwidth.Membership, bandwidth.Sent, narrowBytes)
		Expect(b.Excesses()).To(BeEmpty(), "too early")
		clock.now = clock.now.Add(10 * time.Second)
		Expect(b.Excesses()).To(HaveExactElements(bandwidth.Excess{Purpose: bandwidth.Calls, BytesPerSecond: 0.6 * narrowBytes, Share: 0.6}))
		clock.now = clock.now.Add(10 * time.Second)
		Expect(b.Excesses()).To(BeEmpty())
		Expect(b.Totals()).To(ContainElement(bandwidth.Use{Purpose: bandwidth.Store, Direction: bandwidth.Received, Bytes: 6 * narrowBytes}))
	})

	data, err := os.ReadFile("testdata/spreads.json")
	if err != nil {
		panic(err)
	}
	var cases []struct {
		Name  string
		Mbps  float64
		Bytes int
		Hosts int
		May   bool
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		// Guards against long values that one host sends to all others for longer than they may be late.
		It("decides who sends "+c.Name, func() {
			Expect(bandwidth.NewBudget(clock, c.Mbps).MaySpread(c.Bytes, c.Hosts)).To(Equal(c.May))
		})
	}
})

// stoppedClock is a clock on which no wait ends.
type stoppedClock struct{}

func (stoppedClock) Now() time.Time                       { return time.Unix(1000, 0) }
func (stoppedClock) After(time.Duration) <-chan time.Time { return nil }
