package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/quota"
)

// Each tenant takes from its own bucket, which refills up to one second's quota.
func TestTakeIsLimitedByTheTenantsQuota(t *testing.T) {
	var quotas quota.Quotas
	require.True(t, quotas.Take(0, time.Hour), "without tenants nothing is limited")
	quotas.Set([]float64{10, 2}, 2)
	now := 2 * time.Hour
	countGranted := func(tenant, requests int) (granted int) {
		for range requests {
			if quotas.Take(tenant, now) {
				granted++
			}
		}
		return granted
	}
	require.Equal(t, 5, countGranted(0, 100), "one second of this router's share has accumulated")
	require.Equal(t, 1, countGranted(1, 100), "each tenant has its own quota")
	now += 600 * time.Millisecond
	require.Equal(t, 3, countGranted(0, 100))
	require.Zero(t, countGranted(1, 100))
	now += time.Hour
	require.Equal(t, 5, countGranted(0, 100), "at most one second accumulates")
	require.True(t, quotas.Take(7, now), "an unknown tenant has no quota")
	quotas.Set([]float64{100, 2}, 2)
	require.Zero(t, countGranted(0, 100), "new settings add no tokens")
	now += time.Second
	require.Equal(t, 50, countGranted(0, 100))
}
