package admission

import (
	"slices"
	"time"
)

// none is no entry.
const none int32 = -1

type state uint8

const (
	nobody   state = iota // the entry is free
	arriving              // in no queue
	queued
	inside
)

// entry is a request that the door knows of. Entries are numbered, and linked by numbers.
type entry struct {
	request       uint64
	client        uint64
	state         state
	promised      bool // it came back when it was told to
	lane, flow    int32
	tenant, class int32 // class: none if it is no more
	band          band
	cost          float64
	offered       time.Duration
	due           time.Duration // it is admitted by then, or refused
	next, prev    int32         // in its flow by due, or among the kept; of a free one, the next free
	newer, older  int32         // in its flow by arrival
}

// take returns a free entry.
func (d *Controller) take() int32 {
	if d.free == none {
		d.entries = append(d.entries, entry{next: none})
		return int32(len(d.entries) - 1)
	}
	at := d.free
	d.free = d.entries[at].next
	return at
}

// drop frees an entry that is in no queue.
func (d *Controller) drop(at int32) {
	delete(d.at, d.entries[at].request)
	d.entries[at] = entry{next: d.free}
	d.free = at
}

// flow is the queue of one client, or of those that hash alike, of a tenant at a lane.
type flow struct {
	start          float64 // of its next turn in its tenant's virtual time, while it waits
	finish         float64 // of its last one
	backlog        float64 // cost of what waits
	count          int32
	first, last    int32 // by due
	oldest, newest int32 // by arrival
	at             int32 // its place in the heap; none: nothing waits
}

// charge moves a flow's next turn back. Against one that never gets a turn again, it is bounded.
func (p *pair) charge(flow int32, cost float64) {
	f := &p.flows[flow]
	if f.at == none {
		f.finish = min(max(f.finish, p.vt)+cost, max(f.finish, p.vt+chargeMost*cost))
		return
	}
	f.start = min(f.start+cost, max(f.start, p.vt+chargeMost*cost))
	p.fix(flow)
}

// list is a queue by arrival.
type list struct{ first, last int32 }

// pair is a tenant at a lane.
type pair struct {
	start, finish float64 // as of a flow, in the lane's virtual time
	vt            float64 // the virtual time that its flows live in
	weight        float64
	backlog       float64
	queued        int
	inside        int
	flows         [bands * (buckets + heavies)]flow
	active        [bands][]int32 // heaps of the flows that wait
	heaps         [bands]flowHeap
	kept          [bands]list // those that came back when told
	row           int         // how many of them went on in a row
	at            int32       // its place in the lane's heap; none: nothing waits
	sketch        sketch
	used          time.Duration
	promised      time.Duration // up to here its share of what comes is promised
}

// flowOf is the number of a client's flow: its own if it is one of the heaviest, else the one that it hashes to.
func (p *pair) flowOf(d *Controller, client uint64, cost float64, b band) int32 {
	p.used = d.now
	first := int32(b) * (buckets + heavies)
	if own := p.sketch.add(client, cost); own >= 0 {
		return first + int32(buckets+own)
	}
	return first + int32(hash(client, d.seed)%buckets)
}

// band tells how long requests take, as against what others at the lane can wait.
type band uint8

const (
	short band = iota
	long
	bands
)

func bandOf(flow int32) band { return band(flow / (buckets + heavies)) }

// enqueue puts an entry at its place.
func (d *Controller) enqueue(l *lane, p *pair, at int32) {
	e := &d.entries[at]
	e.state = queued
	d.queued++
	d.tenants[e.tenant].Queued++
	l.queued++
	l.backlog += e.cost
	p.queued++
	p.backlog += e.cost
	if p.at == none {
		p.start = max(l.vt, p.finish)
		l.push(e.tenant)
	}
	if e.promised {
		k := &p.kept[e.band]
		e.prev, e.next = k.last, none
		if k.last == none {
			k.first = at
		} else {
			d.entries[k.last].next = at
		}
		k.last = at
		return
	}
	f := &p.flows[e.flow]
	f.count++
	f.backlog += e.cost
	behind := f.last // Most come in the order of their due: from the end it is a step or two.
	for behind != none && d.entries[behind].due > e.due {
		behind = d.entries[behind].prev
	}
	e.prev = behind
	if behind == none {
		e.next, f.first = f.first, at
	} else {
		e.next, d.entries[behind].next = d.entries[behind].next, at
	}
	if e.next == none {
		f.last = at
	} else {
		d.entries[e.next].prev = at
	}
	e.older, e.newer = f.newest, none
	if f.newest == none {
		f.oldest = at
	} else {
		d.entries[f.newest].newer = at
	}
	f.newest = at
	if f.at == none {
		f.start = max(p.vt, f.finish)
		p.push(e.flow)
	}
}

// unlink takes a queued entry out; its flow and its tenant are charged nothing.
func (d *Controller) unlink(at int32) {
	e := &d.entries[at]
	l := d.lanes[e.lane]
	p := l.pairs[e.tenant]
	e.state = arriving
	d.queued--
	d.tenants[e.tenant].Queued--
	l.queued--
	l.backlog -= e.cost
	p.queued--
	p.backlog -= e.cost
	first, last := &p.kept[e.band].first, &p.kept[e.band].last
	if !e.promised {
		f := &p.flows[e.flow]
		first, last = &f.first, &f.last
		if e.older == none {
			f.oldest = e.newer
		} else {
			d.entries[e.older].newer = e.newer
		}
		if e.newer == none {
			f.newest = e.older
		} else {
			d.entries[e.newer].older = e.older
		}
		f.backlog -= e.cost
		if f.count--; f.count == 0 {
			f.backlog = 0 // no rest of rounding
			p.remove(e.flow)
		}
	}
	if e.prev == none {
		*first = e.next
	} else {
		d.entries[e.prev].next = e.next
	}
	if e.next == none {
		*last = e.prev
	} else {
		d.entries[e.next].prev = e.prev
	}
	if p.queued == 0 {
		p.backlog = 0
		l.remove(p)
	}
	if l.queued == 0 {
		l.backlog = 0
	}
}

// chargeMost is how many requests ahead of its tenant's present a flow is charged at the most.
const chargeMost = 8

// keptRow is how many in a row may go on ahead of their tenant's other clients, since they came back when told.
const keptRow = 3

// next takes the entry out whose turn it is at a tenant, and charges its flow. It returns none if all that waits there
// is long, and no long ones may go.
func (d *Controller) next(p *pair, longs bool) int32 {
	from := short
	if longs && p.before(long, short) {
		from = long
	}
	if k := p.kept[from].first; k != none && (len(p.active[from]) == 0 || p.row < keptRow) {
		p.row++
		d.unlink(k)
		p.charge(d.entries[k].flow, d.entries[k].cost)
		return k
	}
	p.row = 0
	if len(p.active[from]) == 0 {
		return none
	}
	i := p.active[from][0]
	f := &p.flows[i]
	at := f.first
	p.vt = max(p.vt, f.start)
	f.finish = f.start + d.entries[at].cost
	f.start = f.finish
	d.unlink(at)
	if f.at != none {
		p.fix(i)
	}
	return at
}

// before tells whether the next of one band has its turn before the next of the other.
func (p *pair) before(a, b band) bool {
	turn := func(b band) (float64, bool) {
		if p.kept[b].first != none {
			return p.vt, true
		}
		if len(p.active[b]) == 0 {
			return 0, false
		}
		return p.flows[p.active[b][0]].start, true
	}
	at, waits := turn(a)
	other, others := turn(b)
	return waits && (!others || at < other)
}

// dispatch lets go on what there is room for at a lane.
func (d *Controller) dispatch(l *lane) {
	aside := d.aside[:0] // tenants that have nothing that may go on
	for l.room(short) > 0 && len(l.active) > 0 {
		tenant := l.first(d)
		p := l.pairs[tenant]
		conf := &d.set.Tenants[tenant]
		least := l.pairs[l.active[0]].start
		at := none
		if conf.CeilingShare == 0 || float64(p.inside) < max(1, conf.CeilingShare*l.limiter.limit()) {
			at = d.next(p, l.room(long) > 0)
		}
		if at == none {
			aside = append(aside, tenant)
			l.remove(p)
			continue
		}
		l.vt = max(l.vt, min(p.start, least))
		p.finish = p.start + d.entries[at].cost/p.weight
		p.start = p.finish
		if p.at != none {
			l.fix(p)
		}
		d.admit(l, at)
	}
	for _, tenant := range aside {
		l.push(tenant)
	}
	d.aside = aside
}

// heaviest is the newest entry of the heaviest flow of the tenant that has the most waiting for its weight.
func (d *Controller) heaviest() int32 {
	var worst *pair
	for _, l := range d.lanes {
		for _, t := range l.active {
			if p := l.pairs[t]; worst == nil || p.backlog/p.weight > worst.backlog/worst.weight {
				worst = p
			}
		}
	}
	var f *flow
	for i := range worst.flows {
		if g := &worst.flows[i]; g.count > 0 && (f == nil || g.backlog > f.backlog) {
			f = g
		}
	}
	if f == nil {
		return max(worst.kept[short].last, worst.kept[long].last)
	}
	return f.newest
}

func sortBy(s []int32, less func(a, b int32) bool) {
	slices.SortFunc(s, func(a, b int32) int {
		if less(a, b) {
			return -1
		}
		return 1
	})
}
