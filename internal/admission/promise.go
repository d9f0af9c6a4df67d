package admission

import (
	"time"
)

const (
	promisedShare = 0.7                   // of what a tenant gets through is promised ahead at the most
	ways          = 4                     // places that a promise may have in the table
	punctual      = 25 * time.Millisecond // one who comes back so much too early is on time
	grace         = time.Second           // ... and so much too late
	soonest       = 10 * time.Millisecond // no one is told to come back sooner
	spread        = 0.25                  // of a time that cannot be promised, in which those who get it are spread
)

// promises remember whom the door told when to come back, in a table of fixed size. A promise is lost when the places
// that it may have are taken by others that are still to come; then it was never made.
type promises struct{ table []promise }

type promise struct {
	key uint64
	due time.Duration // 0: free
}

func newPromises(size int) promises { return promises{make([]promise, max(ways, size/ways*ways))} }

// promiseKey tells the requests apart that a promise is for.
func (d *Controller) promiseKey(e *entry) uint64 {
	return max(1, hash(e.client, uint64(e.lane)<<40|uint64(e.tenant)<<20|uint64(e.class)))
}

func (p *promises) set(key uint64) []promise {
	at := key % uint64(len(p.table)/ways) * ways
	return p.table[at : at+ways]
}

// make notes a promise, if there is a place for it.
func (p *promises) make(key uint64, due, now time.Duration) bool {
	set := p.set(key)
	for i := range set {
		if set[i].due == 0 || now > set[i].due+grace {
			set[i] = promise{key, due}
			return true
		}
	}
	return false
}

type meeting uint8

const (
	stranger meeting = iota // nothing was promised
	onTime
	early
)

// meet looks up the promise of one who has come. Who is on time has it fulfilled; who is early has lost it.
func (p *promises) meet(key uint64, now time.Duration) meeting {
	set := p.set(key)
	var first *promise
	for i := range set {
		if m := &set[i]; m.key == key && m.due > 0 && now <= m.due+grace && (first == nil || m.due < first.due) {
			first = m
		}
	}
	if first == nil {
		return stranger
	}
	due := first.due
	*first = promise{}
	if now < due-punctual {
		return early
	}
	return onTime
}

// promise returns when the client of an entry should come back: when its tenant will have got through what waits now
// and what it has promised already. No more is promised than its share of what the databases did lately; beyond
// MaxRetryAfter nothing is, and the client is told about that long.
func (d *Controller) promise(e *entry, least time.Duration) time.Duration {
	if d.set.MaxRetryAfter <= 0 { // nobody may be told anything
		d.Count.Unpromised++
		return 0
	}
	l := d.lanes[e.lane]
	p := l.pair(d, int(e.tenant))
	weight := l.weight
	if p.at == none {
		weight += p.weight
	}
	rate := l.ranRate
	if rate <= 0 {
		rate = l.rate()
	}
	each := time.Duration(min(3600, e.cost*weight/p.weight/(promisedShare*rate)) * float64(time.Second))
	due := max(p.promised, d.now+l.ahead(p, p.backlog/float64(max(1, len(p.active[short])+len(p.active[long])))+e.cost))
	due += time.Duration(d.rng.Float64() * float64(each))
	after := max(due-d.now, soonest, least)
	if after > d.set.MaxRetryAfter || e.class < 0 || !d.promises.make(d.promiseKey(e), d.now+after, d.now) {
		d.Count.Unpromised++
		after = min(after, d.set.MaxRetryAfter)
		return after - time.Duration(spread*d.rng.Float64()*float64(after))
	}
	d.Count.Promised++
	p.promised = max(p.promised, due) + each
	return after
}
