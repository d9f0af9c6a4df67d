package routing

import (
	"testing"
)

// Incident i10e2be: with no replica fresh, the reads that spill to the primary are bounded.
func TestSpillToThePrimaryIsBounded(t *testing.T) {
	s := settings()
	s.CanProbe = false
	h := newHarness(t, s)
	h.now += 500 * ms // every position is too old now
	for id := RequestID(10); id < 200; id++ {
		h.arrive(id, classBounded)
	}
	if in := h.r.byID[1].inFlight; in == 0 || float64(in) > writeBoundMultiple*maxBound {
		t.Fatalf("%d spilled reads in flight at the primary, want 1 to %v", in, writeBoundMultiple*maxBound)
	}
}
