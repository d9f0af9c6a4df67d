// Package clockoffset estimates the offset of the databases' clocks from this process's own clock: what they show minus
// what it shows. The own clock counts from the wall clock at the start of the process, which may have been wrong by
// seconds or an hour.
//
// The evidence is the replication positions that databases report. A position is a time on the databases' clocks up to
// which all commits are applied. It never lies in their future: compared with its time of receipt, it bounds the offset
// from below. A primary answers with the present as its position, and a write with its commit. Both are times between
// the send and the answer, and bound the offset from both sides. A commit is the stronger evidence, since the position
// of a primary may lag. As in Marzullo's algorithm, the offset lies where most of these intervals overlap.
//
// While the own clock agrees with the evidence, the offset is exactly zero. The package is pure: callers pass in the
// times, and it does no I/O and starts no goroutine.
package clockoffset

import (
	"math"
	"slices"
	"time"
)

const (
	// Tolerance is how far a position may lie in the future of the databases' clocks, and how far the own clock may be
	// off, without counting as wrong. It is half of the slack that time limits have.
	Tolerance = 25 * time.Millisecond
	// Unknown is the Latest of Bounds without an upper bound. It exceeds the age of any data, and is small enough to be
	// added to times since the Unix epoch.
	Unknown = time.Duration(1 << 61)

	// precision bounds the errors of positions and clock readings: rounding, and skew between databases.
	precision = 5 * time.Millisecond
	// quorum is the number of samples that must agree on an estimate, and the margin of samples by which it must beat
	// the present one.
	quorum = 3
	// minSpread is the least time from the first answer of the agreeing samples to their last send: samples of a single
	// moment prove nothing.
	minSpread = 100 * time.Millisecond
	// maxClusterWidth is how far apart a quorum of lower bounds may be that agree with each other.
	maxClusterWidth = 10 * time.Second
	// windowSize is the number of stored samples per kind.
	windowSize = 8
	// minSpacing is the least time between sampled answers: a window spans more than minSpread at any rate of answers.
	minSpacing  = minSpread / 4
	kindCount   = 3
	maxDuration = time.Duration(math.MaxInt64)
)

// Bounds are the least and the greatest possible offset, to be added to a time on the own clock. The zero value means
// that the clocks agree.
type Bounds struct {
	Earliest time.Duration
	Latest   time.Duration // Unknown if there is no upper bound
}

// Kind is the origin of a position, which determines how it bounds the offset.
type Kind uint8

// The kinds of samples.
const (
	Reported Kind = iota // a position that was reached at some time before its receipt: a lower bound
	Primary              // the position of a primary at some time between send and answer
	Commit               // the commit of a write that was answered
)

// Sample is a position that a database reported, and the times on the own clock at which it was requested and received.
type Sample struct {
	Kind           Kind
	Position       time.Duration
	Sent, Received time.Duration
}

// interval is the range in which the offset lies if the sample is correct.
type interval struct {
	Sample
	lower, upper time.Duration
}

// interval returns the interval of the sample. A Reported position has no upper bound.
func (s Sample) interval() interval {
	result := interval{Sample: s, lower: s.Position - s.Received - precision, upper: maxDuration}
	if s.Kind != Reported {
		result.upper = s.Position - s.Sent + precision
	}
	return result
}

// contradictsZero reports whether the sample is incompatible with an offset of zero.
func (i interval) contradictsZero() bool {
	return i.lower > Tolerance-precision || i.upper < precision-Tolerance
}

// window is a ring of the last samples of one kind.
type window struct {
	samples      []interval
	oldest       int           // index of the oldest sample, once the window is full
	lastReceived time.Duration // time of receipt of the newest sample
}

// Estimator estimates the offset from the last samples. The zero value is ready to use, with an offset of zero.
type Estimator struct {
	windows       [kindCount]window
	bounds        Bounds
	contradicting int // number of samples that contradict an offset of zero
}

// Bounds returns the present estimate.
func (e *Estimator) Bounds() Bounds { return e.bounds }

// Contradictions returns how many of the last samples contradict an offset of zero.
func (e *Estimator) Contradictions() int { return e.contradicting }

// Add adds a sample, and reports whether it has changed the bounds. A sample without a position, or received before it
// was sent, is ignored.
func (e *Estimator) Add(s Sample) (changed bool) {
	if s.Position <= 0 || s.Sent > s.Received {
		return false
	}
	e.store(s.interval())
	if e.contradicting == 0 && e.bounds == (Bounds{}) {
		return false
	}
	before := e.bounds
	e.bounds = e.estimate()
	return e.bounds != before
}

// store replaces the oldest sample of the same kind. An answer within minSpacing of the last one is ignored.
func (e *Estimator) store(sample interval) {
	window := &e.windows[sample.Kind]
	if sample.Kind != Reported && len(window.samples) > 0 && sample.Received-window.lastReceived < minSpacing {
		return
	}
	window.lastReceived = sample.Received
	if len(window.samples) < windowSize {
		window.samples = append(window.samples, sample)
	} else {
		if window.samples[window.oldest].contradictsZero() {
			e.contradicting--
		}
		window.samples[window.oldest] = sample
		window.oldest = (window.oldest + 1) % windowSize
	}
	if sample.contradictsZero() {
		e.contradicting++
	}
}

// estimate returns the new bounds. The best overlap replaces the present bounds if its score is higher by at least a
// quorum: a few wrong samples change nothing. It also replaces bounds other than zero that it overlaps, if it is less
// than half as wide. While the samples contradict an offset of zero without agreeing on another, the offset is unknown.
func (e *Estimator) estimate() Bounds {
	present := e.bounds
	if present.Latest == Unknown {
		present = Bounds{}
	}
	best := e.bestOverlap()
	if best.agreed() && best.score(e) >= e.score(present)+quorum {
		return best.bounds()
	}
	if present == (Bounds{}) {
		if e.contradicted() {
			return Bounds{Latest: Unknown}
		}
		return present
	}
	overlaps := best.lower <= present.Latest && best.upper >= present.Earliest
	if best.agreed() && overlaps && best.upper-best.lower < (present.Latest-present.Earliest)/2 {
		return best.bounds()
	}
	return present
}

// score returns the number of samples that support the bounds, less the number of reported positions that would lie in
// the future under them.
func (e *Estimator) score(bounds Bounds) int {
	score := 0
	for kind := range e.windows {
		for _, sample := range e.windows[kind].samples {
			tooLate := sample.lower > bounds.Latest+Tolerance-precision
			tooEarly := sample.upper < bounds.Earliest-Tolerance+precision
			switch {
			case sample.Kind == Reported && tooLate:
				score--
			case sample.Kind != Reported && !tooLate && !tooEarly:
				score++
			}
		}
	}
	return score
}

// contradicted reports whether the samples contradict an offset of zero: a quorum of positions ahead of the own clock
// agree with each other, and more positions lie ahead of it than answers agree with it.
func (e *Estimator) contradicted() bool {
	var ahead []time.Duration
	agreeing := 0
	for kind := range e.windows {
		for _, sample := range e.windows[kind].samples {
			if sample.lower > Tolerance-precision {
				ahead = append(ahead, sample.lower)
			} else if sample.Kind != Reported && !sample.contradictsZero() {
				agreeing++
			}
		}
	}
	return len(ahead) > agreeing && hasCluster(ahead)
}

// hasCluster reports whether a quorum of offsets lies within maxClusterWidth. It sorts them in place.
func hasCluster(offsets []time.Duration) bool {
	slices.Sort(offsets)
	for last := quorum - 1; last < len(offsets); last++ {
		first := last - quorum + 1
		if offsets[last]-offsets[first] <= maxClusterWidth {
			return true
		}
	}
	return false
}
