package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model check explores all interleavings of one step with two or three poolers: they read the record, late or never,
// send to the machine while they may, report that they have stopped, crash and restart with nothing remembered; their
// reports come late, twice, or after the step was rolled back and taken again. No pooler may begin anything at a machine
// that is drained or in maintenance.

const tick = time.Second

var modelRules = Rules{Lease: 2 * tick, Skew: 0, IgnoreUnreachable: true}

type stopReport struct {
	instance Instance
	number   uint64
}

type answer struct { // of the record, on its way
	asked time.Duration
	step  Step
}

type actor struct {
	up          bool
	incarnation uint64
	follower    *Follower
	out         bool // a request is out at the machine
	blind       bool // ... which was sent in the one case that is counted
	pending     *answer
}

type worldState struct {
	now          time.Duration
	step         Step
	incarnations map[string]uint64 // as the leader knows them, which may be late
	actors       []actor
	reports      []stopReport
	called       map[uint64]int    // hooks, by number
	freed        map[string]uint64 // lives that were known when it was free
	left         budget
	trace        []string
}

// budget is what may still happen.
type budget struct{ poolers, ticks, sends, crashes, doubles, aborts, learns, lates int }

// implementation is what the poolers and the record do; planted faults change it.
type implementation struct {
	on   func(Step, Event, time.Duration, Poolers, Rules) (Step, error)
	may  func(*Follower, time.Duration) (may, blind bool)
	read func(r *Follower, asked, now time.Duration, s Step)
}

var sound = implementation{
	on: func(s Step, e Event, now time.Duration, f Poolers, r Rules) (Step, error) {
		return s.Apply(e, now, f, r)
	},
	may:  func(r *Follower, now time.Duration) (bool, bool) { return r.MaySend(now, "m", []string{"other"}) },
	read: func(r *Follower, asked, _ time.Duration, s Step) { r.Refresh(asked, revision(s), []Step{s}) },
}

// revision is of a record that holds one step: its states come in order, within a number and from one to the next.
func revision(s Step) uint64 { return s.Number*100 + uint64(s.State) }

func actorName(i int) string { return string(rune('a' + i)) }

func begin(l budget) *worldState {
	w := &worldState{now: 10 * tick, step: Step{Machine: "m"}, incarnations: map[string]uint64{}, called: map[uint64]int{}, left: l, actors: make([]actor, l.poolers)}
	for i := range w.actors {
		r := NewFollower(w.now, modelRules)
		r.Refresh(w.now, revision(w.step), []Step{w.step})
		w.actors[i] = actor{up: true, incarnation: 1, follower: r}
		w.incarnations[actorName(i)] = 1
	}
	return w
}

func (w *worldState) fleet() Poolers { // all have read the plan in their first life, and none yet in a later one
	return Poolers{Incarnations: w.incarnations, PlanReadBy: map[string]uint64{"a": 1, "b": 1, "c": 1}}
}

func (w *worldState) clone(what string, a ...any) *worldState {
	c := *w
	c.incarnations, c.called, c.reports, c.actors = maps.Clone(w.incarnations), maps.Clone(w.called), slices.Clone(w.reports), slices.Clone(w.actors)
	c.trace = append(slices.Clip(w.trace), fmt.Sprintf(what, a...))
	for i := range c.actors {
		if r := w.actors[i].follower; r != nil {
			k := *r // its maps are replaced as a whole, never changed
			c.actors[i].follower = &k
		}
	}
	return &c
}

// text tells states apart. The poolers are alike, so that states that differ in their names alone are one.
func (w *worldState) text() string {
	var each []string
	for i, a := range w.actors {
		name := actorName(i)
		var b strings.Builder
		fmt.Fprint(&b, a.up, a.incarnation, a.out, w.incarnations[name], w.freed[name], w.step.Stopped[name], slices.Contains(w.step.Unreachable, name))
		if r := a.follower; r != nil {
			fmt.Fprint(&b, " ", r.known, min(w.now-r.renewedAt, 3*tick), min(w.now-r.startedAt, 3*tick), a.blind, r.steps["m"].State, r.steps["m"].Number)
		}
		if a.pending != nil {
			fmt.Fprint(&b, " asked ", w.now-a.pending.asked, a.pending.step.State, a.pending.step.Number)
		}
		for _, x := range w.reports {
			if x.instance.Name == name {
				fmt.Fprint(&b, " said ", x.instance.Incarnation, x.number)
			}
		}
		each = append(each, b.String())
	}
	slices.Sort(each)
	return fmt.Sprint(w.step.State, w.step.Number, w.step.HookCalls, min(w.now-w.step.Since, 3*tick), w.called, w.left, each)
}

// record lets the record take in an event, and keeps those that do not fit out.
func (w *worldState) record(m implementation, e Event) *worldState {
	s, err := m.on(w.step, e, w.now, w.fleet(), modelRules)
	if err != nil {
		return nil
	}
	c := w.clone("%s %d: %v", "event", e.Kind, e.Instance)
	c.step = s
	if s.State == Drained && w.step.State != Drained {
		c.freed = maps.Clone(w.incarnations)
	}
	if e.Kind == HookStarted {
		c.called[s.Number]++
	}
	return c
}

// steps are all states that may follow.
func (w *worldState) steps(m implementation) (all []*worldState) {
	add := func(c *worldState) {
		if c != nil {
			all = append(all, c)
		}
	}
	if w.left.ticks > 0 {
		c := w.clone("a tick")
		c.left.ticks--
		c.now += tick
		add(c)
	}
	switch {
	case w.step.State == Waiting || w.step.State == RolledBack:
		add(w.record(m, Event{Kind: Take, Number: w.step.Number + 1}))
	case w.step.State == Draining && w.left.aborts > 0:
		if c := w.record(m, Event{Kind: Abort, Number: w.step.Number}); c != nil {
			c.left.aborts--
			add(c)
		}
	}
	for _, what := range []EventKind{Reevaluate, HookStarted, HookFinished} {
		if c := w.record(m, Event{Kind: what, Number: w.step.Number, OK: true}); c != nil && c.text() != w.text() {
			add(c)
		}
	}
	for i, x := range w.reports {
		c := w.record(m, Event{Kind: PoolerStopped, Number: x.number, Instance: x.instance})
		if c == nil { // it changes nothing now, and may fit no later: an older life or try
			continue
		}
		if w.left.doubles > 0 {
			d := c.clone("comes twice")
			d.left.doubles--
			add(d)
		}
		c.reports = slices.Delete(c.reports, i, i+1)
		add(c)
	}
	for i, a := range w.actors {
		name := actorName(i)
		if w.incarnations[name] != a.incarnation && w.left.learns > 0 {
			c := w.clone("it is known that %s has restarted", name)
			c.left.learns--
			c.incarnations[name] = a.incarnation
			add(c)
		}
		if !a.up {
			c := w.clone("%s restarts", name)
			c.actors[i] = actor{up: true, incarnation: a.incarnation + 1, follower: NewFollower(w.now, modelRules)}
			add(c)
			continue
		}
		if w.left.crashes > 0 {
			c := w.clone("%s crashes", name)
			c.left.crashes--
			c.actors[i] = actor{incarnation: a.incarnation}
			add(c)
		}
		if a.pending == nil {
			if r := a.follower; !r.known || r.renewedAt < w.now || r.steps["m"].State != w.step.State {
				c := w.clone("%s reads the record", name)
				m.read(c.actors[i].follower, w.now, w.now, w.step)
				add(c)
			}
			if w.left.lates > 0 {
				c := w.clone("%s asks for the record, and waits", name)
				c.left.lates--
				c.actors[i].pending = &answer{w.now, w.step}
				add(c)
			}
		} else {
			c := w.clone("%s reads it", name)
			m.read(c.actors[i].follower, a.pending.asked, w.now, a.pending.step)
			c.actors[i].pending = nil
			add(c)
		}
		if a.out {
			c := w.clone("%s has its answer", name)
			c.actors[i].out = false
			add(c)
		} else if w.left.sends > 0 {
			c := w.clone("%s sends", name)
			if may, blind := m.may(c.actors[i].follower, w.now); may {
				c.left.sends--
				c.actors[i].out, c.actors[i].blind = true, blind
				add(c)
			}
		}
		for _, number := range a.follower.Stopped(func(string) int {
			if a.out {
				return 1
			}
			return 0
		}) {
			x := stopReport{Instance{name, a.incarnation}, number}
			if !slices.Contains(w.reports, x) {
				c := w.clone("%s says that it has stopped", name)
				c.reports = append(c.reports, x)
				add(c)
			}
		}
	}
	return all
}

// wrong tells what a state breaks.
func (w *worldState) wrong(before *worldState) string {
	at := w.step.State == Drained || w.step.State == InMaintenance
	for i, a := range w.actors {
		// The one case that is counted: it began anew where nobody knew, and finds no record.
		if at && a.out && a.blind && w.freed[actorName(i)] != a.incarnation {
			continue
		}
		if at && a.out && !before.actors[i].out {
			return actorName(i) + " sends to a machine that is free"
		}
		if at && a.out && !slices.Contains(w.step.Unreachable, actorName(i)) {
			return actorName(i) + " has a request out at a machine that is free"
		}
	}
	for number, n := range w.called {
		if n > 1 {
			return fmt.Sprintf("the hook of number %d is called twice", number)
		}
	}
	return ""
}

// explore visits all states, at most so many, and returns how many there are, with the course to one that breaks a rule.
func explore(m implementation, l budget, most int) (states int, reached map[State]bool, course []string) {
	first := begin(l)
	seen, queue := map[string]bool{first.text(): true}, []*worldState{first}
	reached = map[State]bool{}
	for len(queue) > 0 && len(seen) < most {
		w := queue[0]
		queue = queue[1:]
		if w.step.State == Recovering { // what may be sent from here on is another matter
			continue
		}
		for _, c := range w.steps(m) {
			if why := c.wrong(w); why != "" {
				return len(seen), reached, append(c.trace, why)
			}
			reached[c.step.State] = true
			if text := c.text(); !seen[text] {
				seen[text] = true
				queue = append(queue, c)
			}
		}
	}
	return len(seen), reached, nil
}

var worlds = map[string]budget{
	"a pooler that is cut off": {poolers: 3, ticks: 2, sends: 1},
	"an answer that is late":   {poolers: 2, ticks: 2, sends: 1, lates: 1},
	"a crash and a restart":    {poolers: 2, ticks: 2, sends: 1, crashes: 1, learns: 1},
	"a crash among three":      {poolers: 3, ticks: 1, sends: 1, crashes: 1, learns: 1},
	"given up and tried again": {poolers: 2, ticks: 1, sends: 1, aborts: 1, doubles: 1},
	"a word that comes twice":  {poolers: 3, sends: 2, doubles: 1},
}

const statesMost = 200_000

func TestModel(t *testing.T) {
	for what, l := range worlds {
		states, reached, course := explore(sound, l, statesMost)
		require.Less(t, states, statesMost, "%s: all are explored", what)
		require.Empty(t, course, "%s:\n%s", what, strings.Join(course, "\n"))
		require.True(t, reached[Drained] && reached[InMaintenance] && reached[Recovering], "%s: the work is done in some course", what)
		t.Logf("%s: %d states", what, states)
	}
}

// Each planted fault is found in one of the worlds.
func TestModelFindsFaults(t *testing.T) {
	type fault struct {
		world string
		plant func(*implementation)
	}
	for what, f := range map[string]fault{
		"a word of an earlier life counts": {"a crash and a restart", func(m *implementation) {
			m.on = func(s Step, e Event, now time.Duration, f Poolers, r Rules) (Step, error) {
				if e.Kind == PoolerStopped {
					e.Instance.Incarnation = f.Incarnations[e.Instance.Name]
				}
				return s.Apply(e, now, f, r)
			}
		}},
		"a word of an earlier try counts": {"given up and tried again", func(m *implementation) {
			m.on = func(s Step, e Event, now time.Duration, f Poolers, r Rules) (Step, error) {
				e.Number = max(e.Number, s.Number)
				return s.Apply(e, now, f, r)
			}
		}},
		"it goes on before the lease is over": {"a pooler that is cut off", func(m *implementation) {
			m.on = func(s Step, e Event, now time.Duration, f Poolers, r Rules) (Step, error) {
				r.Lease = tick
				return s.Apply(e, now, f, r)
			}
		}},
		"the lease counts from the answer": {"an answer that is late", func(m *implementation) {
			m.read = func(r *Follower, _, now time.Duration, s Step) { r.Refresh(now, revision(s), []Step{s}) }
		}},
		"the lease does not bind": {"a pooler that is cut off", func(m *implementation) {
			m.may = func(r *Follower, now time.Duration) (bool, bool) {
				return r.MaySend(r.renewedAt, "m", []string{"other"})
			}
		}},
		"one that begins does not read first": {"a crash and a restart", func(m *implementation) {
			m.may = func(r *Follower, now time.Duration) (bool, bool) {
				may, blind := r.MaySend(now, "m", []string{"other"})
				return !r.known || may, blind
			}
		}},
		"a pooler that has not read the plan is left behind": {"a crash and a restart", func(m *implementation) {
			m.on = func(s Step, e Event, now time.Duration, f Poolers, r Rules) (Step, error) {
				f.PlanReadBy = f.Incarnations
				return s.Apply(e, now, f, r)
			}
		}},
		"the hook is called again": {"given up and tried again", func(m *implementation) {
			m.on = func(s Step, e Event, now time.Duration, f Poolers, r Rules) (Step, error) {
				r.Calls = 2
				return s.Apply(e, now, f, r)
			}
		}},
	} {
		m := sound
		f.plant(&m)
		states, _, course := explore(m, worlds[f.world], statesMost)
		require.NotEmpty(t, course, "%s, in the world: %s", what, f.world)
		t.Logf("%s: found in %q after %d states, %d steps", what, f.world, states, len(course))
	}
}
