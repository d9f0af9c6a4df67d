package admission

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
	limitFirst  = 8.0         // before anything is known
	samplesLess = 8           // a window with fewer goes on
	gradientMin = 0.5         // the limit is not cut to less than this at once
	smoothUp    = 0.05        // of a window's new limit, if it is more
	smoothDown  = 0.7         // ... and if it is less
	ratioMost   = 8.0         // one latency counts as no more than this multiple of the floor
	ratioKeep   = 0.9         // of what was measured counts on in the next window
	quickUp     = 1.5         // the limit grows so fast until it has been met for the first time
	ratioPrior  = 1.0         // what a class is taken to have had ...
	priorWeight = 2.0         // ... in so many samples beside those of the window
	cutMost     = time.Second // between two cuts, if answers take longer
	fullCut     = 0.9         // of the limit, after a window in which a database turned attempts away
)

// limiter bounds what is inside a lane.
type limiter struct {
	kind               LimiterKind
	tolerance          float64
	value, least, most float64
	met                bool // the limit has been too high once
	fulls              int  // since the last change
	changed            time.Duration
	cutAgain           time.Duration // not before
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
// a crowd in which those of a second hardly show it. What has been measured for longer keeps the limit from growing, but
// only what is new makes it less, and no more often than it takes until a cut shows. The limit grows only while it is in
// use: one that nobody has met says nothing of the room.
func (l *limiter) roll(now time.Duration, used bool, classes []classStat) (moved bool) {
	if l.changed == 0 {
		l.changed = now
	}
	samples, took := 0, 0.0
	for i := range classes {
		samples += classes[i].samples
		took += classes[i].took
	}
	if samples+l.fulls < samplesLess && (now-l.changed < windowMost || samples+l.fulls == 0) {
		return false
	}
	ratio, lasting := 0.0, 0.0
	for i := range classes {
		fresh, long := classes[i].look(now)
		ratio, lasting = max(ratio, fresh), max(lasting, long)
	}
	l.met = l.met || ratio >= l.tolerance || l.fulls > 0
	if !l.met {
		ratio = lasting
	}
	next := l.step(ratio)
	switch {
	case !l.met:
		next = l.value * quickUp
	case next > l.value:
		next = min(next, max(l.value, l.step(lasting)))
	case next < l.value:
		if now < l.cutAgain {
			next = l.value
		} else if samples > 0 {
			l.cutAgain = now + min(cutMost, time.Duration(took/float64(samples)*float64(time.Second)))
		}
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
			break
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
