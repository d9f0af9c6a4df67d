package membership

import (
	"time"
)

// Reporter turns what a pooler sees into what it says of databases. Said is what is not plain, what was not plain a while ago,
// and where another has said otherwise, so that a fault that one alone sees shows as that.
type Reporter struct {
	said  map[string]spoken
	keeps time.Duration
}

type spoken struct {
	word Observation
	last time.Duration // when it was last not plain, or contested
}

// NewReporter returns a reporter that goes on with a word for so long after it has become plain. It must be longer than it takes
// to tell all, as what is no longer said stays in others' views until it is old.
func NewReporter(keeps time.Duration) *Reporter {
	return &Reporter{said: map[string]spoken{}, keeps: keeps}
}

// Report returns the facts on databases. Contested names those of which another pooler says that they are bad.
func (r *Reporter) Report(now time.Duration, sights []LocalObservation, contested func(database string) bool) map[Key][]byte {
	values, seen := map[Key][]byte{}, map[string]bool{}
	for _, s := range sights {
		seen[s.Database] = true
		w := Observation{State: s.State, Cold: s.Cold, Primary: s.Primary}
		had, known := r.said[s.Database]
		if known && had.word.same(w) {
			w = had.word
		} else {
			w.Since = now.Milliseconds()
			if s.Primary {
				w.At = s.Position.Milliseconds()
			}
		}
		k := spoken{w, had.last}
		switch {
		case !w.plain() || w.State == Healthy && contested(s.Database):
			k.last = now
		case !known:
			continue // it is, and was, plain
		}
		if now-k.last >= r.keeps {
			delete(r.said, s.Database)
			continue
		}
		r.said[s.Database] = k
		values[Key{OfDatabase, s.Database}] = w.Append(nil)
	}
	for name := range r.said { // databases that are no more
		if !seen[name] {
			delete(r.said, name)
		}
	}
	return values
}
