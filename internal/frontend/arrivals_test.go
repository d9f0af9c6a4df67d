package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The time since the last parsed byte is that of the mark it belongs to, whatever arrived before and after it. Bytes
// that arrive within the resolution share a mark, which bounds the number of marks.
func TestArrivals(t *testing.T) {
	const resolution = 10 * time.Millisecond
	var waiting arrivals
	require.Zero(t, waiting.sinceLastByte(0, time.Second), "nothing is known to wait")
	waiting.record(100, 1*time.Second, resolution)
	waiting.record(50, 1*time.Second+resolution-1, resolution)
	waiting.record(100, 2*time.Second, resolution)
	waiting.record(1, 3*time.Second, resolution)
	require.Len(t, waiting.marks, 3)
	now := 10 * time.Second
	require.Equal(t, 9*time.Second, waiting.sinceLastByte(251-20, now), "the first 20 bytes")
	require.Equal(t, 9*time.Second, waiting.sinceLastByte(251-150, now), "up to the end of the first mark")
	require.Equal(t, 8*time.Second, waiting.sinceLastByte(251-151, now), "one byte of the next")
	require.Equal(t, 7*time.Second, waiting.sinceLastByte(0, now))
	require.Len(t, waiting.marks, 1)
	waiting.clear()
	require.Zero(t, waiting.sinceLastByte(0, now))
	for i := range 1000 {
		waiting.record(1, now+time.Duration(i)*resolution/100, resolution)
	}
	require.Len(t, waiting.marks, 10, "one for each resolution of time")
}
