package statement

import (
	"encoding/json"
	"math"
	"time"
)

// Tuned values of the estimate.
const (
	maxWeight         = 64.0  // calls that the estimate remembers
	quickMeanWeight   = 0.25  // weight of a call in the quick mean
	changeSteps       = 8     // outliers in a row after which the estimate starts anew
	outlierDeviations = 2.5   // deviations beyond which a call is an outlier
	maxDeviations     = 4.0   // a call is clamped to so many deviations
	minDeviation      = 0.05  // least deviation of the logarithm
	minCalls          = 5     // calls before there is an estimate
	quantile90        = 1.645 // bounds of the middle 90% of a normal distribution, in deviations
	firstVariance     = 0.25  // of the logarithm, after one call
	restartWeight     = 4     // of the quick mean when the estimate starts anew

	othersForHalfWeight = 2.0 // with so many other requests at the database, a call counts half
)

// Cost estimates how long the calls of a fingerprint take, from the logarithms of their latencies: a moving mean and
// variance, to which single long calls are clamped, and a quick mean that replaces them when the latency has changed
// lastingly, for instance by another plan.
type Cost struct {
	mean, variance float64 // of the logarithm of seconds
	weight         float64 // number of calls in them, at most maxWeight
	quick          float64
	off            int8 // outliers in a row, negative below the mean
	calls          uint32
}

// Add takes in one call that ran beside a number of other requests of this pooler at its database.
func (c *Cost) Add(took time.Duration, others int) {
	if took <= 0 {
		return
	}
	logarithm := math.Log(took.Seconds())
	c.calls++
	if c.weight == 0 {
		c.mean, c.quick, c.variance, c.weight = logarithm, logarithm, firstVariance, 1
		return
	}
	width := math.Sqrt(max(c.variance, minDeviation*minDeviation))
	switch away := (logarithm - c.mean) / width; {
	case away > outlierDeviations:
		c.off = max(c.off, 0) + 1
	case away < -outlierDeviations:
		c.off = min(c.off, 0) - 1
	default:
		c.off = 0
	}
	c.quick += quickMeanWeight * (logarithm - c.quick)
	if c.calls > minCalls && (c.off >= changeSteps || c.off <= -changeSteps) { // the latency has changed lastingly
		c.mean, c.variance, c.weight, c.off = c.quick, firstVariance, restartWeight, 0
		return
	}
	part := 1 / (1 + float64(others)/othersForHalfWeight)
	c.weight = min(maxWeight, c.weight+part)
	logarithm = min(max(logarithm, c.mean-maxDeviations*width), c.mean+maxDeviations*width)
	share := part / c.weight
	away := logarithm - c.mean
	c.mean += share * away
	c.variance += share * (away*away*(1-share) - c.variance)
}

// MarshalJSON encodes the estimate in milliseconds.
func (c Cost) MarshalJSON() ([]byte, error) {
	typical, low, high, known := c.Estimate()
	ms := func(d time.Duration) float64 { return math.Round(d.Seconds()*1e6) / 1e3 }
	return json.Marshal(struct {
		Known              bool
		Typical, Low, High float64
	}{known, ms(typical), ms(low), ms(high)})
}

// Estimate returns how long a call is expected to take, and the bounds between which nine in ten calls lie. ok is false
// after too few calls.
func (c *Cost) Estimate() (typical, low, high time.Duration, ok bool) {
	if c.calls < minCalls {
		return 0, 0, 0, false
	}
	wide := quantile90 * math.Sqrt(max(c.variance, minDeviation*minDeviation)*(1+1/c.weight))
	at := func(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }
	return at(c.mean), at(c.mean - wide), at(c.mean + wide), true
}
