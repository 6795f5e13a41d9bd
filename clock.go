package plank

import "time"

// A Clock tells the time. Its readings carry a monotonic part, so deadlines
// derived from them are not moved by steps of the wall clock.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
