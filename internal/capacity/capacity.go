// Package capacity estimates what databases can take, from what they answer and report. It is pure: no clock, no I/O.
package capacity

import (
	"slices"
	"time"
)

// One is how many requests a database of size 1 works on at once: what one that tells nothing is taken for.
const One = 3.0

const (
	gain  = 0.002 // of the size, for each report
	least = 1 / One
	most  = 64.0
	safe  = 0.5 // share of a cold database's budget that is used
)

// Size is how much databases work on at once, as a multiple of One.
type Size float64

// Told takes in a report: so many requests wait at a database that is warm, and holds so many for each unit of the size. One
// that holds as much as it was taken to work on, with nobody waiting, works on more; one at which as many wait as are
// worked on answers in twice its time, and is smaller. In between the size stands. One that can be told from the latency
// alone has not been found: with few requests at each database it cannot be told from chance.
func (s Size) Told(held, waiting float64) Size {
	switch {
	case waiting <= 0 && held >= One:
		s *= 1 + gain
	case waiting > One*float64(s):
		s *= 1 - 2*gain // a crowd is a worse mistake than a refusal
	}
	return min(most, max(least, s))
}

// Cold keeps count of the work that one database was sent and has answered, in requests of mean work, for the time when it
// is cold. A start may become known late, so what is sent counts before it too.
type Cold struct {
	sends, answers []counted // of the last window
}

// counted is the work of one request, and when it was sent or answered.
type counted struct {
	at   time.Duration
	work float64
}

// Sent counts a request that was sent.
func (c *Cold) Sent(now, window time.Duration, work float64) {
	if len(c.sends) == cap(c.sends) {
		c.sends = since(c.sends, now-window)
	}
	c.sends = append(c.sends, counted{now, work})
}

// Answered counts a request that was answered.
func (c *Cold) Answered(now time.Duration, work float64) {
	c.answers = append(c.answers, counted{now, work})
}

// Warm forgets the answers: they tell nothing of what a process that starts later can do.
func (c *Cold) Warm() { c.answers = c.answers[:0] }

// Left is how much more work may be sent now; of a part of a request's, chance has to make a whole one. The database falls
// over if all senders together send it more than the multiple of what it can do within the window. Its capacity in a window
// is taken to be what is believed, or what it answered in the last one since it started, if more: it can surely do that,
// however little is asked elsewhere, and as each sender counts its own answers, all together keep the budget. At least the
// part is always granted.
func (c *Cold) Left(now, started, window time.Duration, multiple, believed, part float64) float64 {
	c.sends, c.answers = since(c.sends, now-window), since(c.answers, max(started, now-window))
	return max(part, safe*multiple*max(believed, sum(c.answers))) - sum(c.sends)
}

// since drops what was counted before a time.
func since(all []counted, from time.Duration) []counted {
	return slices.DeleteFunc(all, func(one counted) bool { return one.at < from })
}

func sum(all []counted) (work float64) {
	for _, one := range all {
		work += one.work
	}
	return work
}
