package plank

import "time"

// A Clock returns the current time. Its readings carry a monotonic part, so that
// steps of the wall clock do not move deadlines derived from them.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
