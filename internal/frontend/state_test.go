package frontend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each state has a name of its own, and a value that is none of them is told by its number.
func TestNamesOfStates(t *testing.T) {
	for name, values := range map[string][]fmt.Stringer{
		"place":         {placeNone, placeStarting, placeStarted, placeLingering},
		"closeStage":    {stageOpen, stageLastCommand, stageFlushing, stageHalfClosed, stageClosed},
		"inputState":    {inputNone, inputComplete, inputPartial},
		"drainRule":     {drainBetweenRequests, drainAfterQuery},
		"responseState": {responsePending, responseStreaming, responseComplete, responseLast},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[string]bool{}
			for _, value := range values {
				require.NotContains(t, value.String(), "(")
				require.False(t, seen[value.String()], "%s stands for two", value)
				seen[value.String()] = true
			}
		})
	}
	require.Equal(t, "closeStage(9)", closeStage(9).String())
	require.Equal(t, "place(9)", place(9).String())
	require.Equal(t, "inputState(9)", inputState(9).String())
	require.Equal(t, "drainRule(9)", drainRule(9).String())
	require.Equal(t, "responseState(9)", responseState(9).String())
}

// Whatever the order of the transitions, a connection never goes back to an earlier stage.
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

// An input is never without bytes again once the client has sent some, and only a partial one becomes complete.
func TestInputStates(t *testing.T) {
	connection := &clientConnection{}
	connection.markComplete()
	require.Equal(t, inputNone, connection.input, "nothing has come")
	connection.markReceived()
	require.Equal(t, inputComplete, connection.input)
	connection.markPartial()
	connection.markReceived()
	require.Equal(t, inputPartial, connection.input, "more of it has come, and not yet its end")
	connection.markComplete()
	require.Equal(t, inputComplete, connection.input)
}

// The counts of a table follow its connections from each place to each other.
func TestPlacesOfTheTable(t *testing.T) {
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

// count is 1 for one that is counted.
func count(counted bool) int {
	if counted {
		return 1
	}
	return 0
}
