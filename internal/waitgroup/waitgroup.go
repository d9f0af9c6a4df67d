// Package waitgroup waits for a sync.WaitGroup with a timeout.
package waitgroup

import (
	"errors"
	"sync"
	"time"
)

// ErrStillRunning is returned by Wait when the timeout expires before all goroutines of the group have ended.
var ErrStillRunning = errors.New("goroutines are still running")

// Wait waits until all goroutines of a group have ended or the timeout expires. After ErrStillRunning, a goroutine of
// Wait remains in the background until the group has ended.
func Wait(group *sync.WaitGroup, timeout time.Duration) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		group.Wait()
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return nil
	case <-timer.C:
		return ErrStillRunning
	}
}
