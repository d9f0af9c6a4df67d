package backend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// transitions maps each state to the states that may follow it.
var transitions = map[connectionState][]connectionState{
	stateDialing:        {stateStartingUp, stateClosed},
	stateStartingUp:     {stateIdle, stateClosed},
	stateIdle:           {stateWriting, stateClosed},
	stateWriting:        {stateAwaitingAnswer, stateClosed},
	stateAwaitingAnswer: {stateIdle, stateStreaming, stateClosed},
	stateStreaming:      {stateClosed},
	stateClosed:         {},
}

// Only the transitions of the table change the state of a connection; any other call of transitionTo changes nothing.
func TestOnlyListedTransitionsChangeState(t *testing.T) {
	require.Len(t, transitions, int(stateCount))
	for from, allowed := range transitions {
		for to := range stateCount {
			connection := &connection{state: from}
			isTransition := connection.transitionTo(to)
			expected := from
			if isTransition {
				expected = to
			}
			require.Equal(t, expected, connection.state, "%v to %v", from, to)
			if isTransition {
				require.Contains(t, allowed, to, "from %v", from)
			} else {
				require.NotContains(t, allowed, to, "from %v", from)
			}
		}
		require.False(t, from.canTransitionTo(stateCount), "from %v", from)
	}
}

// A connection is connecting while it is dialed or starts up, and in no other state.
func TestOnlyDialingAndStartingUpAreConnecting(t *testing.T) {
	for state := range stateCount {
		connecting := state == stateDialing || state == stateStartingUp
		require.Equal(t, connecting, state.isConnecting(), state)
	}
}

// requireDistinctNames requires that all values below count have distinct, non-empty names.
func requireDistinctNames[V interface {
	~uint8
	fmt.Stringer
}](t *testing.T, count V) {
	t.Helper()
	names := map[string]bool{}
	for value := range count {
		require.NotEmpty(t, value.String())
		names[value.String()] = true
	}
	require.Len(t, names, int(count))
}

// Each state has a distinct name. A value beyond the defined ones is printed as a number.
func TestStateNamesAreDistinct(t *testing.T) {
	requireDistinctNames(t, stateCount)
	require.Equal(t, "awaiting answer", stateAwaitingAnswer.String())
	require.Equal(t, "connectionState(7)", stateCount.String())
}

// detachJob clears the references of the connection and of its job to each other.
func TestDetachJobClearsBothReferences(t *testing.T) {
	carrier := &connection{}
	require.Nil(t, carrier.detachJob())
	carried := &job{connection: carrier}
	carrier.job = carried
	require.Same(t, carried, carrier.detachJob())
	require.Nil(t, carrier.job)
	require.Nil(t, carried.connection)
}
