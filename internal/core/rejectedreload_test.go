package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
)

// The age of a rejected configuration counts from the first rejection, and ends with a configuration that is applied.
func TestAgeOfRejectedReload(t *testing.T) {
	harness := newHarness()
	age := func() time.Duration { return harness.core.Figures().RejectedReloadAge }
	require.Zero(t, age())
	for range 2 {
		harness.core.ReloadRejected()
		harness.pass(time.Second)
	}
	require.InDelta(t, 2*time.Second, age(), float64(200*time.Millisecond), "figures are published in intervals")
	harness.core.Reconfigure(core.Settings{Settings: harness.settings.Settings, Names: harness.settings.Names})
	harness.pass(time.Second)
	require.Zero(t, age())
}
