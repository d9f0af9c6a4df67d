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

// Cold keeps count of what one cold database was sent and has answered.
type Cold struct {
	sends, answers []time.Duration // times, of the last window
}

// Sent and Answered count one.
func (c *Cold) Sent(now time.Duration)     { c.sends = append(c.sends, now) }
func (c *Cold) Answered(now time.Duration) { c.answers = append(c.answers, now) }

// Warm forgets all: the database is cold no more.
func (c *Cold) Warm() { c.sends, c.answers = c.sends[:0], c.answers[:0] }

// Left is how many more may be sent now; of a part of one, chance has to make a whole one. The database falls over if all
// senders together send it more than the multiple of what it can do within the window. Its capacity in a window is taken
// to be what is believed, or what it answered in the last one, if more: it can surely do that, however little is asked
// elsewhere, and as each sender counts its own answers, all together keep the budget. At least the part is always
// granted.
func (c *Cold) Left(now, window time.Duration, multiple, believed, part float64) float64 {
	old := func(at time.Duration) bool { return now-at > window }
	c.sends, c.answers = slices.DeleteFunc(c.sends, old), slices.DeleteFunc(c.answers, old)
	return max(part, safe*multiple*max(believed, float64(len(c.answers)))) - float64(len(c.sends))
}
