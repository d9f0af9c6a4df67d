package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"capercove/internal/emulator"
	"capercove/internal/scenario"
)

const (
	// extraSeconds is for how long after the end of load seconds are recorded, for answers that come late.
	extraSeconds = 30
	// maxLatency is the longest latency that a histogram tells from longer ones.
	maxLatency = time.Minute
	// histogramDigits is the number of significant decimal digits of a histogram.
	histogramDigits = 3
)

// Result is the outcome of a run. Latencies count from the time at which a request was due.
type Result struct {
	Classes      map[string]*Stats
	Tenants      map[string]*Stats
	Seconds      []SecondStats // by the second, after the beginning, in which a request was due
	EarnedWeight float64       // of requests that were answered, with late ones reduced
	TotalWeight  float64       // of all requests
}

// Stats counts the requests of a class or tenant after the warm-up. A request with its retries counts once.
type Stats struct {
	Requests      int64
	InTime        int64 // served within the latency objective
	Served        int64 // at any time
	Rejected      int64
	Failed        int64
	Unanswered    int64
	Retried       int64
	RetriedServed int64                   // retried, and then served
	Latency       *hdrhistogram.Histogram // of those that were served, in microseconds
}

// SecondStats counts the requests that were due within one second, by class. The warm-up counts here, too.
type SecondStats map[string]ClassSecond

// ClassSecond counts the requests of a class that were due within one second.
type ClassSecond struct {
	Requests   int64
	InTime     int64
	Served     int64
	Rejected   int64
	Failed     int64
	MaxLatency int64 // of those that were served, in microseconds
}

// newResult returns an empty result for the classes and tenants of a scenario.
func newResult(described *scenario.Scenario) Result {
	result := Result{Classes: map[string]*Stats{}, Tenants: map[string]*Stats{}}
	for _, class := range described.Classes {
		result.Classes[class.Name] = newStats()
	}
	for _, load := range described.Loads {
		result.Tenants[load.Tenant] = newStats()
	}
	for range int(described.Seconds) + extraSeconds {
		result.Seconds = append(result.Seconds, SecondStats{})
	}
	return result
}

func newStats() *Stats {
	return &Stats{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)}
}

// InTimeShare returns the share of requests that were served within the latency objective.
func (stats *Stats) InTimeShare() float64 {
	return float64(stats.InTime) / float64(max(1, stats.Requests))
}

// ServedShare returns the share of requests that were served at any time.
func (stats *Stats) ServedShare() float64 {
	return float64(stats.Served) / float64(max(1, stats.Requests))
}

// LatencyMS returns a percentile, from 0 to 100, of the latencies in milliseconds.
func (stats *Stats) LatencyMS(percentile float64) float64 {
	return float64(stats.Latency.ValueAtQuantile(percentile)) / 1000
}

// completion is how a request ended, after all its attempts.
type completion struct {
	outcome emulator.ClientOutcome
	latency time.Duration
	inTime  bool // served within the latency objective
	isRetry bool // it ended with a retry
}

// record counts the end of a request.
func (stats *Stats) record(end completion) {
	switch end.outcome {
	case emulator.Served:
		stats.Served++
		if end.isRetry {
			stats.RetriedServed++
		}
		if end.inTime {
			stats.InTime++
		}
		// A value within the histogram's bounds is never rejected.
		_ = stats.Latency.RecordValue(max(1, min(end.latency, maxLatency-time.Millisecond).Microseconds()))
	case emulator.Rejected:
		stats.Rejected++
	case emulator.Unanswered:
		stats.Unanswered++
	default:
		stats.Failed++
	}
}

// recordRequest counts a request of a class.
func (second SecondStats) recordRequest(class string) {
	counts := second[class]
	counts.Requests++
	second[class] = counts
}

// record counts the end of a request of a class.
func (second SecondStats) record(class string, end completion) {
	counts := second[class]
	switch end.outcome {
	case emulator.Served:
		counts.Served++
		counts.MaxLatency = max(counts.MaxLatency, end.latency.Microseconds())
		if end.inTime {
			counts.InTime++
		}
	case emulator.Rejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
	second[class] = counts
}

// Score returns the share of the weight of all requests that was earned, from 0 to 1.
func (result *Result) Score() float64 {
	if result.TotalWeight == 0 {
		return 0
	}
	return result.EarnedWeight / result.TotalWeight
}

// second returns the counters of the second in which a time lies.
func (driver *Driver) second(at time.Duration) SecondStats {
	index := int((at - driver.start).Seconds())
	index = min(index, len(driver.Result.Seconds)-1)
	return driver.Result.Seconds[max(0, index)]
}

// stats returns the counters of a request's class and tenant.
func (driver *Driver) stats(client *clientRequest) [2]*Stats {
	return [2]*Stats{driver.Result.Classes[client.class.Name], driver.Result.Tenants[client.load.Tenant]}
}

// recordArrival counts a request whose first attempt is due.
func (driver *Driver) recordArrival(client *clientRequest) {
	driver.second(client.due).recordRequest(client.class.Name)
	if !client.counts {
		return
	}
	driver.Result.TotalWeight += client.class.Weight
	for _, stats := range driver.stats(client) {
		stats.Requests++
	}
}

// recordFirstRetry counts a request that is retried for the first time.
func (driver *Driver) recordFirstRetry(client *clientRequest) {
	if !client.counts {
		return
	}
	for _, stats := range driver.stats(client) {
		stats.Retried++
	}
}

// recordResponse counts the final response to a request.
func (driver *Driver) recordResponse(client *clientRequest, response Response) {
	latency := response.At - client.due
	served := response.Outcome == emulator.Served
	inTime := served && latency <= scenario.Millis(client.class.AimMS)
	end := completion{outcome: response.Outcome, latency: latency, inTime: inTime, isRetry: client.isRetry}
	driver.second(client.due).record(client.class.Name, end)
	if !client.counts {
		return
	}
	for _, stats := range driver.stats(client) {
		stats.record(end)
	}
	switch {
	case inTime:
		driver.Result.EarnedWeight += client.class.Weight
	case served:
		driver.Result.EarnedWeight += client.class.Weight * client.class.LateWeight
	}
}
