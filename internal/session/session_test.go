package session_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/session"
)

const s = time.Second

// A read needs its session's last commit, and the present while a write is out, in whatever order writes end. One that never ran
// leaves no trace.
func TestNeed(t *testing.T) {
	w := session.New()
	require.Zero(t, w.Need(7, 100*s))
	w.Sent(7)
	w.Sent(7)
	require.Equal(t, 100*s, w.Need(7, 100*s))
	require.Zero(t, w.Need(8, 100*s), "of another session")
	w.Ended(7, true, 99*s)
	require.Equal(t, 101*s, w.Need(7, 101*s), "one is still out")
	w.Ended(7, true, 98*s)
	require.Equal(t, 99*s, w.Need(7, 102*s))
	w.Sent(7)
	w.Ended(7, false, 103*s)
	require.Equal(t, 99*s, w.Need(7, 104*s))
}

// What is forgotten still binds all sessions that are not remembered, and those without a name never.
func TestForget(t *testing.T) {
	w := session.New()
	for id, at := range []time.Duration{1 * s, 2 * s, 50 * s} {
		w.Sent(uint64(id))
		w.Ended(uint64(id), true, at)
	}
	w.Forget(10 * s)
	require.Equal(t, 2*s, w.Need(1, 100*s))
	require.Equal(t, 50*s, w.Need(2, 100*s))
	require.Equal(t, 2*s, w.Need(9, 100*s))
	require.Equal(t, 2*s, w.Need(0, 100*s))
}
