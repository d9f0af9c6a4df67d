package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two plans that begin at the same time by a clock that was stepped back are two.
func TestPlansOfTheSameTime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	first, second := planID(now), planID(now)
	require.NotEqual(t, first, second)
	require.Contains(t, first, "20270115T080000-")
}
