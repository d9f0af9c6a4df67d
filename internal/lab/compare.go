package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Comparison is the difference of two that were played with the same seeds.
type Comparison struct {
	Pairs      int
	A, B       float64 // mean scores
	Difference float64 // B less A
	Low, High  float64 // between which it lies, 19 times in 20
	WrongWay   int     // pairs in which the difference had the other sign
}

const (
	pairsLeast = 5
	resamples  = 4000
)

// Compare plays pairs until the interval is as narrow as width, or there are so many, or the time is over.
func Compare(ctx context.Context, one func(which int, seed uint64) (float64, error), most int, budget time.Duration, width float64,
	told func(string)) (Comparison, error) {
	end := time.Now().Add(budget)
	var a, b []float64
	var c Comparison
	for n := 0; n < most && time.Now().Before(end) && ctx.Err() == nil; n++ {
		var scores [2]float64
		for k := range 2 {
			which := (k + n) % 2 // each goes first as often: a machine that drifts drifts for both
			var err error
			if scores[which], err = one(which, uint64(n+1)); err != nil {
				return c, err
			}
		}
		a, b = append(a, scores[0]), append(b, scores[1])
		c = Interval(a, b)
		told(fmt.Sprintf("pair %d: %.4f and %.4f; %v", n+1, scores[0], scores[1], c))
		if len(a) >= pairsLeast && c.High-c.Low <= width {
			break
		}
	}
	return c, ctx.Err()
}

// Interval is the difference of paired scores with its bootstrap interval. It is the same for the same scores.
func Interval(a, b []float64) Comparison {
	c := Comparison{Pairs: len(a), A: stat.Mean(a, nil), B: stat.Mean(b, nil)}
	d := make([]float64, len(a))
	for i := range a {
		d[i] = b[i] - a[i]
	}
	c.Difference = stat.Mean(d, nil)
	for _, x := range d {
		if x*c.Difference < 0 {
			c.WrongWay++
		}
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(d))))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range d {
			sum += d[rng.IntN(len(d))]
		}
		means[i] = sum / float64(len(d))
	}
	slices.Sort(means)
	c.Low, c.High = stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
	return c
}

// Shown tells whether the two differ for all that can be seen.
func (c Comparison) Shown() bool { return c.Pairs >= pairsLeast && (c.Low > 0 || c.High < 0) }

func (c Comparison) String() string {
	text := fmt.Sprintf("A %.4f, B %.4f, difference %+.4f, between %+.4f and %+.4f in 19 of 20 (%d pairs, %d of them the other way)",
		c.A, c.B, c.Difference, c.Low, c.High, c.Pairs, c.WrongWay)
	if !c.Shown() {
		return text + ": no difference shown"
	}
	return text + ": a difference is shown"
}
