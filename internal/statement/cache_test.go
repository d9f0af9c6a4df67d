package statement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// floodBytes is the maximum size of the cache in a flood, in bytes.
const floodBytes = 256 << 10

// floodResult is the result of looking up a hundred useful fingerprints during a flood of others.
type floodResult struct {
	hitRate   float64 // share of the lookups of useful fingerprints that were hits
	distinct  int     // other fingerprints
	mostBytes int     // maximum size of the cache
}

// runFlood looks up one of a hundred useful fingerprints 20,000 times. Before each lookup it looks up a number of other
// fingerprints, each once or, for a tenth of them, twice.
func runFlood(others int) (result floodResult) {
	rng := rand.New(rand.NewPCG(1, 1))
	cache, analyser := NewFingerprintCache(floodBytes, 7), New(noRules)
	lookUp := func(sql string) (hit bool) {
		info := analyser.Analyse(sql)
		before := cache.Hits
		cache.Get(analyser.Fingerprint(), &info)
		return cache.Hits > before
	}
	useful := func() string { return fmt.Sprintf("SELECT a%d FROM t WHERE b = %d", rng.IntN(100), rng.IntN(1e6)) }
	for range 2000 {
		lookUp(useful())
	}
	const lookups = 20_000
	for i := range lookups {
		for j := range others {
			result.distinct++
			sql := fmt.Sprintf("SELECT x%d FROM t", i*others+j)
			lookUp(sql)
			if j%10 == 0 {
				lookUp(sql)
			}
		}
		if lookUp(useful()) {
			result.hitRate += 1.0 / lookups
		}
		result.mostBytes = max(result.mostBytes, cache.Bytes())
	}
	return result
}

// costErrors returns the mean relative errors of two estimates: the cost by fingerprint, and the mean of the class.
func costErrors() (byFingerprint, byClass float64) {
	rng := rand.New(rand.NewPCG(5, 6))
	var costs [20]Cost
	trueSeconds := func(i int) float64 { return 0.005 * math.Pow(100, float64(i)/19) }
	sum, calls := 0.0, 0
	for range 200 {
		for i := range costs {
			others := rng.IntN(5)
			seconds := trueSeconds(i) * math.Exp(0.2*rng.NormFloat64()) * (1 + 0.1*float64(others))
			if rng.IntN(20) == 0 {
				seconds *= 20
			}
			costs[i].Add(time.Duration(seconds*float64(time.Second)), others)
			sum += seconds
			calls++
		}
	}
	for i := range costs {
		typical, _, _, _ := costs[i].Estimate()
		byFingerprint += math.Abs(typical.Seconds()/trueSeconds(i)-1) / 20
		byClass += math.Abs(sum/float64(calls)/trueSeconds(i)-1) / 20
	}
	return byFingerprint, byClass
}

// A million fingerprints that occur once or twice do not evict a hundred that are used often, and the size of the cache
// remains bounded.
func TestFloodDoesNotEvictUsefulFingerprints(t *testing.T) {
	if testing.Short() {
		t.Skip("analyses a million texts")
	}
	normal, flooded := runFlood(0), runFlood(50)
	t.Logf("hit rate %.3f, in a flood %.3f", normal.hitRate, flooded.hitRate)
	require.Greater(t, flooded.distinct, 900_000)
	require.LessOrEqual(t, flooded.mostBytes, floodBytes)
	require.Greater(t, normal.hitRate, 0.99)
	require.Greater(t, flooded.hitRate, 0.95*normal.hitRate)
}

// A hit does not allocate, and returns the fingerprint that the first lookup added. Many other fingerprints evict it.
func TestHitReturnsCachedFingerprintWithoutAllocation(t *testing.T) {
	cache, analyser := NewFingerprintCache(64<<10, 7), New(noRules)
	info := analyser.Analyse("SELECT nextval('a') WHERE b = 1")
	first := cache.Get(analyser.Fingerprint(), &info)
	require.Equal(t, ByFunction, first.Why)
	require.True(t, cache.Contains(first))
	require.Zero(t, testing.AllocsPerRun(100, func() {
		info := analyser.Analyse("SELECT nextval('b') WHERE b = 2")
		require.Same(t, first, cache.Get(analyser.Fingerprint(), &info))
	}))
	for i := range 10_000 {
		info := analyser.Analyse(fmt.Sprintf("SELECT a%d", i))
		for range 3 {
			cache.Get(analyser.Fingerprint(), &info).Calls++
		}
	}
	require.False(t, cache.Contains(first), "not evicted by 10,000 other fingerprints")
	require.Len(t, cache.Top(ByCalls, 10), 10)
	require.Less(t, cache.Len(), 250)
}

// randomCall draws the latency of a call. One in twenty is an outlier, such as overload or a pause causes.
func randomCall(rng *rand.Rand, mean time.Duration) time.Duration {
	latency := time.Duration(float64(mean) * math.Exp(0.2*rng.NormFloat64()))
	if rng.IntN(20) == 0 {
		latency *= 20
	}
	return latency
}

// The estimate finds the typical latency despite outliers, its interval contains 90% of the calls, and it
// adapts to a change of the plan within tens of calls.
func TestCostResistsOutliersAndFollowsLastingChange(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var cost Cost
	_, _, _, ok := cost.Estimate()
	require.False(t, ok)
	for range 500 {
		cost.Add(randomCall(rng, 20*time.Millisecond), rng.IntN(3))
	}
	typical, low, high, ok := cost.Estimate()
	require.True(t, ok)
	require.InEpsilon(t, 0.020, typical.Seconds(), 0.25)
	inside := 0
	for range 1000 {
		if latency := randomCall(rng, 20*time.Millisecond); latency >= low && latency <= high {
			inside++
		}
	}
	require.Greater(t, inside, 880)
	require.Less(t, high, 6*low)

	callsToFollow := 0
	for ; callsToFollow < 100; callsToFollow++ {
		cost.Add(randomCall(rng, 400*time.Millisecond), 0)
		if typical, _, _, _ := cost.Estimate(); typical > 300*time.Millisecond {
			break
		}
	}
	require.Less(t, callsToFollow, 40, "calls until the estimate follows a higher latency")
	for range 100 {
		cost.Add(0, 0)
		cost.Add(time.Nanosecond, 1000)
		cost.Add(math.MaxInt64, 0)
	}
	typical, _, _, _ = cost.Estimate()
	require.Positive(t, typical)
}
