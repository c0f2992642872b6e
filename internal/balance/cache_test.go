package balance_test

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/balance"
)

// keptCall is a call of a scripted case: a prompt with a shared part and a rest.
type keptCall struct {
	Target  string
	Part    uint64
	Shared  int
	Own     int
	Fetched int
}

func (c keptCall) work() balance.Work { return shared(c.Part, c.Shared, c.Own) }

// keptStep is one step of a case, in the order of its fields.
type keptStep struct {
	AfterMs int
	Restart string
	// Begin has a call sent, and Slow is how many such calls bring their first byte after
	// a second each. First brings the first byte of the call begun last.
	Slow   int
	Begin  *keptCall
	First  bool
	Listed *keptCall
	Choose *keptCall
	Want   struct {
		Target  string
		Source  string
		Fetched *int
		Unread  *int
	}
	Unlisted *[]string
}

type keptCase struct {
	Name    string
	Targets int
	Steps   []keptStep
}

// keptRun is two hosts of a region, the second of which is told by the first.
type keptRun struct {
	now        time.Time
	book, mate *balance.Balancer
	flight     *balance.Flight
}

func (r *keptRun) play(s keptStep, targetCount int) {
	r.now = r.now.Add(time.Duration(s.AfterMs) * time.Millisecond)
	if s.Restart != "" {
		snapshot := targets(targetCount)
		t := snapshot.Targets[s.Restart]
		t.Incarnation = t.ID + "@2"
		snapshot.Targets[t.ID] = t
		r.book.Configure(snapshot)
		r.mate.Configure(snapshot)
	}
	if s.Begin != nil {
		r.begin(s)
	}
	if s.First {
		r.book.FirstByte(r.now, r.flight)
		r.book.End(r.now, r.flight, balance.Answered)
	}
	if s.Listed != nil {
		parts := s.Listed.work().Parts[:1]
		var told balance.CacheListing
		data, err := cbor.Marshal(r.book.RecordListing(r.now, s.Listed.Target, parts))
		Expect(err).NotTo(HaveOccurred())
		Expect(cbor.Unmarshal(data, &told)).To(Succeed())
		r.mate.ApplyListing(r.now, told)
	}
	if s.Choose != nil {
		r.choose(s)
	}
	if s.Unlisted != nil {
		ids := []string{}
		for _, t := range r.book.DueListings(r.now) {
			ids = append(ids, t.ID)
		}
		Expect(ids).To(ConsistOf(*s.Unlisted))
	}
}

func (r *keptRun) begin(s keptStep) {
	for range s.Slow {
		f := r.book.Begin(r.now, s.Begin.Target, s.Begin.work(), balance.WithFetch(s.Begin.Fetched))
		r.now = r.now.Add(time.Second)
		r.book.FirstByte(r.now, f)
		r.book.End(r.now, f, balance.Answered)
	}
	if s.Slow == 0 {
		r.flight = r.book.Begin(r.now, s.Begin.Target, s.Begin.work(), balance.WithFetch(s.Begin.Fetched))
	}
}

// choose has the hosts choose several times, as choices are spread a little.
func (r *keptRun) choose(s keptStep) {
	books := []*balance.Balancer{r.book}
	if s.Begin == nil && r.flight == nil {
		books = append(books, r.mate)
	}
	for _, b := range books {
		for range 20 {
			choice, ok := b.Choose(r.now, s.Choose.work(), nil)
			Expect(ok).To(BeTrue())
			if s.Want.Target != "" {
				Expect(choice.Target.ID).To(Equal(s.Want.Target))
			}
			Expect(choice.Source.ID).To(Equal(s.Want.Source))
			if s.Want.Fetched != nil {
				Expect(choice.Fetched).To(Equal(*s.Want.Fetched))
			}
			if s.Want.Unread != nil {
				Expect(choice.Prediction.Unread).To(Equal(*s.Want.Unread))
			}
		}
	}
}

var _ = Describe("what targets keep of prompts", func() {
	for _, c := range readCases[keptCase]("testdata/cache.json") {
		It(c.Name, func() {
			r := &keptRun{now: start, book: book(c.Targets), mate: book(c.Targets)}
			for _, s := range c.Steps {
				r.play(s, c.Targets)
			}
		})
	}

	It("is asked by the host that is picked for a target, and by another one only after a while", func() {
		b := book(8)
		b.SetHosts(balance.Hosts{Self: "h1", Live: []string{"h1", "h2"}, Known: 2, Settled: true})
		choose(b, start, prompt(100))
		Expect(b.DueListings(start)).To(BeEmpty())
		own := b.DueListings(start.Add(400 * time.Millisecond))
		Expect(len(own)).To(And(BeNumerically(">", 0), BeNumerically("<", 8)))
		for _, t := range own {
			Expect(b.CoordinatorOf(t.ID)).To(Equal("h1"))
			b.RecordListing(start.Add(400*time.Millisecond), t.ID, nil)
		}
		Expect(b.DueListings(start.Add(1300 * time.Millisecond))).To(HaveLen(8 - len(own)))
	})

	It("is asked again in a large region by a host that a target is newly picked for", func() {
		live := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9", "h10"}
		const count = 64
		all := 0
		for at := 1; at < len(live); at++ { // each host but h1 goes once
			b := book(count)
			b.SetHosts(balance.Hosts{Self: "h1", Live: live, Known: len(live), Settled: true})
			choose(b, start, prompt(100))
			before := map[string]string{}
			for id := range targets(count).Targets {
				before[id] = b.CoordinatorOf(id)
				b.ApplyListing(start, balance.CacheListing{Target: id})
			}
			Expect(b.DueListings(start.Add(5 * time.Second))).To(BeEmpty())
			left := slices.Delete(slices.Clone(live), at, at+1)
			b.SetHosts(balance.Hosts{Self: "h1", Live: left, Known: len(left), Settled: true})
			gained := []string{}
			for id, host := range before {
				if host != "h1" && b.CoordinatorOf(id) == "h1" {
					gained = append(gained, id)
				}
			}
			b.DueListings(start.Add(5 * time.Second))
			asked := []string{}
			for _, t := range b.DueListings(start.Add(6 * time.Second)) {
				asked = append(asked, t.ID)
			}
			Expect(asked).To(ConsistOf(gained))
			all += len(gained)
		}
		Expect(all).To(BeNumerically(">", 0))
	})
})
