package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The first attempt of a write with an idempotency key has no limit. Guards against a copy that is written after the
// DedupWindow: a repeat must be written before the window of the first attempt ends.
func TestRepeatMustBeWrittenWithinTheWindow(t *testing.T) {
	harness := newHarness(t, defaultSettings())
	first := harness.arrive(7, classKeyed)
	harness.requireActions("write", first, Send)
	require.Equal(t, WriteLimit{}, first[0].Limit)
	windowEnd := harness.now + harness.router.settings.Classes[classKeyed].DedupWindow
	harness.now += 100 * ms
	harness.done(7, 0, 1, ConnectionBroken, Evidence{})
	repeat := harness.wait(100 * ms)
	harness.requireActions("repeat", repeat, Send)
	require.Equal(t, WriteLimit{windowEnd, Repeatable}, repeat[0].Limit)
}

// A repeat of a read has no limit but the proof of its freshness.
func TestOnlyBoundedReadsMustBeWrittenWhileFresh(t *testing.T) {
	for class, condition := range map[int]WriteCondition{
		classAny: Unlimited, classBounded: ProvenFresh, classSession: Unlimited, classFresh: Unlimited,
	} {
		harness := newHarness(t, defaultSettings())
		actions := harness.arrive(7, class)
		harness.requireActions("read", actions, Send)
		limit := actions[0].Limit
		require.Equal(t, condition == Unlimited, limit.Until == 0, "class %d", class)
		if limit.Until > 0 {
			require.Equal(t, condition, limit.Condition)
		}
	}
}

// Of two limits the earlier one holds, and no limit is later than any.
func TestTheEarlierLimitHolds(t *testing.T) {
	early, late := WriteLimit{time.Second, Repeatable}, WriteLimit{time.Minute, DeadlineLeft}
	past := WriteLimit{-time.Second, ProvenFresh}
	for _, test := range []struct{ one, other, want WriteLimit }{
		{early, late, early}, {early, WriteLimit{}, early}, {early, past, past}, {WriteLimit{}, past, past},
	} {
		require.Equal(t, test.want, test.one.And(test.other))
		require.Equal(t, test.want, test.other.And(test.one))
	}
	require.True(t, early.Allows(time.Second-1))
	require.False(t, early.Allows(time.Second))
	require.False(t, past.Allows(0))
	require.True(t, WriteLimit{}.Allows(time.Hour))
}
