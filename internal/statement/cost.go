package statement

import (
	"encoding/json"
	"math"
	"time"
)

// Tuned values of the estimate.
const (
	samplesMost = 64.0 // what was learned longer ago than so many calls counts for little
	recent      = 0.25 // weight of a call in the quick mean
	steps       = 8    // calls in a row that lie off before the estimate follows them
	offBy       = 2.5  // deviations that count as off
	clampBy     = 4.0  // a sample counts as no further off than so many deviations
	widthLeast  = 0.05 // deviations of the logarithm are taken for no less
	confident   = 5    // samples before an estimate is told
	ninety      = 1.645
	crowdHalf   = 2.0 // with so many others at the database, a sample counts half
)

// Cost is what the calls of a shape take, learned from the logarithms of their latencies: a mean and a deviation that
// forget, against which a single long call is cut down, and a quick mean that tells when the calls have changed for good,
// such as by another plan.
type Cost struct {
	mean, variance float64 // of the logarithm of seconds
	weight         float64 // of what is in them, at most samplesMost
	quick          float64
	off            int8 // calls in a row on one side beyond offBy
	calls          uint32
}

// Add takes in one call, that ran beside so many others of ours at its database.
func (c *Cost) Add(took time.Duration, others int) {
	if took <= 0 {
		return
	}
	x := math.Log(took.Seconds())
	c.calls++
	if c.weight == 0 {
		c.mean, c.quick, c.variance, c.weight = x, x, 0.25, 1
		return
	}
	width := math.Sqrt(max(c.variance, widthLeast*widthLeast))
	switch away := (x - c.mean) / width; {
	case away > offBy:
		c.off = max(c.off, 0) + 1
	case away < -offBy:
		c.off = min(c.off, 0) - 1
	default:
		c.off = 0
	}
	c.quick += recent * (x - c.quick)
	if c.calls > confident && (c.off >= steps || c.off <= -steps) { // it is another statement now, for all we know
		c.mean, c.variance, c.weight, c.off = c.quick, 0.25, 4, 0
		return
	}
	part := 1 / (1 + float64(others)/crowdHalf)
	c.weight = min(samplesMost, c.weight+part)
	x = min(max(x, c.mean-clampBy*width), c.mean+clampBy*width)
	share := part / c.weight
	d := x - c.mean
	c.mean += share * d
	c.variance += share * (d*d*(1-share) - c.variance)
}

// MarshalJSON tells the estimate in milliseconds.
func (c Cost) MarshalJSON() ([]byte, error) {
	typical, low, high, known := c.Estimate()
	ms := func(d time.Duration) float64 { return math.Round(d.Seconds()*1e6) / 1e3 }
	return json.Marshal(struct {
		Known              bool
		Typical, Low, High float64
	}{known, ms(typical), ms(low), ms(high)})
}

// MarshalText names the kind.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// MarshalText names the reason.
func (w Why) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Estimate returns what a call is expected to take, and between what times nine in ten of them lie. ok is false if too
// few have been seen.
func (c *Cost) Estimate() (typical, low, high time.Duration, ok bool) {
	if c.calls < confident {
		return 0, 0, 0, false
	}
	wide := ninety * math.Sqrt(max(c.variance, widthLeast*widthLeast)*(1+1/c.weight))
	at := func(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }
	return at(c.mean), at(c.mean - wide), at(c.mean + wide), true
}
