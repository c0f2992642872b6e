// Package queue orders waiting calls. Short ones go before long ones, long ones
// do not starve, and workspaces share by start-time fair queueing. The package
// does no I/O.
package queue

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// Item is a call that waits.
type Item[T any] struct {
	Value     T
	Workspace string
	Class     core.Class
	// Cost is the expected work, in tokens.
	Cost float64
	// Arrived is when the call began to wait, Deadline when it gives up.
	Arrived  time.Time
	Deadline time.Time
}

type tagged[T any] struct {
	Item[T]
	start float64
}

// Queue is a set of waiting calls of one service. Its owner is one goroutine.
type Queue[T any] struct {
	classes  [2]map[string][]tagged[T]
	finish   [2]map[string]float64
	virtual  [2]float64
	lengths  [2]int
	longWait time.Duration
}

// New returns an empty Queue in which a long call that has waited for longWait
// goes before the short ones.
func New[T any](longWait time.Duration) *Queue[T] {
	q := &Queue[T]{longWait: longWait}
	for i := range q.classes {
		q.classes[i] = map[string][]tagged[T]{}
		q.finish[i] = map[string]float64{}
	}
	return q
}

// Len returns the number of waiting calls of a class.
func (q *Queue[T]) Len(class core.Class) int { return q.lengths[class] }

// WorkspaceLen returns the number of waiting calls of a workspace.
func (q *Queue[T]) WorkspaceLen(workspace string) int {
	return len(q.classes[core.Short][workspace]) + len(q.classes[core.Long][workspace])
}

// Workspaces returns the number of workspaces with waiting calls of a class.
func (q *Queue[T]) Workspaces(class core.Class) int { return len(q.classes[class]) }

// Push adds a call.
func (q *Queue[T]) Push(item Item[T]) {
	c := item.Class
	start := max(q.virtual[c], q.finish[c][item.Workspace])
	q.finish[c][item.Workspace] = start + max(item.Cost, 1)
	q.classes[c][item.Workspace] = append(q.classes[c][item.Workspace], tagged[T]{Item: item, start: start})
	q.lengths[c]++
}

// Order returns the classes in the order in which they are served now.
func (q *Queue[T]) Order(now time.Time) [2]core.Class {
	if oldest, ok := q.oldestLong(); ok && now.Sub(oldest) >= q.longWait {
		return [2]core.Class{core.Long, core.Short}
	}
	return [2]core.Class{core.Short, core.Long}
}

func (q *Queue[T]) oldestLong() (time.Time, bool) {
	var oldest time.Time
	found := false
	for _, list := range q.classes[core.Long] {
		if !found || list[0].Arrived.Before(oldest) {
			oldest, found = list[0].Arrived, true
		}
	}
	return oldest, found
}

// Pop removes the next call of a class, of the workspaces that allow selects.
func (q *Queue[T]) Pop(class core.Class, allow func(workspace string) bool) (Item[T], bool) {
	best := ""
	found := false
	for workspace, list := range q.classes[class] {
		if !allow(workspace) {
			continue
		}
		if !found || less(list[0], q.classes[class][best][0], workspace, best) {
			best, found = workspace, true
		}
	}
	if !found {
		return Item[T]{}, false
	}
	first := q.classes[class][best][0]
	q.virtual[class] = max(q.virtual[class], first.start)
	q.removeAt(class, best, 0)
	return first.Item, true
}

func less[T any](a, b tagged[T], nameA, nameB string) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return nameA < nameB
}

func (q *Queue[T]) removeAt(class core.Class, workspace string, at int) {
	list := q.classes[class][workspace]
	copy(list[at:], list[at+1:])
	list[len(list)-1] = tagged[T]{}
	list = list[:len(list)-1]
	q.lengths[class]--
	if len(list) > 0 {
		q.classes[class][workspace] = list
		return
	}
	delete(q.classes[class], workspace)
	if q.finish[class][workspace] <= q.virtual[class] {
		delete(q.finish[class], workspace)
	}
}

// Remove takes out the calls that drop selects, and returns them.
func (q *Queue[T]) Remove(drop func(Item[T]) bool) []Item[T] {
	var out []Item[T]
	for class := range q.classes {
		for workspace, list := range q.classes[class] {
			for at := len(list) - 1; at >= 0; at-- {
				if drop(list[at].Item) {
					out = append(out, list[at].Item)
					q.removeAt(core.Class(class), workspace, at)
					list = q.classes[class][workspace]
				}
			}
		}
	}
	return out
}

// Expired takes out the calls whose deadline has passed.
func (q *Queue[T]) Expired(now time.Time) []Item[T] {
	return q.Remove(func(i Item[T]) bool { return !i.Deadline.IsZero() && !now.Before(i.Deadline) })
}
