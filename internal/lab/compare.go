package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	minPairs  = 5 // with fewer, no difference is significant
	resamples = 4000

	// The interval of the difference holds 95 % of the resampled means.
	lowQuantile  = 0.025
	highQuantile = 0.975
)

// Side is one of the two that are compared.
type Side uint8

// The sides of a comparison.
const (
	SideA Side = iota
	SideB
)

// String returns the letter of the side.
func (side Side) String() string { return [...]string{"A", "B"}[side] }

// Comparison is the difference between two sides that ran with the same seeds.
type Comparison struct {
	Pairs      int
	MeanA      float64 // of the scores, as MeanB
	MeanB      float64
	Difference float64 // MeanB - MeanA
	Low, High  float64 // 95 % confidence interval of the difference
	Opposite   int     // pairs whose difference has the other sign
}

// CompareLimits ends a comparison.
type CompareLimits struct {
	MaxPairs int
	Budget   time.Duration // of time
	Width    float64       // of the confidence interval; a narrower one ends the comparison
}

// RunSide runs one side of a pair with a seed and returns its score.
type RunSide func(side Side, seed uint64) (score float64, err error)

// Compare runs pairs until the confidence interval is narrow enough or another limit is reached. It calls report
// with a line after each pair. If a run fails, or the context is canceled, it returns the comparison of the pairs so
// far with the error.
func Compare(ctx context.Context, run RunSide, limits CompareLimits, report func(line string)) (Comparison, error) {
	end := time.Now().Add(limits.Budget)
	var scoresA, scoresB []float64
	var comparison Comparison
	for pair := 0; pair < limits.MaxPairs && time.Now().Before(end) && ctx.Err() == nil; pair++ {
		scores, err := runPair(run, pair)
		if err != nil {
			return comparison, err
		}
		scoresA, scoresB = append(scoresA, scores[SideA]), append(scoresB, scores[SideB])
		comparison = compareScores(scoresA, scoresB)
		report(fmt.Sprintf("pair %d: %.4f and %.4f; %v", pair+1, scores[SideA], scores[SideB], comparison))
		if comparison.Pairs >= minPairs && comparison.High-comparison.Low <= limits.Width {
			break
		}
	}
	return comparison, ctx.Err()
}

// runPair runs both sides with the seed of a pair, which is numbered from 0.
func runPair(run RunSide, pair int) (scores [2]float64, err error) {
	order := [2]Side{SideA, SideB}
	if pair%2 == 1 { // each side goes first as often, so that a drift of the machine affects both alike
		order = [2]Side{SideB, SideA}
	}
	for _, side := range order {
		if scores[side], err = run(side, uint64(pair+1)); err != nil {
			return scores, err
		}
	}
	return scores, nil
}

// compareScores returns the difference of paired scores with its bootstrap confidence interval. Equal scores give equal
// results.
func compareScores(scoresA, scoresB []float64) Comparison {
	differences := make([]float64, len(scoresA))
	for i := range scoresA {
		differences[i] = scoresB[i] - scoresA[i]
	}
	comparison := Comparison{
		Pairs:      len(scoresA),
		MeanA:      stat.Mean(scoresA, nil),
		MeanB:      stat.Mean(scoresB, nil),
		Difference: stat.Mean(differences, nil),
	}
	for _, difference := range differences {
		if difference*comparison.Difference < 0 {
			comparison.Opposite++
		}
	}
	means := resampledMeans(differences)
	comparison.Low = stat.Quantile(lowQuantile, stat.Empirical, means, nil)
	comparison.High = stat.Quantile(highQuantile, stat.Empirical, means, nil)
	return comparison
}

// resampledMeans returns the sorted means of bootstrap samples.
func resampledMeans(values []float64) []float64 {
	random := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range values {
			sum += values[random.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	return means
}

// IsSignificant reports whether the confidence interval excludes that the sides are equal.
func (comparison Comparison) IsSignificant() bool {
	return comparison.Pairs >= minPairs && (comparison.Low > 0 || comparison.High < 0)
}

// String returns the comparison as a sentence.
func (comparison Comparison) String() string {
	conclusion := "no difference shown"
	if comparison.IsSignificant() {
		conclusion = "a difference is shown"
	}
	return fmt.Sprintf("A %.4f, B %.4f, difference %+.4f, between %+.4f and %+.4f in 19 of 20"+
		" (%d pairs, %d of them the other way): %s", comparison.MeanA, comparison.MeanB, comparison.Difference,
		comparison.Low, comparison.High, comparison.Pairs, comparison.Opposite, conclusion)
}
