package statement

import (
	"encoding/json"
	"math"
	"time"
)

// Parameters of the estimate. Deviations are standard deviations of the logarithm of the latency.
const (
	maxWeight         = 64.0  // bound of the weight of the mean and variance, in calls
	fastMeanWeight    = 0.25  // weight of a call in the fast mean
	outliersToRestart = 8     // consecutive outliers on one side after which the estimate restarts
	outlierDeviations = 2.5   // deviations from the mean beyond which a call is an outlier
	maxDeviations     = 4.0   // deviations from the mean to which a call is clamped
	minDeviation      = 0.05  // minimum of the deviation
	minCalls          = 5     // minimum number of calls for an estimate
	deviationsOf90    = 1.645 // from the mean to the bounds of the middle 90% of a normal distribution
	initialVariance   = 0.25  // of the logarithm, after one call or a restart
	restartWeight     = 4     // weight of the fast mean after a restart, in calls

	othersForHalfWeight = 2.0 // number of other requests at the database at which a call has half its weight
)

// Cost estimates the latency of a fingerprint's calls. It tracks the logarithms of the latencies by a moving mean and
// variance, in which outliers are clamped, and by a mean that adapts faster. The fast mean replaces the slow one after
// a lasting change, for instance of the query plan. The zero value is ready to use.
type Cost struct {
	mean, variance float64 // of the logarithm of the latency in seconds
	weight         float64 // weighted number of calls in mean and variance, at most maxWeight
	fastMean       float64 // like mean
	outliers       int8    // consecutive outliers on one side; negative below the mean
	calls          uint32
}

// Add records the latency of one call that ran concurrently with a number of other requests of this pooler at the same
// database. The more of them there were, the less the call counts.
func (c *Cost) Add(latency time.Duration, others int) {
	if latency <= 0 {
		return
	}
	logarithm := math.Log(latency.Seconds())
	c.calls++
	if c.weight == 0 {
		c.mean, c.fastMean, c.variance, c.weight = logarithm, logarithm, initialVariance, 1
		return
	}
	deviation := math.Sqrt(max(c.variance, minDeviation*minDeviation))
	switch deviations := (logarithm - c.mean) / deviation; {
	case deviations > outlierDeviations:
		c.outliers = max(c.outliers, 0) + 1
	case deviations < -outlierDeviations:
		c.outliers = min(c.outliers, 0) - 1
	default:
		c.outliers = 0
	}
	c.fastMean += fastMeanWeight * (logarithm - c.fastMean)
	if c.calls > minCalls && (c.outliers >= outliersToRestart || c.outliers <= -outliersToRestart) {
		c.mean, c.variance, c.weight, c.outliers = c.fastMean, initialVariance, restartWeight, 0
		return
	}
	callWeight := 1 / (1 + float64(others)/othersForHalfWeight)
	c.weight = min(maxWeight, c.weight+callWeight)
	logarithm = min(max(logarithm, c.mean-maxDeviations*deviation), c.mean+maxDeviations*deviation)
	share := callWeight / c.weight
	difference := logarithm - c.mean
	c.mean += share * difference
	c.variance += share * (difference*difference*(1-share) - c.variance)
}

// MarshalJSON encodes the estimate, in milliseconds.
func (c Cost) MarshalJSON() ([]byte, error) {
	typical, low, high, known := c.Estimate()
	ms := func(d time.Duration) float64 { return math.Round(d.Seconds()*1e6) / 1e3 }
	return json.Marshal(struct {
		Known              bool
		Typical, Low, High float64
	}{known, ms(typical), ms(low), ms(high)})
}

// Estimate returns the expected latency of a call, and the bounds of the interval that contains 90% of the calls. ok is
// false if there were too few calls for an estimate.
func (c *Cost) Estimate() (typical, low, high time.Duration, ok bool) {
	if c.calls < minCalls {
		return 0, 0, 0, false
	}
	margin := deviationsOf90 * math.Sqrt(max(c.variance, minDeviation*minDeviation)*(1+1/c.weight))
	latency := func(logarithm float64) time.Duration {
		return time.Duration(math.Exp(logarithm) * float64(time.Second))
	}
	return latency(c.mean), latency(c.mean - margin), latency(c.mean + margin), true
}
