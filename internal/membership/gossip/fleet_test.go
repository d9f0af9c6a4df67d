package gossip_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/testbed"
)

// fastGossip shortens the intervals: poolers on one machine answer faster than over a network.
const fastGossip = "slower = 0.25"

// useOf returns how a pooler uses its view, from the state that it reports to operators.
func useOf(t *testing.T, fleet *testbed.Fleet, name string) map[string]any {
	t.Helper()
	use, isObject := fleet.State(name).Use.(map[string]any)
	require.True(t, isObject, "%s reports its use of the view", name)
	return use
}

// impairAllLinks sets the faults of all links between the named poolers.
func impairAllLinks(network *faults.Net, names []string, link faults.Link) {
	for _, from := range names {
		for _, to := range names {
			if from != to {
				network.Set(from, to, link)
			}
		}
	}
}

// without returns the names that are not among the excluded ones, in the same order.
func without(names []string, excluded ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(excluded, name) })
}

// goneLine is a part of the line that a pooler logs when another one no longer answers.
func goneLine(name string) string { return fmt.Sprintf(`"pooler":%q,"incarnation":`, name) }

// neverFoundLine is a part of the line that a pooler logs when it has known another one only by its facts.
func neverFoundLine(name string) string {
	return fmt.Sprintf(`"pooler":%q,"why":"it was never found"`, name)
}
