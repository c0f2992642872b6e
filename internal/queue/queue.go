// Package queue orders waiting calls. Short calls precede long ones, though long
// ones do not starve. Within a class, workspaces share the capacity by start-time
// fair queueing. The package does no I/O.
package queue

import (
	"time"

	"github.com/sequoiarack/sequoiarack/internal/core"
)

// Item is a waiting call.
type Item[T any] struct {
	Value     T
	Workspace string
	Class     core.Class
	// Cost is the expected work, in tokens.
	Cost float64
	// Arrived is when the call began to wait.
	Arrived time.Time
	// Deadline is when the call expires. The zero time means never.
	Deadline time.Time
}

// taggedItem is an Item with its start tag, in virtual time.
type taggedItem[T any] struct {
	Item[T]
	startTag float64
}

// Queue holds the waiting calls of one service. It is not safe for concurrent use.
// Virtual time and the tags are in tokens of expected work, separately for each class.
type Queue[T any] struct {
	waiting     [2]map[string][]taggedItem[T]
	finishTags  [2]map[string]float64
	virtualTime [2]float64
	lengths     [2]int
	longWait    time.Duration
}

// New returns an empty Queue in which long calls precede short ones once the oldest
// long call has waited for longWait.
func New[T any](longWait time.Duration) *Queue[T] {
	q := &Queue[T]{longWait: longWait}
	for i := range q.waiting {
		q.waiting[i] = map[string][]taggedItem[T]{}
		q.finishTags[i] = map[string]float64{}
	}
	return q
}

// Len returns the number of waiting calls of a class.
func (q *Queue[T]) Len(class core.Class) int { return q.lengths[class] }

// WorkspaceLen returns the number of waiting calls of a workspace.
func (q *Queue[T]) WorkspaceLen(workspace string) int {
	return len(q.waiting[core.Short][workspace]) + len(q.waiting[core.Long][workspace])
}

// Workspaces returns the number of workspaces with waiting calls of a class.
func (q *Queue[T]) Workspaces(class core.Class) int { return len(q.waiting[class]) }

// Push adds a call to the queue of its class and workspace.
func (q *Queue[T]) Push(item Item[T]) {
	c := item.Class
	startTag := max(q.virtualTime[c], q.finishTags[c][item.Workspace])
	q.finishTags[c][item.Workspace] = startTag + max(item.Cost, 1)
	q.waiting[c][item.Workspace] = append(q.waiting[c][item.Workspace], taggedItem[T]{Item: item, startTag: startTag})
	q.lengths[c]++
}

// Order returns the classes in the order in which they are to be served now.
func (q *Queue[T]) Order(now time.Time) [2]core.Class {
	if oldest, ok := q.oldestLong(); ok && now.Sub(oldest) >= q.longWait {
		return [2]core.Class{core.Long, core.Short}
	}
	return [2]core.Class{core.Short, core.Long}
}

func (q *Queue[T]) oldestLong() (time.Time, bool) {
	var oldest time.Time
	found := false
	for _, list := range q.waiting[core.Long] {
		if !found || list[0].Arrived.Before(oldest) {
			oldest, found = list[0].Arrived, true
		}
	}
	return oldest, found
}

// Pop removes and returns the next call of a class, from the workspaces for which
// allow returns true. It returns false if there is none.
func (q *Queue[T]) Pop(class core.Class, allow func(workspace string) bool) (Item[T], bool) {
	best := ""
	found := false
	for workspace, list := range q.waiting[class] {
		if !allow(workspace) {
			continue
		}
		if !found || servedBefore(list[0], q.waiting[class][best][0], workspace, best) {
			best, found = workspace, true
		}
	}
	if !found {
		return Item[T]{}, false
	}
	first := q.waiting[class][best][0]
	q.virtualTime[class] = max(q.virtualTime[class], first.startTag)
	q.removeAt(class, best, 0)
	return first.Item, true
}

func servedBefore[T any](a, b taggedItem[T], workspaceA, workspaceB string) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return workspaceA < workspaceB
}

func (q *Queue[T]) removeAt(class core.Class, workspace string, at int) {
	list := q.waiting[class][workspace]
	copy(list[at:], list[at+1:])
	list[len(list)-1] = taggedItem[T]{}
	list = list[:len(list)-1]
	q.lengths[class]--
	if len(list) > 0 {
		q.waiting[class][workspace] = list
		return
	}
	delete(q.waiting[class], workspace)
	if q.finishTags[class][workspace] <= q.virtualTime[class] {
		delete(q.finishTags[class], workspace)
	}
}

// Remove removes and returns the calls for which drop returns true.
func (q *Queue[T]) Remove(drop func(Item[T]) bool) []Item[T] {
	var out []Item[T]
	for class := range q.waiting {
		for workspace, list := range q.waiting[class] {
			for at := len(list) - 1; at >= 0; at-- {
				if drop(list[at].Item) {
					out = append(out, list[at].Item)
					q.removeAt(core.Class(class), workspace, at)
					list = q.waiting[class][workspace]
				}
			}
		}
	}
	return out
}

// Expired removes and returns the calls whose deadline has passed.
func (q *Queue[T]) Expired(now time.Time) []Item[T] {
	return q.Remove(func(i Item[T]) bool { return !i.Deadline.IsZero() && !now.Before(i.Deadline) })
}
