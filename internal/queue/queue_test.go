package queue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/queue"
)

func allowAll(string) bool { return true }

var _ = Describe("a queue", func() {
	now := time.Unix(1_700_000_000, 0)
	item := func(workspace string, n int, cost float64) queue.Item[int] {
		return queue.Item[int]{Value: n, Workspace: workspace, Cost: cost, Arrived: now, Deadline: now.Add(time.Second)}
	}

	It("serves a workspace with one call soon although another has many queued", func() {
		q := queue.New[int](time.Second)
		for n := range 100 {
			q.Push(item("flood", n, 10))
		}
		first, _ := q.Pop(core.Short, allowAll)
		Expect(first.Workspace).To(Equal("flood"))
		q.Push(item("quiet", 1000, 10))
		for range 2 {
			next, _ := q.Pop(core.Short, allowAll)
			if next.Workspace == "quiet" {
				return
			}
		}
		Fail("the quiet workspace was not among the next two")
	})

	It("shares by expected work, not by number of calls", func() {
		q := queue.New[int](time.Second)
		for n := range 40 {
			q.Push(item("heavy", n, 300))
			q.Push(item("light", n, 100))
		}
		served := map[string]int{}
		for range 40 {
			next, _ := q.Pop(core.Short, allowAll)
			served[next.Workspace]++
		}
		Expect(served["light"]).To(BeNumerically("~", 30, 1))
	})

	It("removes only the calls whose deadline has passed", func() {
		q := queue.New[int](time.Second)
		q.Push(item("a", 1, 1))
		late := item("b", 2, 1)
		late.Deadline = now.Add(time.Hour)
		q.Push(late)
		expired := q.Expired(now.Add(time.Second))
		Expect(expired).To(HaveLen(1))
		Expect(expired[0].Value).To(Equal(1))
		Expect(q.Len(core.Short)).To(Equal(1))
	})
})
