package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/quota"
)

func TestTake(t *testing.T) {
	var q quota.Quotas
	require.True(t, q.Take(0, time.Hour), "without tenants all is granted")
	q.Set([]float64{10, 2}, 2)
	now := 2 * time.Hour
	count := func(tenant, asks int) (granted int) {
		for range asks {
			if q.Take(tenant, now) {
				granted++
			}
		}
		return granted
	}
	require.Equal(t, 5, count(0, 100), "a second's worth of this router's part was saved up")
	require.Equal(t, 1, count(1, 100), "each tenant has its own")
	now += 600 * time.Millisecond
	require.Equal(t, 3, count(0, 100))
	require.Zero(t, count(1, 100))
	now += time.Hour
	require.Equal(t, 5, count(0, 100), "no more is saved up")
	require.True(t, q.Take(7, now), "a tenant that nobody named has no quota")
	q.Set([]float64{100, 2}, 2)
	require.Zero(t, count(0, 100), "new settings do not refill")
	now += time.Second
	require.Equal(t, 50, count(0, 100))
}
