// Package clock provides the time through an interface, so that tests can control it.
package clock

import "time"

// Clock returns the current time and provides timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the current time after d.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current local time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the current time after d.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
