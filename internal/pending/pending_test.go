package pending_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pending"
)

func TestOldestGoesFirst(t *testing.T) {
	var q pending.Queue[int]
	for i := range 10 {
		q.Enter(i)
	}
	q.Leave(0)
	q.Leave(2)
	q.Leave(99)
	var over []int
	for one, more := q.Over(5); more; one, more = q.Over(5) {
		over = append(over, one)
	}
	require.Equal(t, []int{1, 3, 4}, over)
	require.Equal(t, 5, q.Len())
	for i := range 10 {
		q.Leave(i)
	}
	_, more := q.Over(0)
	require.False(t, more)
	q.Enter(11)
	one, more := q.Over(0)
	require.True(t, more)
	require.Equal(t, 11, one)
}

// What has left does not pile up behind one that stays.
func TestBounded(t *testing.T) {
	var q pending.Queue[int]
	q.Enter(-1)
	for i := range 100000 {
		q.Enter(i)
		q.Leave(i)
	}
	require.Equal(t, 1, q.Len())
	require.Less(t, q.Kept(), 1000)
}
