package memory_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiarack/sequoiarack/internal/memory"
)

const total = 1000

var _ = Describe("Budget", func() {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var budget *memory.Budget
	var ended []string
	BeforeEach(func() { budget, ended = memory.NewBudget(total), nil })
	// begin starts an upload that holds n bytes and is in progress.
	begin := func(name string, ms, n int) *memory.Upload {
		u := budget.Begin(memory.Origin{Kind: memory.Bodies, BeganAt: at(ms)}, at(ms), func() { ended = append(ended, name) })
		Expect(u.Grow(at(ms), n).Apply()).To(BeTrue())
		return u
	}

	beginFrom := func(source, name string, ms, n int) *memory.Upload {
		u := budget.Begin(memory.Origin{Kind: memory.Bodies, Source: source, BeganAt: at(ms)}, at(ms), func() { ended = append(ended, name) })
		Expect(u.Grow(at(ms), n).Apply()).To(BeTrue())
		return u
	}

	It("keeps each kind within its share, and a reserve for calls and other hosts", func() {
		Expect(budget.Reserve(memory.Connections, 501)).To(BeFalse())
		Expect(budget.Reserve(memory.Connections, 500)).To(BeTrue())
		Expect(budget.Reserve(memory.Responses, 250)).To(BeTrue())
		Expect(budget.Begin(memory.Origin{Kind: memory.Bodies, BeganAt: start}, start, func() {}).Grow(start, 160).Apply()).To(BeFalse())
		Expect(budget.ReserveCall(start, 250).Apply()).To(BeTrue())
		Expect(budget.ReserveCall(start, 1).Apply()).To(BeFalse())
		budget.Release(memory.Responses, 250)
		Expect(budget.ReserveCall(start, 250).Apply()).To(BeTrue())
	})

	// The next ones guard against unfinished uploads that keep all others out, and against ordinary uploads that are
	// ended for them.
	It("ends the upload without progress for the longest time first", func() {
		begin("old", 0, 200).Progress(at(1900))
		begin("stalled", 100, 100)
		begin("later", 200, 100).Progress(at(300))
		begin("new", 1900, 200)
		begin("next", 2000, 50)
		Expect(ended).To(Equal([]string{"stalled"}))
	})

	It("ends the oldest one once it has been unfinished for long", func() {
		begin("old", 0, 100).Progress(at(10_000))
		begin("middle", 100, 300).Progress(at(10_000))
		begin("new", 9900, 200)
		begin("next", 10_050, 50)
		Expect(ended).To(Equal([]string{"old"}))
	})

	It("refuses the newest one while all are in progress, and serves the others", func() {
		old := begin("old", 0, 300)
		u := begin("new", 10, 300)
		Expect(u.Grow(at(20), 50).Apply()).To(BeFalse())
		Expect(ended).To(BeEmpty(), "it is refused, and needs no interrupt")
		Expect(old.Complete()).To(BeTrue())
	})

	It("ends no upload that is complete, and counts it until it is released", func() {
		u := begin("old", 0, 600)
		Expect(u.Complete()).To(BeTrue())
		next := budget.Begin(memory.Origin{Kind: memory.Bodies, BeganAt: at(20_000)}, at(20_000), func() {})
		Expect(next.Grow(at(20_000), 50).Apply()).To(BeFalse())
		u.Release()
		u.Release()
		Expect(next.Grow(at(20_000), 600).Apply()).To(BeTrue())
		Expect(ended).To(BeEmpty())
	})

	// The next ones guard against a source that takes the memory which all others need.
	It("ends uploads of the source that holds most, its newest first", func() {
		beginFrom("crowd", "first", 0, 200)
		beginFrom("crowd", "second", 10, 150)
		beginFrom("crowd", "third", 20, 90)
		beginFrom("pair", "fourth", 30, 50)
		beginFrom("pair", "fifth", 40, 50)
		beginFrom("one", "sixth", 50, 100)
		Expect(ended).To(Equal([]string{"third"}))
	})

	It("does not end uploads of others for a source that holds more", func() {
		beginFrom("one", "first", 0, 100)
		beginFrom("crowd", "second", 100, 250)
		u := beginFrom("crowd", "third", 200, 190)
		Expect(u.Grow(at(900), 50).Apply()).To(BeFalse(), "it is the newest of its source")
		Expect(u.Grow(at(1200), 50).Apply()).To(BeFalse(), "the other one of its source is too large to be ended")
		Expect(ended).To(BeEmpty(), "although the first one has stalled")
	})

	It("counts what complete uploads of a source hold", func() {
		Expect(beginFrom("crowd", "first", 0, 400).Complete()).To(BeTrue())
		beginFrom("crowd", "second", 10, 40)
		beginFrom("pair", "third", 20, 50)
		beginFrom("pair", "fourth", 30, 50)
		beginFrom("one", "fifth", 40, 100)
		Expect(ended).To(Equal([]string{"second"}))
	})

	It("leaves others a part of the memory also if all uploads of a source are complete", func() {
		Expect(beginFrom("crowd", "first", 0, 300).Complete()).To(BeTrue())
		Expect(beginFrom("crowd", "second", 10, 140).Complete()).To(BeTrue())
		next := budget.Begin(memory.Origin{Kind: memory.Bodies, Source: "crowd", BeganAt: at(20)}, at(20), func() {})
		Expect(next.Grow(at(20), 20).Apply()).To(BeFalse())
		beginFrom("one", "third", 30, 150)
		Expect(ended).To(BeEmpty())
	})

	It("gives the only upload of a source more than that part", func() {
		beginFrom("one", "first", 0, 500)
	})

	// Guards against long uploads that never end, as each newer one takes their memory.
	It("does not end the only upload of a source because it holds much", func() {
		beginFrom("a", "first", 0, 300)
		u := beginFrom("b", "second", 10, 250)
		Expect(u.Grow(at(20), 100).Apply()).To(BeFalse())
		Expect(ended).To(BeEmpty())
	})

	It("ends uploads for calls", func() {
		Expect(budget.Reserve(memory.Connections, 400)).To(BeTrue())
		begin("old", 0, 100)
		Expect(budget.ReserveCall(at(5000), 550).Apply()).To(BeTrue())
		Expect(ended).To(Equal([]string{"old"}))
	})

	// Guards against changes of the configuration that other hosts cannot pass on beside a crowd of callers.
	It("has memory for bodies of other hosts when callers use up theirs", func() {
		Expect(budget.Reserve(memory.Connections, 300)).To(BeTrue())
		for n := range 6 {
			begin("caller", n, 100)
		}
		peer := budget.Begin(memory.Origin{Kind: memory.Control, BeganAt: at(10)}, at(10), func() {})
		Expect(peer.Grow(at(10), 100).Apply()).To(BeTrue())
		Expect(ended).To(BeEmpty())
		Expect(peer.Grow(at(1500), 100).Apply()).To(BeTrue())
		Expect(ended).To(Equal([]string{"caller"}))
		other := budget.Begin(memory.Origin{Kind: memory.Control, BeganAt: at(1500)}, at(1500), func() {})
		Expect(other.Grow(at(1500), 301).Apply()).To(BeFalse())
		Expect(ended).To(HaveLen(1), "ending callers would not help")
	})

	It("does not lend more than the overdraft before ended uploads have returned their memory", func() {
		first := begin("first", 0, 100)
		begin("second", 0, 100)
		begin("third", 1000, 400)
		next := budget.Begin(memory.Origin{Kind: memory.Bodies, BeganAt: at(2000)}, at(2000), func() {})
		Expect(next.Grow(at(1500), 100).Apply()).To(BeTrue())
		Expect(next.Grow(at(1500), 100).Apply()).To(BeFalse())
		Expect(first.Grow(at(1500), 1).Granted).To(BeFalse(), "it was told to end")
		Expect(first.Ended()).To(Equal(memory.Stalled))
		first.Release()
		Expect(next.Grow(at(1500), 100).Apply()).To(BeTrue())
		Expect(ended).To(Equal([]string{"first", "second"}))
	})

	// Guards against accounts that drift, so that a host refuses all calls after a while.
	It("never exceeds its total and the overdraft, and is empty in the end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b, now := memory.NewBudget(total), start
			var uploads []*memory.Upload
			calls := 0
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
				n := rapid.IntRange(1, 300).Draw(t, "bytes")
				pick := func(act func(i int)) {
					if len(uploads) > 0 {
						act(rapid.IntRange(0, len(uploads)-1).Draw(t, "upload"))
					}
				}
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0:
					uploads = append(uploads, b.Begin(memory.Origin{Kind: rapid.SampledFrom([]memory.Kind{memory.Bodies, memory.Control}).Draw(t, "kind"), Source: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "source"), BeganAt: now}, now, func() {}))
				case 1:
					pick(func(i int) { uploads[i].Grow(now, n).Apply() })
				case 2:
					pick(func(i int) { uploads[i].Complete() })
				case 3:
					pick(func(i int) {
						uploads[i].Release()
						uploads = append(uploads[:i], uploads[i+1:]...)
					})
				case 4:
					if b.ReserveCall(now, n).Apply() {
						calls += n
					}
				case 5:
					b.Release(memory.Calls, calls)
					calls = 0
				}
				use, sum := b.Use(), 0
				for _, bytes := range use.Bytes {
					sum += bytes
				}
				if sum > total || use.Ending > total/8 || use.Bytes[memory.Calls] != calls {
					t.Fatalf("%+v", use)
				}
			}
			for _, u := range uploads {
				u.Release()
			}
			b.Release(memory.Calls, calls)
			for kind, bytes := range b.Use().Bytes {
				if bytes != 0 || b.Use().Ending != 0 || b.Use().Uploads != 0 || b.Use().Sources != 0 {
					t.Fatalf("%s: %+v", kind, b.Use())
				}
			}
		})
	})
})
