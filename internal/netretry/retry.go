package netretry

import (
	"time"

	"capercove/internal/limits"
)

// Backoff is an exponential backoff: it doubles the wait before each further attempt.
type Backoff struct {
	// First is the wait after the first failure.
	First time.Duration
	// Max is the longest wait.
	Max time.Duration
}

// NewBackoff returns the backoff that the limits configure.
func NewBackoff(bounds limits.Retry) Backoff {
	return Backoff{First: bounds.FirstBackoff, Max: bounds.MaxBackoff}
}

// After returns the wait after a number of consecutive failures, which is at least one.
func (b Backoff) After(failures int) time.Duration {
	wait := b.First
	for range failures - 1 {
		if wait >= b.Max {
			break
		}
		wait *= 2
	}
	return min(wait, b.Max)
}

// Within makes a call at least once. It retries the call until it succeeds, fails with an error for which retryable
// returns false, or the limit has passed. It returns the error of the last attempt.
func Within(limit time.Duration, backoff Backoff, retryable func(error) bool, call func() error) error {
	expired := time.NewTimer(limit)
	defer expired.Stop()
	for failures := 1; ; failures++ {
		err := call()
		if err == nil || !retryable(err) {
			return err
		}
		wait := time.NewTimer(backoff.After(failures))
		select {
		case <-wait.C:
		case <-expired.C:
			wait.Stop()
			return err
		}
	}
}
