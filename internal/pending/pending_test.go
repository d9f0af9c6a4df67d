package pending_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pending"
)

// RemoveOldestOver returns the oldest elements beyond the limit, without those that have left.
func TestOverReturnsTheOldestWaitingElements(t *testing.T) {
	var queue pending.Queue[int]
	for i := range 10 {
		queue.Enter(i)
	}
	queue.Leave(0)
	queue.Leave(2)
	queue.Leave(99)
	var over []int
	for oldest, more := queue.RemoveOldestOver(5); more; oldest, more = queue.RemoveOldestOver(5) {
		over = append(over, oldest)
	}
	require.Equal(t, []int{1, 3, 4}, over)
	require.Equal(t, 5, queue.Len())
	for i := range 10 {
		queue.Leave(i)
	}
	_, more := queue.RemoveOldestOver(0)
	require.False(t, more)
	queue.Enter(11)
	oldest, more := queue.RemoveOldestOver(0)
	require.True(t, more)
	require.Equal(t, 11, oldest)
}

// Elements that have left do not accumulate, even behind one that stays.
func TestElementsThatLeftDoNotAccumulate(t *testing.T) {
	var queue pending.Queue[int]
	queue.Enter(-1)
	for i := range 100000 {
		queue.Enter(i)
		queue.Leave(i)
	}
	require.Equal(t, 1, queue.Len())
	require.Less(t, queue.Slots(), 1000)
}
