package balance_test

import (
	"slices"
	"time"
)

// timeline runs events in virtual time.
type timeline struct {
	now    time.Time
	events []event // ordered by time
}

type event struct {
	at  time.Time
	run func()
}

func (l *timeline) schedule(t time.Time, run func()) {
	i, _ := slices.BinarySearchFunc(l.events, t, func(e event, t time.Time) int { return e.at.Compare(t) })
	for i < len(l.events) && l.events[i].at.Equal(t) {
		i++
	}
	l.events = slices.Insert(l.events, i, event{at: t, run: run})
}

func (l *timeline) after(d time.Duration, run func()) { l.schedule(l.now.Add(d), run) }

func (l *timeline) runUntil(end time.Time) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := l.events[0]
		l.events = l.events[1:]
		l.now = e.at
		e.run()
	}
}
