package backend

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/internal/timerwheel"
)

// The limit of idle connections is the pool's limit or, if lower, the database's limit set by LimitIdle.
func TestLowerIdleLimitApplies(t *testing.T) {
	const poolLimit = 24
	for name, test := range map[string]struct {
		byName   map[string]int
		expected int
	}{
		"no limits by name":      {nil, poolLimit},
		"no entry":               {map[string]int{"other": 1}, poolLimit},
		"lower":                  {map[string]int{"db": 3}, 3},
		"none":                   {map[string]int{"db": 0}, 0},
		"higher than the pool's": {map[string]int{"db": poolLimit + 1}, poolLimit},
	} {
		pool := &Pool{limits: limits.Backend{MaxIdlePerDatabase: poolLimit}, idleLimits: test.byName}
		require.Equal(t, test.expected, pool.idleLimit(newDatabase(&core.Member{Name: "db"})), name)
	}
}

// Removing a job or an idle connection preserves the order of the others. Removing an absent one changes nothing.
func TestRemovalPreservesQueueAndIdleOrder(t *testing.T) {
	database := newDatabase(&core.Member{})
	first, second, third := &job{}, &job{}, &job{}
	database.waiting = []*job{first, second, third}
	database.dequeue(second)
	database.dequeue(second)
	require.Len(t, database.waiting, 2)
	require.Same(t, first, database.dequeueFirst())
	require.Same(t, third, database.dequeueFirst())
	require.Empty(t, database.waiting)

	oldest, middle, newest := &connection{}, &connection{}, &connection{}
	database.idle = []*connection{oldest, middle, newest}
	database.removeIdle(middle)
	database.removeIdle(middle)
	require.Len(t, database.idle, 2)
	require.Same(t, oldest, database.idle[0])
	require.Same(t, newest, database.idle[1])
}

// A database is dialed while more jobs wait than connections are being opened, but not during a backoff.
func TestShouldDialOnlyForUnservedJobsOutsideBackoff(t *testing.T) {
	wheel := timerwheel.New(1, 8, 0)
	database := newDatabase(&core.Member{})
	require.False(t, database.shouldDial(), "no job waits")
	database.waiting = []*job{{}, {}}
	database.connecting = 1
	require.True(t, database.shouldDial())
	database.connecting = 2
	require.False(t, database.shouldDial(), "a connection is being opened for each job")
	database.connecting = 0
	database.retry = wheel.Schedule(1, func() {})
	database.transientFailures, database.lastFailure = 3, dialLacksResource
	require.False(t, database.shouldDial(), "dials are in backoff")
	require.True(t, database.resetBackoff())
	require.True(t, database.shouldDial())
	require.Zero(t, database.transientFailures)
	require.Equal(t, noDialFailure, database.lastFailure)
	require.False(t, database.resetBackoff(), "dials are no longer in backoff")
}

// Readers of the log depend on the JSON names of the counters.
func TestCountersHaveStableJSONNames(t *testing.T) {
	text, err := json.Marshal(Counters{UnexpectedInput: 1, LocalShortages: 2})
	require.NoError(t, err)
	require.Equal(t, `{"Dials":0,"DialsFailed":0,"Reused":0,"Stale":0,"Expired":0,"Evicted":0,"Divided":0,`+
		`"TooLate":0,"Capped":0,"Unasked":1,"BadReplies":0,"Long":0,"Short":2,"Unreachable":0}`, string(text))
}
