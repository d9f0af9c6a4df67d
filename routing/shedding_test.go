package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Incident i10e2be: while no replica is fresh, the number of reads in flight at the primary is bounded.
func TestReadsAtThePrimaryAreBounded(t *testing.T) {
	harness := newHarnessWith(t, func(settings *Settings) { settings.CanProbe = false })
	harness.now += 500 * ms // every position is too old by now
	for id := RequestID(10); id < 200; id++ {
		harness.arrive(id, classBounded)
	}
	inFlight := harness.router.byID[1].inFlight
	require.NotZero(t, inFlight)
	require.LessOrEqual(t, float64(inFlight), float64(writeBoundMultiple*maxBound))
}
