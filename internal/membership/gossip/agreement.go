package gossip

import (
	"maps"
	"slices"
	"time"
)

// agreement follows whether the views of the others are as this pooler's. Digests are heard late and views change meanwhile, so
// that another's agrees if this pooler has held the same a moment ago, or comes to hold it soon. It is pure.
type agreement struct {
	within time.Duration
	own    []held // what this pooler held of late, the newest last
	others map[string]*told

	agrees bool
	since  time.Duration // of agrees
}

type held struct {
	digest uint64
	until  time.Duration // when it was last held
}

// told is what another said last of its view.
type told struct {
	digest uint64
	at     time.Duration
	known  bool          // it has said something since it is there
	equal  bool          // it has been this pooler's too
	opened time.Duration // of a digest that has not been this pooler's: when the first such came since one that has
}

func newAgreement(within, now time.Duration) *agreement {
	return &agreement{within: within, others: map[string]*told{}, since: now}
}

// tell takes in another's digest.
func (a *agreement) tell(now time.Duration, name string, digest uint64) {
	o := a.others[name]
	if o == nil {
		return // it is not there, or not yet
	}
	if o.known && o.digest == digest && o.equal {
		o.at = now
		return
	}
	equal := slices.ContainsFunc(a.own, func(h held) bool { return h.digest == digest })
	if !equal && (!o.known || o.equal) {
		o.opened = now
	}
	o.digest, o.at, o.known, o.equal = digest, now, true, equal
}

// step takes in this pooler's digest and who is there, and tells whether the verdict on all has changed.
func (a *agreement) step(now time.Duration, digest uint64, there map[string]bool) (changed bool) {
	if n := len(a.own); n > 0 && a.own[n-1].digest == digest {
		a.own[n-1].until = now
	} else {
		a.own = append(a.own, held{digest, now})
	}
	a.own = slices.DeleteFunc(a.own, func(h held) bool { return now-h.until > a.within })
	maps.DeleteFunc(a.others, func(name string, _ *told) bool { return !there[name] })
	agrees := true
	for name := range there {
		o := a.others[name]
		if o == nil {
			o = &told{}
			a.others[name] = o
		}
		o.equal = o.equal || o.known && o.digest == digest
		agrees = agrees && a.verdict(now, o) != "no"
	}
	if agrees == a.agrees {
		return false
	}
	a.agrees, a.since = agrees, now
	return true
}

// verdict is "yes", "no", or "?" where nothing has been heard or it may still come to agree.
func (a *agreement) verdict(now time.Duration, o *told) string {
	switch {
	case o == nil || !o.known:
		return "?"
	case o.equal:
		return "yes"
	case now-o.opened < a.within:
		return "?"
	}
	return "no"
}
