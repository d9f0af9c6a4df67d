package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The first line is allowed, then one line per interval, counted from the last allowed line.
func TestLogThrottleAllowsOneLinePerInterval(t *testing.T) {
	const start, interval = 1_800_000_000 * time.Second, time.Minute
	var throttle logThrottle
	require.True(t, throttle.allow(start, interval))
	require.False(t, throttle.allow(start, interval))
	require.False(t, throttle.allow(start+interval-1, interval))
	require.True(t, throttle.allow(start+interval, interval))
	require.False(t, throttle.allow(start+2*interval-1, interval))
	require.True(t, throttle.allow(start+5*interval, interval))
}
