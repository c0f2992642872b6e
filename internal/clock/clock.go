// Package clock passes the time as an interface, so that tests can set it.
package clock

import "time"

// Clock tells the time and waits for it.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the machine.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// After waits on the machine's timer.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
