package membership

import (
	"cmp"
	"slices"
	"time"
)

// Uses are what a pooler does with the view. Each stands alone, and none replaces what the pooler knows by itself.
type Uses struct {
	Count       bool `toml:"count"`       // the live poolers are counted, in place of the number in the settings
	Suspicion   bool `toml:"doubt"`       // a database that others doubt, or say leads, is asked
	Connections int  `toml:"connections"` // idle ones that all poolers together keep to one database; 0: each as many as ever
}

// AdvisorBounds are the times and counts of the uses.
type AdvisorBounds struct {
	Stands  time.Duration // a lower count of poolers is believed once it has stood for so long
	Turn    time.Duration // poolers ask a database that is doubted one after the other, so far apart
	Turns   time.Duration // ... and all of them within this
	Again   time.Duration // a pooler asks a database twice, and twice more after so long
	Askings int           // databases that are asked in one step
	Least   int           // poolers whose word it takes: one may be the only one that is cut off
}

// DefaultAdvisorBounds is for periods of 200 ms.
func DefaultAdvisorBounds() AdvisorBounds {
	return AdvisorBounds{Stands: 10 * time.Second, Turn: 50 * time.Millisecond, Turns: time.Second, Again: 2 * time.Second, Askings: 4,
		Least: 2}
}

// Hints is what the view comes down to for the pooler that holds it. The zero value changes nothing.
type Hints struct {
	Routers int            // that share the databases; 0: as many as the settings say
	Ask     []string       // databases to probe now
	Idle    map[string]int // idle connections that may be kept to each database; nil: as many as ever
}

// Advisor decides what a pooler does with the view. It is pure: the time and what there is to be seen are handed to it.
type Advisor struct {
	Count struct{ Asked, Doubts int64 }

	name    string
	uses    Uses
	bounds  AdvisorBounds
	routers int // as in the settings
	counted int // that is believed; 0: all that are known
	lower   int // a lower one, which has stood since
	since   time.Duration
	doubts  map[string]*doubt
	words   map[string][]PeerObservation // of the last step
}

// NewAdvisor returns one for a pooler of this name, where the settings say that there are so many.
func NewAdvisor(name string, u Uses, b AdvisorBounds, routers int) *Advisor {
	return &Advisor{name: name, uses: u, bounds: b, routers: routers, doubts: map[string]*doubt{}}
}

// Settings takes in how many poolers the settings say there are.
func (a *Advisor) Settings(routers int) { a.routers, a.counted, a.lower = routers, 0, 0 }

// Step decides anew. It is called once a period.
func (a *Advisor) Step(now time.Duration, v *View, sights []LocalObservation) (out Hints) {
	live := v.Live()
	a.words = v.Observations()
	if !slices.Contains(live, a.name) { // nothing has been said yet
		return Hints{}
	}
	if a.uses.Count {
		known := len(live)
		for _, e := range v.Gone() {
			if !e.Left {
				known++
			}
		}
		out.Routers = a.count(now, len(live), max(known, a.routers))
	}
	if a.uses.Connections > 0 {
		out.Idle = a.idle(max(len(live), cmp.Or(out.Routers, a.routers), 1), live, sights)
	}
	if a.uses.Suspicion {
		out.Ask = a.ask(now, live, sights)
	}
	return out
}

// count is how many poolers to reckon with, of n that live and known that there are: the settings' number, or with those that went
// without a word, if more. What each may do is a whole shared by the count, so that a count that is too low is what does harm.
// One that is higher is believed at once, a lower one once it has stood, and only while it is more than half of those
// known: of the sides of a cut one at the most is, and the others go on with all that are known.
//
// So where the known ones are K, all those that live together have less than twice the whole whatever their views, as each has at
// most 1/m of it with m > K/2. In a cut into sides of n > K/2 and K-n, each side with its own view, they have n/n + (K-n)/K
// of it, less than one and a half. Where all see the same n, they have the whole.
func (a *Advisor) count(now time.Duration, n, known int) int {
	switch {
	case n >= known:
		a.counted, a.lower = n, 0
		return n
	case 2*n <= known: // the smaller side of a cut, or the settings are of another fleet
		a.counted, a.lower = 0, 0
		return known
	}
	counted := cmp.Or(a.counted, known)
	switch {
	case n >= counted:
		a.counted, a.lower = n, 0
	case a.lower == 0 || n > a.lower: // the highest that it has been since it fell
		a.lower, a.since = n, now
	case now-a.since >= a.bounds.Stands:
		a.counted, a.lower = a.lower, 0
	}
	return cmp.Or(a.counted, known)
}

// idle deals the connections of each database out to n poolers. Where those are all live ones, the whole is dealt, and what is left
// over of it goes to those who come first by rendezvous hashing: to others for each database.
func (a *Advisor) idle(n int, live []string, sights []LocalObservation) map[string]int {
	idle := make(map[string]int, len(sights))
	for _, s := range sights {
		idle[s.Database] = a.uses.Connections / n
		if n == len(live) && rank(s.Database, a.name, live) < a.uses.Connections%n {
			idle[s.Database]++
		}
	}
	return idle
}
