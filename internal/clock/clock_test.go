package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/clock"
)

func TestAgeIsKnownWithinOneBoot(t *testing.T) {
	now := clock.Stamp{Boot: "a", SinceBoot: 10 * time.Second}
	for _, c := range []struct {
		name  string
		stamp clock.Stamp
		age   time.Duration
		known bool
	}{
		{"earlier in this boot", clock.Stamp{Boot: "a", SinceBoot: 7 * time.Second}, 3 * time.Second, true},
		{"of another boot", clock.Stamp{Boot: "b", SinceBoot: 7 * time.Second}, 0, false},
		{"in the future", clock.Stamp{Boot: "a", SinceBoot: 11 * time.Second}, 0, false},
		{"the zero value", clock.Stamp{}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			age, known := c.stamp.Age(now)
			require.Equal(t, c.known, known)
			require.Equal(t, c.age, age)
		})
	}
}

func TestNowNeverGoesBack(t *testing.T) {
	first, err := clock.Now()
	require.NoError(t, err)
	second, err := clock.Now()
	require.NoError(t, err)
	require.NotEmpty(t, first.Boot)
	_, known := first.Age(second)
	require.True(t, known)
}
