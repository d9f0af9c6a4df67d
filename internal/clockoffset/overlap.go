package clockoffset

import (
	"cmp"
	"slices"
	"time"
)

// overlap is a range in which intervals overlap.
type overlap struct {
	lower, upper time.Duration
	support      []interval // the intervals that contain the range
}

// bestOverlap returns the overlap of most intervals by Marzullo's algorithm: it begins where an interval begins. Of
// several with equal support it returns the one of the greatest offset, under which data counts as older.
func (e *Estimator) bestOverlap() (best overlap) {
	var all []interval
	for _, kind := range []Kind{Primary, Commit} {
		all = append(all, e.windows[kind].samples...)
	}
	slices.SortStableFunc(all, func(a, b interval) int { return cmp.Compare(b.lower, a.lower) })
	for _, candidate := range all {
		current := overlapAt(candidate, all)
		if len(current.support) > len(best.support) {
			best = current
		}
	}
	return best
}

// overlapAt returns the overlap that begins where the candidate begins.
func overlapAt(candidate interval, all []interval) overlap {
	result := overlap{lower: candidate.lower, upper: candidate.upper}
	for _, other := range all {
		if other.lower <= candidate.lower && other.upper >= candidate.lower {
			result.support = append(result.support, other)
			result.upper = min(result.upper, other.upper)
		}
	}
	return result
}

// agreed reports whether a quorum of answers supports the overlap, and spans at least minSpread. Within a shorter time,
// a position that does not advance would agree with itself.
func (o overlap) agreed() bool {
	if len(o.support) < quorum {
		return false
	}
	firstAnswer, lastSend := maxDuration, time.Duration(0)
	for _, sample := range o.support {
		firstAnswer = min(firstAnswer, sample.Received)
		lastSend = max(lastSend, sample.Sent)
	}
	return lastSend-firstAnswer >= minSpread
}

// score returns the number of samples that support the overlap, less the number of reported positions that would lie in
// the future under it.
func (o overlap) score(e *Estimator) int {
	score := len(o.support)
	for _, sample := range e.windows[Reported].samples {
		if sample.lower > o.upper+Tolerance-precision {
			score--
		}
	}
	return score
}

// bounds returns the overlap as Bounds, which are exactly zero if the overlap is compatible with zero. A negative upper
// bound makes data count as fresher. It needs the support of a commit, since the position of a primary may lag.
func (o overlap) bounds() Bounds {
	if o.lower <= Tolerance-precision && o.upper >= precision-Tolerance {
		return Bounds{}
	}
	bounds := Bounds{Earliest: o.lower, Latest: o.upper}
	isCommit := func(sample interval) bool { return sample.Kind == Commit }
	if o.upper < 0 && !slices.ContainsFunc(o.support, isCommit) {
		bounds.Latest = 0
	}
	return bounds
}
