package waitgroup

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Wait returns nil for a group that ends in time and ErrStillRunning for one that does not. The latter group may be
// waited for again.
func TestWaitReportsGroupThatOutlastsTimeout(t *testing.T) {
	const longEnough = 20 * time.Second
	var group sync.WaitGroup
	require.NoError(t, Wait(&group, longEnough), "no goroutine")
	release := make(chan struct{})
	group.Go(func() { <-release })
	require.ErrorIs(t, Wait(&group, time.Millisecond), ErrStillRunning)
	close(release)
	require.NoError(t, Wait(&group, longEnough))
}
