package pending_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pending"
)

// sameCost compares elements none of which costs more than another.
func sameCost(int, int) int { return 0 }

// RemoveOver returns the oldest elements beyond the limit, without those that have left.
func TestOverReturnsTheOldestWaitingElements(t *testing.T) {
	var queue pending.Queue[int]
	for i := range 10 {
		queue.Enter(i)
	}
	queue.Leave(0)
	queue.Leave(2)
	queue.Leave(99)
	require.Equal(t, []int{1, 3, 4}, queue.RemoveOver(5, sameCost))
	require.Empty(t, queue.RemoveOver(5, sameCost))
	require.Equal(t, 5, queue.Len())
	for i := range 10 {
		queue.Leave(i)
	}
	require.Empty(t, queue.RemoveOver(0, sameCost))
	queue.Enter(11)
	require.Equal(t, []int{11}, queue.RemoveOver(0, sameCost))
}

// RemoveOver returns those that cost most, and of equal ones the oldest first.
func TestOverReturnsTheMostCostlyElements(t *testing.T) {
	var queue pending.Queue[int]
	for _, element := range []int{31, 10, 30, 20, 32, 11} {
		queue.Enter(element)
	}
	byTens := func(a, b int) int { return a/10 - b/10 }
	require.Equal(t, []int{31, 30}, queue.RemoveOver(4, byTens))
	require.Equal(t, []int{32, 20, 10}, queue.RemoveOver(1, byTens))
	require.Equal(t, 1, queue.Len())
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
