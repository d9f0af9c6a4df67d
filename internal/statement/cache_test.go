package statement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const floodBytes = 256 << 10

// floodOf asks for a hundred useful fingerprints 20,000 times, each time with so many of fingerprints of their own, a
// tenth of them twice. It returns the share of hits of the useful ones, how many other fingerprints there were and
// the most bytes held.
func floodOf(flood int) (hits float64, distinct, bytes int) {
	rng := rand.New(rand.NewPCG(1, 1))
	c, a := NewFingerprints(floodBytes, 7), New(none)
	get := func(sql string) bool {
		info := a.Read(sql)
		before := c.Hits
		c.Get(a.Fingerprint(), &info)
		return c.Hits > before
	}
	useful := func() string { return fmt.Sprintf("SELECT a%d FROM t WHERE b = %d", rng.IntN(100), rng.IntN(1e6)) }
	for range 2000 {
		get(useful())
	}
	const asks = 20_000
	for i := range asks {
		for j := range flood {
			distinct++
			get(fmt.Sprintf("SELECT x%d FROM t", i*flood+j))
			if j%10 == 0 {
				get(fmt.Sprintf("SELECT x%d FROM t", i*flood+j))
			}
		}
		if get(useful()) {
			hits += 1.0 / asks
		}
		bytes = max(bytes, c.Bytes())
	}
	return hits, distinct, bytes
}

// costErrors compares the estimate by fingerprint with the mean of the class.
func costErrors() (fingerprint, class float64) {
	rng := rand.New(rand.NewPCG(5, 6))
	var costs [20]Cost
	truth := func(i int) float64 { return 0.005 * math.Pow(100, float64(i)/19) }
	var sum float64
	n := 0
	for range 200 {
		for i := range costs {
			others := rng.IntN(5)
			took := truth(i) * math.Exp(0.2*rng.NormFloat64()) * (1 + 0.1*float64(others))
			if rng.IntN(20) == 0 {
				took *= 20
			}
			costs[i].Add(time.Duration(took*float64(time.Second)), others)
			sum += took
			n++
		}
	}
	for i := range costs {
		typical, _, _, _ := costs[i].Estimate()
		fingerprint += math.Abs(typical.Seconds()/truth(i)-1) / 20
		class += math.Abs(sum/float64(n)/truth(i)-1) / 20
	}
	return fingerprint, class
}

// A million fingerprints that come once or twice, meant to drive the useful hundred out, do not; and the bytes stay
// bounded.
func TestFlood(t *testing.T) {
	if testing.Short() {
		t.Skip("it reads a million texts")
	}
	calm, _, _ := floodOf(0)
	flooded, distinct, bytes := floodOf(50)
	t.Logf("hits %.3f, in a flood %.3f", calm, flooded)
	require.Greater(t, distinct, 900_000)
	require.LessOrEqual(t, bytes, floodBytes)
	require.Greater(t, calm, 0.99)
	require.Greater(t, flooded, 0.95*calm)
}

// What is asked for again costs no allocation; what comes first is remembered with its kind.
func TestHits(t *testing.T) {
	c, a := NewFingerprints(64<<10, 7), New(none)
	info := a.Read("SELECT nextval('a') WHERE b = 1")
	s := c.Get(a.Fingerprint(), &info)
	require.Equal(t, ByFunction, s.Why)
	require.True(t, c.Holds(s))
	require.Zero(t, testing.AllocsPerRun(100, func() {
		info := a.Read("SELECT nextval('b') WHERE b = 2")
		require.Same(t, s, c.Get(a.Fingerprint(), &info))
	}))
	for i := range 10_000 {
		info := a.Read(fmt.Sprintf("SELECT a%d", i))
		for range 3 {
			c.Get(a.Fingerprint(), &info).Calls++
		}
	}
	require.False(t, c.Holds(s), "it was let go in the end")
	require.Len(t, c.Top(ByCalls, 10), 10)
	require.Less(t, c.Len(), 250)
}

// The estimate finds a fingerprint's cost among outliers, tells an interval that nine in ten calls lie in, and
// follows a plan that flips within tens of calls.
func TestCost(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var c Cost
	call := func(mean time.Duration) time.Duration {
		took := time.Duration(float64(mean) * math.Exp(0.2*rng.NormFloat64()))
		if rng.IntN(20) == 0 { // a crowd, a pause
			took *= 20
		}
		return took
	}
	_, _, _, ok := c.Estimate()
	require.False(t, ok)
	for range 500 {
		c.Add(call(20*time.Millisecond), rng.IntN(3))
	}
	typical, low, high, ok := c.Estimate()
	require.True(t, ok)
	require.InEpsilon(t, 0.020, typical.Seconds(), 0.25)
	inside := 0
	for range 1000 {
		if took := call(20 * time.Millisecond); took >= low && took <= high {
			inside++
		}
	}
	require.Greater(t, inside, 880)
	require.Less(t, high, 6*low)

	flip := 0
	for ; flip < 100; flip++ {
		c.Add(call(400*time.Millisecond), 0)
		if typical, _, _, _ := c.Estimate(); typical > 300*time.Millisecond {
			break
		}
	}
	require.Less(t, flip, 40, "calls until a fingerprint that turned expensive shows")
	for range 100 {
		c.Add(0, 0)
		c.Add(time.Nanosecond, 1000)
		c.Add(math.MaxInt64, 0)
	}
	typical, _, _, _ = c.Estimate()
	require.Positive(t, typical)
}
