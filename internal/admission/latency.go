package admission

import "time"

// Parameters of the latency floor.
const (
	floorPeriod     = 15 * time.Second // the floor is the minimum of the last one to two periods
	maxFloorRise    = 1.1              // maximum factor by which the floor rises in a period
	minFloorSamples = 4                // minimum samples of a window whose mean may become the floor
)

// classStat holds the latency statistics of a class in a queue.
type classStat struct {
	lastOffered          time.Duration // when the last request of the class was offered
	floor                time.Duration // latency without load: the minimum of the means of recent windows
	periodMin            time.Duration // the minimum mean since periodStart
	periodStart          time.Duration
	latencySum           float64 // seconds, of the samples since the last update of the limiter
	samples              int
	ratioSum, ratioCount float64 // sums of latency over floor, and of its weights; they decay with each update
}

// addSample adds a latency to the window.
func (s *classStat) addSample(took time.Duration) {
	if s.floor > 0 { // a single outlier must not dominate the mean
		took = min(took, time.Duration(maxRatio*float64(s.floor)))
	}
	s.latencySum += took.Seconds()
	s.samples++
}

// endWindow ends a window. It returns the ratio of the window's latency to the floor, and the average of that ratio
// over recent windows. The floor follows the means of windows, since single latencies vary even without load.
func (s *classStat) endWindow(now time.Duration) (ratio, average float64) {
	ratio = priorRatio
	if s.samples > 0 {
		mean := s.latencySum / float64(s.samples)
		if s.samples >= minFloorSamples || s.floor == 0 {
			s.updateFloor(time.Duration(mean*float64(time.Second)), now)
		}
		n := float64(s.samples)
		ratio = (mean/s.floor.Seconds()*n + priorRatio*priorWeight) / (n + priorWeight)
		s.ratioSum += mean / s.floor.Seconds() * n
		s.ratioCount += n
	}
	average = (s.ratioSum + priorRatio*priorWeight) / (s.ratioCount + priorWeight)
	s.ratioSum, s.ratioCount, s.latencySum, s.samples = s.ratioSum*ratioDecay, s.ratioCount*ratioDecay, 0, 0
	return ratio, average
}

// updateFloor updates the floor with the mean of a window.
func (s *classStat) updateFloor(mean, now time.Duration) {
	if s.floor == 0 {
		s.floor, s.periodMin, s.periodStart = mean, mean, now
	}
	s.periodMin = min(s.periodMin, mean)
	s.floor = min(s.floor, mean)
	if now-s.periodStart >= floorPeriod {
		// The bound prevents the latency under sustained load from being mistaken for the floor.
		s.floor = min(s.periodMin, time.Duration(maxFloorRise*float64(s.floor)))
		s.periodMin, s.periodStart = mean, now
	}
}

// cost returns the expected cost of a request, in seconds of work. It is the latency floor: under load the
// rest of the latency is due to other requests.
func (s *classStat) cost(c *Class) float64 {
	if s.floor == 0 {
		return defaultCostShare * c.LatencyObjective.Seconds()
	}
	return s.floor.Seconds()
}

// expectedLatency returns the latency of admitted requests that the limiter targets. The current latency is not used: a
// class whose requests are rejected because they would be late would never be measured again.
func (s *classStat) expectedLatency(c *Class, tolerance float64) time.Duration {
	if s.floor == 0 {
		return time.Duration(defaultCostShare * float64(c.LatencyObjective))
	}
	return time.Duration(tolerance * float64(s.floor))
}
