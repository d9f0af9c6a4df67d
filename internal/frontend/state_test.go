package frontend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// The states of each type have distinct names, and an undefined value is shown as a number.
func TestStateNamesAreDistinct(t *testing.T) {
	for name, values := range map[string][]fmt.Stringer{
		"place":         {placeNone, placeStarting, placeStarted, placeLingering},
		"closeStage":    {stageOpen, stageLastCommand, stageFlushing, stageHalfClosed, stageClosed},
		"inputState":    {inputNone, inputComplete, inputPartial},
		"inputFlow":     {flowReading, flowPaused, flowResuming},
		"drainRule":     {drainBetweenRequests, drainAfterQuery},
		"responseState": {responsePending, responseStreaming, responseComplete, responseLast},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[string]bool{}
			for _, value := range values {
				require.NotContains(t, value.String(), "(")
				require.False(t, seen[value.String()], "%s is the name of two values", value)
				seen[value.String()] = true
			}
		})
	}
	require.Equal(t, "closeStage(9)", closeStage(9).String())
	require.Equal(t, "place(9)", place(9).String())
	require.Equal(t, "inputState(9)", inputState(9).String())
	require.Equal(t, "inputFlow(9)", inputFlow(9).String())
	require.Equal(t, "drainRule(9)", drainRule(9).String())
	require.Equal(t, "responseState(9)", responseState(9).String())
}

// A connection never returns to an earlier stage, whatever the order of the transitions.
func TestStagesOnlyAdvance(t *testing.T) {
	stages := []closeStage{stageOpen, stageLastCommand, stageFlushing, stageHalfClosed, stageClosed}
	for _, from := range stages {
		for _, to := range stages {
			connection := &clientConnection{stage: from}
			connection.advanceTo(to)
			require.Equal(t, max(from, to), connection.stage, "%s to %s", from, to)
			require.Equal(t, max(from, to) >= stageFlushing, connection.stage.isClosing())
		}
	}
}

// Once bytes have arrived, the input never returns to inputNone, and only a partial input becomes complete.
func TestInputStateTransitions(t *testing.T) {
	connection := &clientConnection{}
	connection.markComplete()
	require.Equal(t, inputNone, connection.input, "no bytes have arrived")
	connection.markReceived()
	require.Equal(t, inputComplete, connection.input)
	connection.markPartial()
	connection.markReceived()
	require.Equal(t, inputPartial, connection.input, "more bytes have arrived, but the message is still incomplete")
	connection.markComplete()
	require.Equal(t, inputComplete, connection.input)
}

// The counts of a table are correct after a move of a connection from any place to any other.
func TestTableCountsFollowMoves(t *testing.T) {
	places := []place{placeNone, placeStarting, placeStarted, placeLingering}
	for _, from := range places {
		for _, to := range places {
			table := newConnectionTable()
			connection := &clientConnection{}
			table.move(connection, from)
			table.move(connection, to)
			isEntry, isStarting := to == placeStarting || to == placeStarted, to == placeStarting
			require.Equal(t, to, connection.place, "%s to %s", from, to)
			require.Equal(t, count(isEntry), table.size(), "%s to %s", from, to)
			require.Equal(t, count(isStarting), table.starting, "%s to %s", from, to)
			require.Equal(t, count(isEntry && !isStarting), table.started(), "%s to %s", from, to)
			require.Equal(t, count(to == placeLingering), table.lingering, "%s to %s", from, to)
		}
	}
}

// count returns 1 if counted is true, and 0 otherwise.
func count(counted bool) int {
	if counted {
		return 1
	}
	return 0
}
