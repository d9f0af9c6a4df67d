package testbed

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// RunSeeds runs a subtest for each of the first seeds, or for those that an environment variable names: "20-60" stands
// for 20 to 59.
func RunSeeds(t *testing.T, variable string, count uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	first, end := uint64(0), count
	if named := os.Getenv(variable); named != "" {
		_, err := fmt.Sscanf(named, "%d-%d", &first, &end)
		require.NoError(t, err)
	}
	for seed := first; seed < end; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}
