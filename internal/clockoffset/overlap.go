package clockoffset

import (
	"cmp"
	"slices"
	"time"
)

// overlap is where most intervals overlap, and what they are.
type overlap struct {
	lower, upper time.Duration
	support      []interval
}

// overlap finds the best one by Marzullo's algorithm; of several as good, the latest, under which data is older.
func (e *Estimator) overlap() (best overlap) {
	var all []interval
	for _, k := range []Kind{Primary, Commit} {
		all = append(all, e.windows[k].samples...)
	}
	slices.SortStableFunc(all, func(a, b interval) int { return cmp.Compare(b.lower, a.lower) })
	for _, candidate := range all { // the best begins where an interval begins
		found := overlap{lower: candidate.lower, upper: candidate.upper}
		for _, i := range all {
			if i.lower <= candidate.lower && i.upper >= candidate.lower {
				found.support = append(found.support, i)
				found.upper = min(found.upper, i.upper)
			}
		}
		if len(found.support) > len(best.support) {
			best = found
		}
	}
	return best
}

// agreed tells whether enough answers agree, from more than one moment: a position that stands still agrees with itself
// for one.
func (o overlap) agreed() bool {
	if len(o.support) < quorum {
		return false
	}
	firstAnswer, lastSend := intervalEnd, time.Duration(0)
	for _, i := range o.support {
		firstAnswer, lastSend = min(firstAnswer, i.Received), max(lastSend, i.Sent)
	}
	return lastSend-firstAnswer >= minSpread
}

func (o overlap) score(e *Estimator) int {
	score := len(o.support)
	for _, i := range e.windows[Reported].samples {
		if i.lower > o.upper+Tolerance-precision {
			score--
		}
	}
	return score
}

// bounds is exactly zero if that lies in the overlap. Towards the past, under which data is fresher, a commit has to
// agree: against a primary whose position lags.
func (o overlap) bounds() Bounds {
	b := Bounds{Earliest: o.lower, Latest: o.upper}
	if o.lower <= Tolerance-precision && o.upper >= precision-Tolerance {
		return Bounds{}
	}
	if o.upper < 0 && !slices.ContainsFunc(o.support, func(i interval) bool { return i.Kind == Commit }) {
		b.Latest = 0
	}
	return b
}
