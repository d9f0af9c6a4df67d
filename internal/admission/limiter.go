package admission

import (
	"math"
	"time"
)

// LimiterKind is the algorithm by which the concurrency limit of a queue follows the latency of its requests.
type LimiterKind uint8

const (
	// Gradient multiplies the limit in each window by tolerance x floor / latency, at most 1, and adds the square root
	// of the limit. The limit grows while the latency is at its floor.
	Gradient LimiterKind = iota
	// AIMD (additive increase, multiplicative decrease) adds one to the limit in each window. It reduces the limit by a
	// tenth instead if the latency is over twice the tolerance times its floor, or after overload.
	AIMD
)

const (
	initialLimit   = 8.0         // limit before any latency has been measured
	minSamples     = 8           // a window with fewer samples is continued
	minGradient    = 0.5         // minimum factor of a single reduction
	riseSmoothing  = 0.05        // share of an increase that is applied in a window
	fallSmoothing  = 0.7         // share of a decrease that is applied in a window
	maxRatio       = 8.0         // a sample counts as at most this multiple of the floor
	ratioDecay     = 0.9         // factor of the weight of earlier windows, per window
	startupGrowth  = 1.5         // factor per window until the limit has been too high for the first time
	priorRatio     = 1.0         // prior of the ratio of latency to floor
	priorWeight    = 2.0         // number of samples that the prior counts as
	maxCutInterval = time.Second // maximum of the time before the next reduction, which is the mean latency
	overloadCut    = 0.9         // factor of a reduction after overload; also the decrease of AIMD
)

// limiter bounds the requests in flight of a queue.
type limiter struct {
	kind                    LimiterKind
	tolerance               float64
	value, minimum, maximum float64
	startupEnded            bool // the limit has been too high before
	overloads               int  // attempts rejected for overload since the last update
	updatedAt               time.Duration
	nextCut                 time.Duration // no reduction before this time
}

func newLimiter(s *Settings) limiter {
	var l limiter
	l.applySettings(s)
	l.value = min(max(initialLimit, l.minimum), l.maximum)
	return l
}

func (l *limiter) applySettings(s *Settings) {
	l.kind, l.tolerance, l.minimum, l.maximum = s.Limiter, s.Tolerance, s.Bounds.MinConcurrency, s.Bounds.MaxConcurrency
	l.value = min(max(l.value, l.minimum), l.maximum)
}

// limit returns how many requests may be in flight.
func (l *limiter) limit() float64 { return l.value }

// overloaded counts an attempt that was rejected because the databases are overloaded.
func (l *limiter) overloaded() { l.overloads++ }

// update adjusts the limit at the end of a window. It returns false, and changes nothing, if there are too few samples.
// The class with the highest ratio of latency to floor decides: under load requests of 60 ms are late long before
// requests of a second. The limit grows only if the average of recent windows allows it, and only if limitReached:
// otherwise the latency says nothing about the capacity. A reduction follows the latest window alone. Reductions are
// apart by the mean latency, since a reduction takes that long to have an effect.
func (l *limiter) update(now time.Duration, limitReached bool, classes []classStat) (updated bool) {
	if l.updatedAt == 0 {
		l.updatedAt = now
	}
	samples, latencySum := 0, 0.0
	for i := range classes {
		samples += classes[i].samples
		latencySum += classes[i].latencySum
	}
	if samples+l.overloads < minSamples && (now-l.updatedAt < maxWindow || samples+l.overloads == 0) {
		return false
	}
	ratio, average := 0.0, 0.0
	for i := range classes {
		classRatio, classAverage := classes[i].endWindow(now)
		ratio, average = max(ratio, classRatio), max(average, classAverage)
	}
	l.startupEnded = l.startupEnded || ratio >= l.tolerance || l.overloads > 0
	if !l.startupEnded {
		ratio = average
	}
	next := l.next(ratio)
	switch {
	case !l.startupEnded:
		next = l.value * startupGrowth
	case next > l.value:
		next = min(next, max(l.value, l.next(average)))
	case next < l.value:
		if now < l.nextCut {
			next = l.value
		} else if samples > 0 {
			l.nextCut = now + min(maxCutInterval, time.Duration(latencySum/float64(samples)*float64(time.Second)))
		}
	}
	if next < l.value || limitReached {
		l.value = min(max(next, l.minimum), l.maximum)
	}
	l.overloads, l.updatedAt = 0, now
	return true
}

// next returns the next limit for a ratio of latency to floor.
func (l *limiter) next(ratio float64) float64 {
	next := l.value
	switch l.kind {
	case AIMD:
		if ratio > 2*l.tolerance || l.overloads > 0 {
			next *= overloadCut
		} else {
			next++
		}
	default:
		next *= max(minGradient, min(1, l.tolerance/ratio))
		if l.overloads > 0 {
			next *= overloadCut
			break
		}
		next += math.Sqrt(l.value) * min(1, l.tolerance/ratio)
		if next < l.value {
			next = l.value + fallSmoothing*(next-l.value)
		} else {
			next = l.value + riseSmoothing*(next-l.value)
		}
	}
	return next
}
