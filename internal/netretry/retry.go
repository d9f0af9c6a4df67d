package netretry

import (
	"time"

	"capercove/internal/limits"
)

// Backoff says how long to wait before a call is made again: First, then twice as long each time, up to Most.
type Backoff struct{ First, Most time.Duration }

// BackoffOf returns the backoff that the limits set.
func BackoffOf(l limits.Limits) Backoff { return Backoff{First: l.RetryFirst, Most: l.RetryMost} }

// After returns the wait that follows so many failures in a row, of which there is at least one.
func (b Backoff) After(failures int) time.Duration {
	wait := b.First
	for range failures - 1 {
		if wait >= b.Most {
			break
		}
		wait *= 2
	}
	return min(wait, b.Most)
}

// Within makes a call until it succeeds, fails in a way that is not worth another try, or has been tried for so long.
// It returns the last error.
func Within(limit time.Duration, b Backoff, again func(error) bool, call func() error) error {
	over := time.NewTimer(limit)
	defer over.Stop()
	for failures := 1; ; failures++ {
		err := call()
		if err == nil || !again(err) {
			return err
		}
		wait := time.NewTimer(b.After(failures))
		select {
		case <-wait.C:
		case <-over.C:
			wait.Stop()
			return err
		}
	}
}
