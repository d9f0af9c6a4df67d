package door

import (
	"math"
	"time"
)

// LimiterKind tells how the limit on what is inside a lane follows the latency there.
type LimiterKind uint8

const (
	// Gradient sets the limit, window by window, to what it was times tolerance x floor / latency, and room for the
	// square root of it more: with latency at the floor it grows until that shows.
	Gradient LimiterKind = iota
	// AIMD adds one to the limit while the latency is under twice the tolerance, and else takes a tenth away.
	AIMD
)

const (
	limitFirst  = 8.0  // before anything is known
	samplesLess = 8    // a window with fewer goes on
	gradientMin = 0.5  // the limit is not cut to less than this at once
	smoothUp    = 0.05 // of a window's new limit, if it is more
	smoothDown  = 0.7  // ... and if it is less
	ratioMost   = 8.0  // one latency counts as no more than this multiple of the floor
	ratioKeep   = 0.9  // of what was measured counts on in the next window
	quickUp     = 1.5  // the limit grows so fast until it has been met for the first time
	ratioPrior  = 1.2  // what a class is taken to have had ...
	priorWeight = 2.0  // ... in so many samples beside those of the window
	fullCut     = 0.9  // of the limit, after a window in which a database turned attempts away
)

// limiter bounds what is inside a lane.
type limiter struct {
	kind               LimiterKind
	tolerance          float64
	value, least, most float64
	met                bool // the limit has been too high once
	fulls              int  // since the last change
	changed            time.Duration
}

func newLimiter(s *Settings) limiter {
	var l limiter
	l.retune(s)
	l.value = min(max(limitFirst, l.least), l.most)
	return l
}

func (l *limiter) retune(s *Settings) {
	l.kind, l.tolerance, l.least, l.most = s.Limiter, s.Tolerance, s.Bounds.LimitMin, s.Bounds.LimitMax
	l.value = min(max(l.value, l.least), l.most)
}

// limit is how many requests may be inside.
func (l *limiter) limit() float64 { return l.value }

// full notes that a database turned an attempt away.
func (l *limiter) full() { l.fulls++ }

// roll moves the limit, if there is enough to go by. The class that suffers most decides: requests of 60 ms are late in
// a crowd in which those of a second hardly show it. The limit grows only while it is in use: one that nobody has met
// says nothing of the room.
func (l *limiter) roll(now time.Duration, used bool, classes []classStat) (moved bool) {
	if l.changed == 0 {
		l.changed = now
	}
	samples, ratio := 0, 0.0
	for i := range classes {
		c := &classes[i]
		samples += c.samples
		ratio = max(ratio, (c.sum+ratioPrior*priorWeight)/(c.count+priorWeight))
	}
	if samples < samplesLess && (now-l.changed < windowMost || samples == 0) {
		return false
	}
	for i := range classes {
		classes[i].sum, classes[i].count, classes[i].samples = classes[i].sum*ratioKeep, classes[i].count*ratioKeep, 0
	}
	next := l.value
	if !l.met && ratio < l.tolerance && l.fulls == 0 {
		next = l.value * quickUp
	} else {
		l.met = true
		next = l.step(ratio)
	}
	if next < l.value || used {
		l.value = min(max(next, l.least), l.most)
	}
	l.fulls, l.changed = 0, now
	return true
}

// step is the next limit, for a latency that was this multiple of the floor.
func (l *limiter) step(ratio float64) float64 {
	next := l.value
	switch l.kind {
	case AIMD:
		if ratio > 2*l.tolerance || l.fulls > 0 {
			next *= fullCut
		} else {
			next++
		}
	default:
		next *= max(gradientMin, min(1, l.tolerance/ratio))
		if l.fulls > 0 {
			next *= fullCut
		}
		next += math.Sqrt(l.value) * min(1, l.tolerance/ratio)
		if next < l.value {
			next = l.value + smoothDown*(next-l.value)
		} else {
			next = l.value + smoothUp*(next-l.value)
		}
	}
	return next
}
