package session_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/clockoffset"
	"capercove/internal/session"
)

const s = time.Second

// at is a commit by the databases' clock.
func at(position time.Duration) clockoffset.Instant { return clockoffset.Instant{Remote: position} }

// now is the present by the own clock.
func now(t time.Duration) clockoffset.Instant { return clockoffset.Instant{Own: t} }

// A read needs its session's last commit, and the present while a write is out, in whatever order writes end. One that never ran
// leaves no trace.
func TestNeed(t *testing.T) {
	w := session.New()
	require.Zero(t, w.Need(7, 100*s))
	w.Sent(7)
	w.Sent(7)
	require.Equal(t, now(100*s), w.Need(7, 100*s))
	require.Zero(t, w.Need(8, 100*s), "of another session")
	w.Ended(7, true, at(99*s))
	require.Equal(t, now(101*s), w.Need(7, 101*s), "one is still out")
	w.Ended(7, true, at(98*s))
	require.Equal(t, at(99*s), w.Need(7, 102*s))
	w.Sent(7)
	w.Ended(7, false, at(103*s))
	require.Equal(t, at(99*s), w.Need(7, 104*s))
}

// What is forgotten still binds all sessions that are not remembered, and those without a name never.
func TestForget(t *testing.T) {
	w := session.New()
	for id, position := range []time.Duration{1 * s, 2 * s, 50 * s} {
		w.Sent(uint64(id))
		w.Ended(uint64(id), true, at(position))
	}
	w.Forget(10*s, 0)
	require.Equal(t, at(2*s), w.Need(1, 100*s))
	require.Equal(t, at(50*s), w.Need(2, 100*s))
	require.Equal(t, at(2*s), w.Need(9, 100*s))
	require.Equal(t, at(2*s), w.Need(0, 100*s))
}

// Commits are times of the databases' clock, and what is known by the own clock alone moves with the offset.
func TestOwnClockIsWrong(t *testing.T) {
	const ahead = 3600 * s // the databases' clock
	w := session.New()
	w.Sent(1)
	w.Ended(1, true, now(50*s)) // its answer was lost
	w.Sent(2)
	w.Ended(2, true, at(ahead+50*s))
	w.Sent(3)
	w.Ended(3, true, at(ahead+99*s))
	require.Equal(t, ahead+50*s, w.Need(1, 100*s).By(ahead))
	w.Forget(60*s, ahead)
	require.Equal(t, ahead+99*s, w.Need(3, 100*s).By(ahead), "still remembered")
	for _, forgotten := range []uint64{1, 2, 9} {
		require.Equal(t, ahead+50*s, w.Need(forgotten, 100*s).By(ahead))
	}
}
