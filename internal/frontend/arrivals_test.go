package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The age of the last parsed byte is that of its mark, whatever arrived before and after it. Bytes that arrive within
// the resolution share a mark, which bounds the number of marks.
func TestArrivalTimeOfLastParsedByte(t *testing.T) {
	const resolution = 10 * time.Millisecond
	var recorded arrivals
	require.Zero(t, recorded.sinceLastByte(0, time.Second), "no arrival is recorded")
	recorded.record(100, 1*time.Second, resolution)
	recorded.record(50, 1*time.Second+resolution-1, resolution)
	recorded.record(100, 2*time.Second, resolution)
	recorded.record(1, 3*time.Second, resolution)
	require.Len(t, recorded.marks, 3)
	now := 10 * time.Second
	require.Equal(t, 9*time.Second, recorded.sinceLastByte(251-20, now), "the first 20 bytes")
	require.Equal(t, 9*time.Second, recorded.sinceLastByte(251-150, now), "up to the end of the first mark")
	require.Equal(t, 8*time.Second, recorded.sinceLastByte(251-151, now), "one byte of the next mark")
	require.Equal(t, 7*time.Second, recorded.sinceLastByte(0, now))
	require.Len(t, recorded.marks, 1)
	recorded.clear()
	require.Zero(t, recorded.sinceLastByte(0, now))
	for i := range 1000 {
		recorded.record(1, now+time.Duration(i)*resolution/100, resolution)
	}
	require.Len(t, recorded.marks, 10, "one mark per resolution")
}
