package membership

import (
	"slices"
	"time"
)

// doubt is of a database that others say something of which this pooler has not seen.
type doubt struct {
	due   time.Duration
	asked int
}

// ask names the databases of which others have something to say that is newer than all that this pooler has seen of them: that
// some are bad, each by its own evidence, or that one leads. Their word is a reason to ask, and what comes back is evidence. They
// ask in turn, so that a database that is in trouble is not asked by all at once.
func (a *Advisor) ask(now time.Duration, live []string, sights []LocalObservation) (ask []string) {
	left := map[string]bool{}
	for _, s := range sights {
		bad, leads := 0, false
		var heard []string // from whom
		for _, w := range a.words[s.Database] {
			heard = append(heard, w.Pooler)
			if w.Pooler == a.name || w.Since <= s.Heard.Milliseconds() {
				continue
			}
			if w.State.Bad() {
				bad++
			}
			leads = leads || w.Primary && !s.Primary
		}
		if !s.MayAsk || s.State.Bad() || bad < a.bounds.Least && !leads {
			continue
		}
		left[s.Database] = true
		d := a.doubts[s.Database]
		if d == nil {
			// Those who said it need not ask. Against a herd: the others take turns.
			askers := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name != a.name && slices.Contains(heard, name) })
			turn := min(a.bounds.Turn, a.bounds.Turns/time.Duration(len(askers)))
			d = &doubt{due: now + time.Duration(rank(s.Database, a.name, askers))*turn}
			a.doubts[s.Database] = d
			a.Count.Doubts++
		}
		if now < d.due || len(ask) == a.bounds.Askings {
			continue
		}
		ask = append(ask, s.Database)
		a.Count.Asked++
		if d.asked++; d.asked%2 == 0 { // A probe that fails once proves nothing, and twice is enough.
			d.due = now + a.bounds.Again
		}
	}
	for name := range a.doubts {
		if !left[name] {
			delete(a.doubts, name)
		}
	}
	return ask
}

// Contested tells whether somebody said at the last step that a database is bad.
func (a *Advisor) Contested(database string) bool {
	return slices.ContainsFunc(a.words[database], func(h PeerObservation) bool { return h.State.Bad() })
}

// Suspected are the databases of which others say what this pooler has not seen, sorted.
func (a *Advisor) Suspected() []string {
	names := make([]string, 0, len(a.doubts))
	for name := range a.doubts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
