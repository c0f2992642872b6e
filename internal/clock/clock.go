// Package clock provides the time through an interface, so that tests can control it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

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

// SinceBoot returns the time since the start of the machine. Unlike the differences between times of
// System, it includes the time for which the machine was suspended. It returns 0 if the system does
// not tell.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
