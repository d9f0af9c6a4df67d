package capacity

import (
	"slices"
	"time"
)

const (
	remembered = 2000.0 // requests and answers of which the means are
	assumed    = 3.0    // answers that the prior of a class weighs as much as
)

// Work estimates how much work the requests of each class are, from how long warm databases take to answer them. Until a
// class is answered, it is taken to need as much of its aim as the others do of theirs.
type Work struct {
	classes []classWork
}

// classWork is what is known of one class.
type classWork struct {
	aim      float64
	arrivals float64
	answers  float64
	ofAim    float64 // sum over the answers of the share of the aim that each took
}

// Set takes in the aims of the classes. What was learned is kept if they are as before.
func (w *Work) Set(aims []time.Duration) {
	same := func(c classWork, aim time.Duration) bool { return c.aim == float64(aim) }
	if slices.EqualFunc(w.classes, aims, same) {
		return
	}
	w.classes = make([]classWork, len(aims))
	for i, aim := range aims {
		w.classes[i].aim = float64(aim)
	}
}

// Arrived counts a request.
func (w *Work) Arrived(class int) {
	if class >= len(w.classes) {
		return
	}
	c := &w.classes[class]
	if c.arrivals++; c.arrivals <= remembered {
		return
	}
	for i := range w.classes {
		w.classes[i].arrivals /= 2
	}
}

// Answered takes in how long a warm database took.
func (w *Work) Answered(class int, took time.Duration) {
	if class >= len(w.classes) || w.classes[class].aim <= 0 {
		return
	}
	c := &w.classes[class]
	c.ofAim += float64(took) / c.aim
	if c.answers++; c.answers > remembered {
		c.answers, c.ofAim = c.answers/2, c.ofAim/2
	}
}

// Of is the work of a request of a class, as a multiple of the mean request's.
func (w *Work) Of(class int) float64 {
	if class >= len(w.classes) {
		return 1
	}
	prior := w.meanOfAim()
	arrivals, work := 0.0, 0.0
	for i := range w.classes {
		c := &w.classes[i]
		arrivals += c.arrivals
		work += c.arrivals * c.work(prior)
	}
	if work <= 0 {
		return 1
	}
	return w.classes[class].work(prior) * arrivals / work
}

// meanOfAim is the share of its aim that an answer takes, over all classes.
func (w *Work) meanOfAim() float64 {
	answers, ofAim := 0.0, 0.0
	for _, c := range w.classes {
		answers, ofAim = answers+c.answers, ofAim+c.ofAim
	}
	if ofAim <= 0 {
		return 1
	}
	return ofAim / answers
}

// work is the time that a request of the class takes; prior is the share of its aim that it is assumed to take.
func (c *classWork) work(prior float64) float64 {
	return c.aim * (assumed*prior + c.ofAim) / (assumed + c.answers)
}
