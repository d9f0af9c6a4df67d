package capacity

import (
	"slices"
	"time"
)

const (
	// meanSamples bounds the counts of requests and of answers. Counts above it are halved: older samples weigh less.
	meanSamples = 2000.0
	// priorWeight is the weight of a class's prior, as a number of answers.
	priorWeight = 3.0
)

// Work estimates how much work a request of each class is, from how long warm databases take to answer it. A class
// without answers is assumed to take the same share of its latency objective as the other classes take of theirs. The
// zero value has no classes.
type Work struct {
	classes []classWork
}

// classWork is the statistics of one class.
type classWork struct {
	objective float64 // the latency objective, in ns
	arrivals  float64
	answers   float64
	shareSum  float64 // sum over the answers of time taken / objective
}

// SetObjectives sets the latency objectives of all classes, indexed by class. It resets the statistics unless the
// objectives are unchanged.
func (w *Work) SetObjectives(objectives []time.Duration) {
	same := func(class classWork, objective time.Duration) bool { return class.objective == float64(objective) }
	if slices.EqualFunc(w.classes, objectives, same) {
		return
	}
	w.classes = make([]classWork, len(objectives))
	for i, objective := range objectives {
		w.classes[i].objective = float64(objective)
	}
}

// Arrived counts a request of a class.
func (w *Work) Arrived(class int) {
	if class >= len(w.classes) {
		return
	}
	w.classes[class].arrivals++
	if w.classes[class].arrivals <= meanSamples {
		return
	}
	for i := range w.classes {
		w.classes[i].arrivals /= 2
	}
}

// Answered records how long a warm database took to answer a request of a class.
func (w *Work) Answered(class int, took time.Duration) {
	if class >= len(w.classes) || w.classes[class].objective <= 0 {
		return
	}
	answered := &w.classes[class]
	answered.shareSum += float64(took) / answered.objective
	answered.answers++
	if answered.answers > meanSamples {
		answered.answers /= 2
		answered.shareSum /= 2
	}
}

// RelativeWork returns the work of a request of a class, as a multiple of the mean request's. It is 1 for an unknown
// class and while no request is counted.
func (w *Work) RelativeWork(class int) float64 {
	if class >= len(w.classes) {
		return 1
	}
	prior := w.meanShare()
	arrivals, work := 0.0, 0.0
	for i := range w.classes {
		other := &w.classes[i]
		arrivals += other.arrivals
		work += other.arrivals * other.meanTime(prior)
	}
	if work <= 0 {
		return 1
	}
	return w.classes[class].meanTime(prior) * arrivals / work
}

// meanShare returns the share of its objective that an answer takes, as the mean over all classes. It is 1 without
// answers.
func (w *Work) meanShare() float64 {
	answers, shareSum := 0.0, 0.0
	for i := range w.classes {
		answers += w.classes[i].answers
		shareSum += w.classes[i].shareSum
	}
	if shareSum <= 0 {
		return 1
	}
	return shareSum / answers
}

// meanTime returns the estimated time that a request of the class takes, in ns. prior is the share of the objective
// that a request is assumed to take without answers.
func (c *classWork) meanTime(prior float64) float64 {
	return c.objective * (priorWeight*prior + c.shareSum) / (priorWeight + c.answers)
}
