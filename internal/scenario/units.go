package scenario

import "time"

// Seconds converts a number of seconds to a duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Millis converts a number of milliseconds to a duration.
func Millis(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}
