package clockoffset

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireNear requires that both bounds differ from the offset by at most 100 ms.
func requireNear(t *testing.T, offset time.Duration, bounds Bounds) {
	t.Helper()
	require.InDelta(t, float64(offset), float64(bounds.Latest), float64(100*ms))
	require.InDelta(t, float64(offset), float64(bounds.Earliest), float64(100*ms))
}

// forEachSeed runs a subtest for each seed below seeds.
func forEachSeed(t *testing.T, seeds uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}

// While the clocks agree, the offset is exactly zero and no sample contradicts it, however long answers take and
// however positions are rounded.
func TestOffsetOfAgreeingClocksIsZero(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		fleet, estimator := newFleet(seed, 0), &Estimator{}
		for n := range 3000 {
			require.False(t, estimator.Add(fleet.sample()), "sample %d", n)
			require.Zero(t, estimator.Bounds())
			require.Zero(t, estimator.Contradictions())
		}
	})
}

// A process whose clock is wrong finds the offset within 200 samples. Its bounds err on the safe side: data counts as
// no fresher than it is, and the uptime of processes as no longer.
func TestOffsetOfWrongClockIsFound(t *testing.T) {
	offsets := []time.Duration{time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second, 300 * ms, -300 * ms}
	for _, offset := range offsets {
		for _, corrupt := range []float64{0, 0.1} {
			t.Run(fmt.Sprint(offset, " corrupt ", corrupt), func(t *testing.T) {
				forEachSeed(t, 4, func(t *testing.T, seed uint64) {
					fleet, estimator := newFleet(seed, offset), &Estimator{}
					fleet.corrupt = corrupt
					requireOffsetFound(t, fleet, estimator)
				})
			})
		}
	}
}

// requireOffsetFound requires that the estimator finds the fleet's offset within 200 samples, and that its bounds are
// on the safe side from the first estimate.
func requireOffsetFound(t *testing.T, fleet *fleet, estimator *Estimator) {
	t.Helper()
	found := false
	for n := range 1000 {
		estimator.Add(fleet.sample())
		bounds := estimator.Bounds()
		if bounds != (Bounds{}) && bounds.Latest != Unknown {
			found = true
			require.LessOrEqual(t, bounds.Earliest, fleet.offset, "sample %d", n)
			require.GreaterOrEqual(t, bounds.Latest, min(fleet.offset, 0), "sample %d", n)
			if fleet.offset > 0 {
				require.GreaterOrEqual(t, bounds.Latest, fleet.offset, "sample %d", n)
			}
		}
		if n > 200 {
			require.True(t, found)
			requireNear(t, fleet.offset, bounds)
		}
	}
}

// An eighth of corrupt positions does not change the offset while the other samples show that the clocks agree.
func TestCorruptPositionsDoNotChangeTheOffset(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
		fleet, estimator := newFleet(seed, 0), &Estimator{}
		fleet.addSamples(estimator, 40)
		fleet.corrupt = 0.12
		for n := range 2000 {
			estimator.Add(fleet.sample())
			require.Zero(t, estimator.Bounds(), "sample %d", n)
		}
	})
}

// A single outlier does not change the offset, whenever it arrives.
func TestOneOutlierDoesNotChangeTheOffset(t *testing.T) {
	for _, outlier := range []time.Duration{-epoch + 1, -time.Hour, -300 * ms, 300 * ms, time.Hour, 1000 * time.Hour} {
		for name, kind := range map[string]Kind{"reported": Reported, "primary": Primary, "commit": Commit} {
			t.Run(fmt.Sprint(name, " off by ", outlier), func(t *testing.T) {
				for at := range 12 {
					fleet, estimator := newFleet(1, 0), &Estimator{}
					for n := range 60 {
						sample := fleet.sample()
						if n == at {
							sample.Kind, sample.Position = kind, sample.Position+outlier
						}
						estimator.Add(sample)
						require.Zero(t, estimator.Bounds(), "outlier at %d, sample %d", at, n)
					}
				}
			})
		}
	}
}

// answer is a commit that is received now, of a write that was sent sinceSend before.
func answer(now, position, sinceSend time.Duration) Sample {
	return Sample{Kind: Commit, Position: position, Sent: now - sinceSend, Received: now}
}

// At any rate of answers, the windows span enough time to find the offset.
func TestOffsetIsFoundAtAnyRateOfAnswers(t *testing.T) {
	for _, interval := range []time.Duration{10 * time.Microsecond, ms, 20 * ms} {
		t.Run(fmt.Sprint("every ", interval), func(t *testing.T) {
			estimator, now := &Estimator{}, epoch
			for now < epoch+2*minSpread {
				now += interval
				estimator.Add(answer(now, now-time.Hour, 10*time.Microsecond))
			}
			require.InDelta(t, float64(-time.Hour), float64(estimator.Bounds().Latest), float64(10*ms))
		})
	}
}

// Answers that arrive at nearly the same time do not establish an offset: their positions may be frozen.
func TestAnswersOfOneMomentProveNothing(t *testing.T) {
	estimator := &Estimator{}
	const pending = 90 * ms // all requests are in flight at the same time
	for n := range 5 {
		received := epoch + pending + time.Duration(n)*minSpacing
		estimator.Add(answer(received, epoch-time.Hour, received-epoch))
		require.Zero(t, estimator.Bounds())
	}
	estimator.Add(answer(epoch+3*minSpread, epoch+3*minSpread-time.Hour, ms))
	require.InDelta(t, float64(-time.Hour), float64(estimator.Bounds().Latest), float64(10*ms))
}

// Slow answers are compatible with a small offset as well as with zero. One or two fast answers that are compatible
// only with the offset do not change the estimate; a quorum of them does.
func TestFewFastAnswersDoNotChangeTheOffset(t *testing.T) {
	estimator, now := &Estimator{}, epoch
	add := func(count int, offset, sinceSend time.Duration) {
		for range count {
			now += minSpread
			estimator.Add(answer(now, now+offset, sinceSend))
		}
	}
	add(5, -500*ms, time.Second)
	add(quorum-1, -200*ms, 10*ms)
	require.Zero(t, estimator.Bounds())
	add(1, -200*ms, 10*ms)
	require.InDelta(t, float64(-195*ms), float64(estimator.Bounds().Latest), float64(10*ms))
}

// laggingPrimary is a fleet in which a primary's position lags by 5 s.
type laggingPrimary struct {
	commits, reports float64
	frozen           bool // the position does not advance
	provenZero       bool // the other samples prove an offset of zero
	interval         int  // every interval-th sample is of the lagging primary; 1: all are
}

// A primary whose position lags makes no data count as fresher than it is. Its position may be frozen or lag by a
// constant time, and a second database may also claim to be the primary.
func TestLaggingPrimaryMakesNoDataFresher(t *testing.T) {
	for name, testCase := range map[string]laggingPrimary{
		"frozen, alone":               {frozen: true, interval: 1},
		"frozen, with second primary": {frozen: true, commits: 0.2, reports: 0.3, provenZero: true, interval: 2},
		"constant lag, alone":         {interval: 1},
		"constant lag, with commits":  {commits: 0.4, interval: 2},
		"constant lag, with replicas": {reports: 1, provenZero: true, interval: 2},
	} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 8, func(t *testing.T, seed uint64) { requireNoFresherData(t, seed, testCase) })
		})
	}
}

// requireNoFresherData requires that the lagging primary makes no data count as fresher than it is.
func requireNoFresherData(t *testing.T, seed uint64, testCase laggingPrimary) {
	t.Helper()
	const lag = 5 * time.Second
	fleet, estimator := newFleet(seed, 0), &Estimator{}
	fleet.commits, fleet.reports, fleet.replicaLag = testCase.commits, testCase.reports, 500*ms
	frozenAt := fleet.now - lag
	for n := range 500 {
		sample := fleet.sample()
		if n%testCase.interval == 0 {
			sample.Kind, sample.Position = Primary, sample.Position-lag
			if testCase.frozen {
				sample.Position = frozenAt
			}
		}
		estimator.Add(sample)
		require.GreaterOrEqual(t, estimator.Bounds().Latest, time.Duration(0), "sample %d", n)
		if testCase.provenZero && n > 20 {
			require.Zero(t, estimator.Bounds(), "sample %d", n)
		}
	}
}

// Before the offset is found, a quorum of positions ahead of the own clock makes it Unknown: no data counts as fresh.
func TestPositionsAheadMakeTheOffsetUnknown(t *testing.T) {
	estimator := &Estimator{}
	for n := range 3 {
		require.Zero(t, estimator.Bounds())
		position := epoch + time.Hour - time.Duration(n)*time.Second
		estimator.Add(Sample{Kind: Reported, Position: position, Sent: epoch, Received: epoch + ms})
	}
	require.Equal(t, Bounds{Latest: Unknown}, estimator.Bounds())
}

// After the own clock was stopped, such as while its machine was suspended, new samples replace the former estimate.
func TestNewOffsetReplacesTheFormer(t *testing.T) {
	for name, offsets := range map[string]struct{ before, after time.Duration }{
		"from zero":            {0, time.Hour},
		"to zero, from ahead":  {time.Hour, 0},
		"to zero, from behind": {-time.Hour, 0},
		"with another sign":    {2 * time.Second, -2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 20, func(t *testing.T, seed uint64) {
				fleet, estimator := newFleet(seed, offsets.before), &Estimator{}
				fleet.addSamples(estimator, 500)
				fleet.offset = offsets.after
				fleet.addSamples(estimator, 200)
				requireNear(t, offsets.after, estimator.Bounds())
			})
		})
	}
}

// The number of samples is bounded, and Contradictions counts those in the windows that contradict an offset of zero.
func TestWindowsAreBounded(t *testing.T) {
	fleet, estimator := newFleet(1, time.Hour), &Estimator{}
	fleet.corrupt = 0.5
	for range 2000 {
		estimator.Add(fleet.sample())
		contradicting := 0
		for _, window := range estimator.windows {
			require.LessOrEqual(t, len(window.samples), windowSize)
			for _, sample := range window.samples {
				if sample.contradictsZero() {
					contradicting++
				}
			}
		}
		require.Equal(t, contradicting, estimator.Contradictions())
	}
}

// An Instant on the own clock is converted by the offset. Which of two Instants is later depends on the offset.
func TestInstantIsConvertedByTheOffset(t *testing.T) {
	require.Zero(t, Instant{}.OnDatabaseClock(time.Hour))
	require.Equal(t, 5*ms, Instant{Remote: 5 * ms}.OnDatabaseClock(time.Hour))
	require.Equal(t, time.Hour+5*ms, Instant{Own: 5 * ms}.OnDatabaseClock(time.Hour))
	both := Instant{Own: 5 * ms}.Later(Instant{Remote: 8 * ms})
	require.Equal(t, 8*ms, both.OnDatabaseClock(ms))
	require.Equal(t, 9*ms, both.OnDatabaseClock(4*ms))
}
