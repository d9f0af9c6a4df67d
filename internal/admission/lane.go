package admission

import (
	"math"
	"slices"
	"time"
)

// laneKey names what has databases of its own: the primary of a group, or its replicas.
type laneKey struct {
	group   int
	primary bool
}

// lane is where requests for the same databases meet.
type lane struct {
	number    int32
	vt        float64 // virtual time: of the turn that was last given
	pairs     []*pair // by tenant; nil: it has not been here lately
	active    []int32 // heap of the tenants that wait
	weight    float64 // of them together
	queued    int
	inside    int
	backlog   float64 // cost of what waits
	limiter   limiter
	classes   []classStat
	contested bool    // somebody may be kept out by others
	longs     int     // of those inside
	offered   float64 // cost of short ones that have come in the window
	short     float64 // ... a second, of late
	swept     time.Duration

	rolled     time.Duration // when the window began
	ended, ran float64       // cost of what ended in it, and of that which ran
	full       bool          // there was more to do than was let in
	endedRate  float64       // cost a second, while full
	ranRate    float64
}

// laneOf returns the lane of a group. Beyond their bound, lanes are shared: groups there wait for one another.
func (d *Controller) laneOf(group int, primary bool) *lane {
	key := laneKey{group, primary}
	i, known := d.laneAt[key]
	if !known {
		if i = len(d.lanes); i >= d.set.Bounds.Lanes {
			h := hash(uint64(group)*2, 0)
			if primary {
				h = hash(uint64(group)*2+1, 0)
			}
			return d.lanes[h%uint64(len(d.lanes))]
		}
		d.laneAt[key] = i
		d.lanes = append(d.lanes, &lane{number: int32(i), pairs: make([]*pair, len(d.set.Tenants)),
			classes: make([]classStat, len(d.set.Classes)), rolled: d.now, limiter: newLimiter(&d.set), contested: true})
	}
	return d.lanes[i]
}

// pair returns a tenant's place at the lane.
func (l *lane) pair(d *Controller, tenant int) *pair {
	p := l.pairs[tenant]
	if p == nil {
		p = &pair{at: none, kept: [bands]list{{none, none}, {none, none}}, finish: l.vt, weight: d.set.Tenants[tenant].Weight, used: d.now}
		p.heaps = [bands]flowHeap{{p, short}, {p, long}}
		for i := range p.flows {
			p.flows[i] = flow{first: none, last: none, oldest: none, newest: none, at: none}
		}
		l.pairs[tenant] = p
	}
	return p
}

// first is the tenant whose turn it is: one under its floor, or else the one that is the least ahead.
func (l *lane) first(d *Controller) int32 {
	for i := range d.set.Tenants {
		if l.pairs[i] != nil && l.pairs[i].at != none && l.underFloor(d, i) {
			return int32(i)
		}
	}
	return l.active[0]
}

// underFloor tells whether a tenant has less than its floors.
func (l *lane) underFloor(d *Controller, i int) bool {
	t := &d.set.Tenants[i]
	return t.FloorShare > 0 && float64(l.pairs[i].inside+l.pairs[i].queued) < t.FloorShare*l.limiter.limit() ||
		t.Floor > 0 && d.tenants[i].floor.fill(t.Floor, d.now) >= 1
}

// isLong tells whether requests of a class are so long that, with the lane full of them, ones of another class that is
// asked for here would be late before the first of them has ended.
func (l *lane) isLong(d *Controller, class int) bool {
	takes := l.classes[class].cost(&d.set.Classes[class])
	for i := range l.classes {
		s, c := &l.classes[i], &d.set.Classes[i]
		if i != class && s.asked > 0 && d.now-s.asked < asksLast && takes > (c.Aim-s.latency(c, d.set.Tolerance)).Seconds() {
			return true
		}
	}
	return false
}

// limit is how many may be inside. Where nobody asks for so much that others could lack it, there is nothing to hold back:
// whatever stands behind the door has its own ways with a crowd.
func (l *lane) limit() float64 {
	if !l.contested {
		return l.limiter.most
	}
	return l.limiter.limit()
}

// contend looks whether tenants meet here, or a client of one asks for much of what it gets.
func (l *lane) contend(d *Controller) {
	tenants := 0
	l.contested = false
	for _, p := range l.pairs {
		if p == nil || d.now-p.used > contendFor && p.queued == 0 {
			continue
		}
		tenants++
		l.contested = l.contested || tenants > 1 || p.sketch.loudest() > loudShare
	}
}

// reserve is how many places are kept for short requests: as many as their work fills in the mean, and a multiple of
// the square root of that more (square-root staffing), at most half of all.
func (l *lane) reserve() int {
	if l.short < shortLeast {
		return 0
	}
	return int(math.Ceil(min(l.limit()/2, l.short+staffing*math.Sqrt(l.short))))
}

// room is how many requests of a band may go on. The short ones' reserve is theirs also while the limit falls and more
// is inside than it: what is to become less are the long ones.
func (l *lane) room(b band) int {
	limit, reserve := int(l.limit()), l.reserve()
	if b == long {
		return min(limit-l.inside, max(1, limit-reserve)-l.longs)
	}
	return max(limit-l.inside, reserve-(l.inside-l.longs))
}

// rate is the cost a second that the lane gets through. Before it has ever been full that is a guess: what is inside
// does a second of work in a second.
func (l *lane) rate() float64 {
	if l.endedRate > 0 {
		return l.endedRate
	}
	return l.limiter.limit()
}

// ahead is how long it takes until so much of the cost of one flow of a tenant has gone through, with all others that
// wait taking their turns, and no longer than all that waits takes together.
func (l *lane) ahead(p *pair, cost float64) time.Duration {
	weight, flows := l.weight, len(p.active[short])+len(p.active[long])
	if p.at == none {
		weight += p.weight
	}
	own := min(cost*float64(max(flows, 1)), max(p.backlog, cost))
	seconds := min(own*weight/p.weight, max(l.backlog, cost)) / l.rate()
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// wait is how long one more request of this cost would wait in a flow.
func (l *lane) wait(p *pair, f *flow, cost float64) time.Duration {
	l.backlog += cost // as if it were there
	p.backlog += cost
	wait := l.ahead(p, f.backlog+cost)
	l.backlog -= cost
	p.backlog -= cost
	return wait
}

// roll ends a window, if it is time: the rates and the limit follow what happened in it.
func (l *lane) roll(d *Controller) {
	l.full = l.full || l.queued > 0 || float64(l.inside) >= l.limiter.limit()-1
	took := d.now - l.rolled
	if took < window {
		return
	}
	l.contend(d)
	seconds := took.Seconds()
	follow(&l.short, l.offered/seconds, 1-math.Exp(-seconds/rateOver.Seconds()))
	l.offered = 0
	if l.full {
		weight := 1 - math.Exp(-seconds/rateOver.Seconds())
		follow(&l.endedRate, l.ended/seconds, weight)
		follow(&l.ranRate, l.ran/seconds, weight)
	}
	l.ended, l.ran, l.rolled = 0, 0, d.now
	if l.limiter.roll(d.now, l.full, l.classes) {
		l.full = false
	}
	if l.queued > 0 {
		d.prune(l)
	}
}

func follow(mean *float64, v, weight float64) {
	if *mean == 0 {
		*mean = v
		return
	}
	*mean += weight * (v - *mean)
}

// renumber moves the lane to other settings: numbers of old tenants and classes to new ones. Nothing is queued.
func (l *lane) renumber(d *Controller, tenantTo, classTo []int32) {
	pairs, classes := make([]*pair, len(d.set.Tenants)), make([]classStat, len(d.set.Classes))
	for i, p := range l.pairs {
		if to := tenantTo[i]; p != nil && pairs[to] == nil {
			p.inside, p.weight = 0, d.set.Tenants[to].Weight
			pairs[to] = p
		}
	}
	for i, stat := range l.classes {
		if classTo[i] != none {
			classes[classTo[i]] = stat
		}
	}
	l.pairs, l.classes = pairs, classes
	l.limiter.retune(&d.set)
}

// ---- What is learned of a class at a lane

const (
	floorHalf  = 15 * time.Second // the floor is the least of one to two of these
	floorRise  = 1.1              // it rises by no more than this in one
	floorLeast = 4                // samples of a window whose mean may be the floor
)

// classStat is what the requests of a class take at a lane.
type classStat struct {
	asked      time.Duration // when one last came
	floor      time.Duration // what one takes in the mean with nothing else there: the least mean of a window lately
	low        time.Duration // the least since begun
	begun      time.Duration
	took       float64 // seconds, of the samples since the limiter last looked
	samples    int
	sum, count float64 // of latency over floor; each time the limiter has looked, what was before counts less
}

// sample takes in one latency.
func (s *classStat) sample(took time.Duration) {
	if s.floor > 0 { // against one that says more than all others
		took = min(took, time.Duration(ratioMost*float64(s.floor)))
	}
	s.took += took.Seconds()
	s.samples++
}

// look ends a window: it returns the latency in it as a multiple of the floor, and that of all windows lately. Single
// latencies are no floor: how long requests take differs by itself.
func (s *classStat) look(now time.Duration) (ratio, lasting float64) {
	ratio = ratioPrior
	if s.samples > 0 {
		mean := s.took / float64(s.samples)
		if s.samples >= floorLeast || s.floor == 0 {
			s.rebase(time.Duration(mean*float64(time.Second)), now)
		}
		n := float64(s.samples)
		ratio = (mean/s.floor.Seconds()*n + ratioPrior*priorWeight) / (n + priorWeight)
		s.sum += mean / s.floor.Seconds() * n
		s.count += n
	}
	lasting = (s.sum + ratioPrior*priorWeight) / (s.count + priorWeight)
	s.sum, s.count, s.took, s.samples = s.sum*ratioKeep, s.count*ratioKeep, 0, 0
	return ratio, lasting
}

// rebase moves the floor by the mean of a window.
func (s *classStat) rebase(mean, now time.Duration) {
	if s.floor == 0 {
		s.floor, s.low, s.begun = mean, mean, now
	}
	s.low = min(s.low, mean)
	s.floor = min(s.floor, mean)
	if now-s.begun >= floorHalf {
		// Against taking a crowd that lasts for the way things are.
		s.floor = min(s.low, time.Duration(floorRise*float64(s.floor)))
		s.low, s.begun = mean, now
	}
}

// cost of a request, in seconds of work: the floor, as in a crowd the rest of the latency is the others'.
func (s *classStat) cost(c *Class) float64 {
	if s.floor == 0 {
		return costGuess * c.Aim.Seconds()
	}
	return s.floor.Seconds()
}

// latency that the limiter means a request to have once it is let in. What it has just now is no measure: a class that
// were kept out while it is late would never show that it is late no more.
func (s *classStat) latency(c *Class, tolerance float64) time.Duration {
	if s.floor == 0 {
		return time.Duration(costGuess * float64(c.Aim))
	}
	return time.Duration(tolerance * float64(s.floor))
}

// TenantFigures are what operators are shown of a tenant.
type TenantFigures struct {
	Name                      string
	Queued, Admitted, Refused int64
	Inside                    int
}

// Tenants returns the figures of all tenants, the busiest first.
func (d *Controller) Tenants() []TenantFigures {
	all := make([]TenantFigures, len(d.tenants))
	for i, t := range d.tenants {
		all[i] = TenantFigures{Name: d.set.Tenants[i].Name, Queued: t.Queued, Admitted: t.Admitted, Refused: t.Refused}
		for _, l := range d.lanes {
			if p := l.pairs[i]; p != nil {
				all[i].Inside += p.inside
			}
		}
	}
	slices.SortStableFunc(all, func(a, b TenantFigures) int {
		return int(b.Admitted + b.Refused + b.Queued - a.Admitted - a.Refused - a.Queued)
	})
	return all
}

// QueueFigures are what operators are shown of a lane.
type QueueFigures struct {
	Group          int
	Primary        bool
	Limit          float64
	Inside, Queued int
}

// Queues returns the figures of all lanes, by group.
func (d *Controller) Queues() []QueueFigures {
	all := make([]QueueFigures, 0, len(d.lanes))
	for key, i := range d.laneAt {
		l := d.lanes[i]
		all = append(all, QueueFigures{key.group, key.primary, l.limiter.limit(), l.inside, l.queued})
	}
	slices.SortFunc(all, func(a, b QueueFigures) int {
		if a.Group != b.Group {
			return a.Group - b.Group
		}
		if a.Primary {
			return -1
		}
		return 1
	})
	return all
}

// Queued is how many requests wait.
func (d *Controller) Queued() int { return d.queued }
