package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// withClocks sets the clocks of the databases before anything is asked.
func withClocks(ahead ...time.Duration) testbed.Option {
	return func(b *testbed.Bed) {
		for i, by := range ahead {
			b.Databases[i].ClockAhead(by)
		}
	}
}

// A program whose wall clock is wrong serves reads at replicas that keep up, once the positions in answers have shown by how much.
func TestOwnClockIsAhead(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"an hour": time.Hour, "two seconds": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			b := testbed.Start(t, withClocks(-ahead, -ahead))
			c := b.Client()
			b.Eventually(func() bool {
				require.True(t, c.Ask(b.Statement("write", "a", second)).Complete)
				return string(c.Ask(b.Statement("read", "b", second)).Value) == "from db-1"
			}, "a read at the replica")
		})
	}
}

// A program whose wall clock is behind takes no replica for fresh that is too far behind the databases' present.
func TestOwnClockIsBehind(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"an hour": time.Hour, "twenty seconds": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			b := testbed.Start(t, withClocks(ahead, ahead-5*time.Second))
			c := b.Client()
			for range 25 {
				require.Equal(t, "from db-0", string(c.Ask(b.Statement("read", "b", second)).Value))
			}
		})
	}
}
