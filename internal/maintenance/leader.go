package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Observation is what the leader sees now.
type Observation struct {
	Snapshot
	Incarnations map[string]uint64        // of the poolers in the fleet's view that live or went without a word, with their incarnation
	Live         []string                 // ... of them that live
	Left         map[string]uint64        // those that left by their own word
	Heard        map[string]time.Duration // last evidence of each database, on this pooler's clock
}

// Policy is how work is done here.
type Policy struct {
	Self      Instance
	Hook      bool          // does the work; otherwise a person says when it begins and ends
	HandsOver bool          // a hook lets a replica take over; otherwise a person does
	Calls     int           // of a hook that fails, or whose caller is gone, at the most
	Lease     time.Duration // at the least; poolers say their own
	Skew      time.Duration // two clocks run apart by this in a lease, at the most
	Settle    time.Duration // a machine that is back has been seen well for so long
}

// Call is one of a hook. It has the same number each time it is made for the same work.
type Call struct {
	Machine string // or the primary that hands over
	To      string // who takes over; empty: it is work
	Number  uint64
}

// Leader takes a plan through, look by look. It holds what only this pooler knows: since when it has seen what, on its own clock, as
// no other's can be compared. A new leader begins with nothing and waits anew.
type Leader struct {
	policy  Policy
	tracked map[string]stepTrack // by machine
	window  window
}

// window is the time in which machines of a plan may be taken.
type window struct {
	plan   string
	opened time.Duration // when this leader first saw the plan
	left   time.Duration // from then on, by the wall clock as it was then
}

type stepTrack struct {
	number uint64
	state  State
	at     time.Duration
	well   time.Duration // since when it has been seen well, without a break; 0: it is not
}

// NewLeader returns one that has seen nothing yet.
func NewLeader(m Policy) *Leader { return &Leader{policy: m, tracked: map[string]stepTrack{}} }

// evidence that is older is asked for.
const evidence = 2 * time.Second

// Propose decides what to do next. Wall is the Unix time, to be shown, and to find how much of the plan's time is left
// when it is first seen. No step of the wall clock changes anything else.
func (l *Leader) Propose(now, wall time.Duration, r Record, s Observation) (o Proposal) {
	me := l.policy.Self.Name
	for _, name := range slices.Sorted(maps.Keys(r.Statuses)) {
		if _, lives := s.Incarnations[name]; !lives && leftSince(r.Statuses[name].Incarnation, s.Left[name]) {
			o.Forget = append(o.Forget, name)
		}
	}
	if !r.Plan.Active() {
		clear(l.tracked)
		return o
	}
	plan := r.Plan
	l.open(now, wall, plan)
	all := fleet(r, s, o.Forget)
	c := &course{now: now, rules: l.rules(r)}
	at := map[string]State{}
	for _, step := range r.PlanSteps() {
		c.step, c.fleet = step, all
		last := l.see(now, step, s)
		c.step.Since = last.at // against another leader's clock: counted from when this one saw it
		if why, changed := l.further(c, &plan, last, r, s, &o); changed {
			o.putStep(me, wall, step.State, c.step, why)
		}
		at[step.Machine] = c.step.State
	}
	l.handOver(&plan, s, &o, wall)
	if len(o.Steps) == 0 { // one thing after the other, each on what was agreed before
		l.next(c, &plan, at, r, s, &o, wall)
	}
	if plan.State != r.Plan.State || plan.Number != r.Plan.Number || plan.HandOver != r.Plan.HandOver {
		o.Plan = &plan
	}
	for _, name := range slices.Sorted(maps.Keys(s.Heard)) {
		if now-s.Heard[name] > evidence && !at[name].Blocked() {
			o.Probe = append(o.Probe, name)
		}
	}
	return o
}

// refuted is by how much a life's incarnation may have grown since its word, in ms: others took it for gone, and it
// did not agree.
const refuted = uint64(2 * time.Minute / time.Millisecond)

// leftSince tells whether the life that said a word is the one that has left by now, given both incarnations. They
// begin with the Unix time: a word whose incarnation is far lower is that of a process which came later, after its
// machine's clock was stepped back, and which may send. One that is gone all the same is for the operators to
// forget.
func leftSince(said, left uint64) bool { return left >= said && left-said <= refuted }

// open begins to count the time that a plan leaves, once.
func (l *Leader) open(now, wall time.Duration, plan Plan) {
	if l.window.plan != plan.ID {
		l.window = window{plan: plan.ID, opened: now, left: plan.Spec.Until.Sub(time.Unix(0, int64(wall)))}
	}
}

// next takes, hands over or asks back what the planner names.
func (l *Leader) next(c *course, plan *Plan, at map[string]State, r Record, s Observation, o *Proposal, wall time.Duration) {
	me := l.policy.Self.Name
	out := slices.ContainsFunc(plan.Spec.Machines, func(name string) bool { return at[name].Unavailable() })
	switch d := Decide(plan.Spec, at, s.Snapshot); {
	case d.Complete, plan.State == Aborting && !out:
		plan.State, plan.Why, plan.HandOver = Finished, "", nil
		o.addHistory(me, wall, "", 0, "the plan is over")
	case plan.State != Running:
	case !plan.Spec.Until.IsZero() && c.now-l.window.opened > l.window.left:
		plan.State, plan.Why = Paused, "the time for it is over"
		o.addHistory(me, wall, "", 0, "%s: %s", plan.State, plan.Why)
	case d.PutBack != "":
		c.step = r.step(d.PutBack)
		if c.on(Event{Kind: PutBack}) {
			o.putStep(me, wall, at[d.PutBack], c.step, "asked back, as its group has become too small")
		}
	case plan.HandOver != nil:
	case d.HandOver[0] != "":
		plan.Number++
		plan.HandOver = &HandOver{From: d.HandOver[0], To: d.HandOver[1], Number: plan.Number}
		o.addHistory(me, wall, d.HandOver[0], plan.Number, "%s is to take over", d.HandOver[1])
	case d.Take != "" && s.Machines[d.Take].Leads:
		o.Resign = true
	case d.Take != "":
		plan.Number++
		c.step = r.step(d.Take)
		if next, err := c.step.Apply(Event{Kind: Take, Number: plan.Number}, c.now, c.fleet, c.rules); err == nil {
			next.Incarnation = s.Machines[d.Take].Incarnation
			o.putStep(me, wall, at[d.Take], next, "")
		}
	}
}

// fleet are the poolers that could send to a machine: all that have ever said something in the record and have not left, whether
// the fleet's view still knows them or not, and all that this view knows.
func fleet(r Record, s Observation, left []string) Poolers {
	f := Poolers{Incarnations: map[string]uint64{}, PlanReadBy: map[string]uint64{}}
	maps.Copy(f.Incarnations, s.Incarnations)
	for name, word := range r.Statuses {
		if slices.Contains(left, name) {
			continue
		}
		f.Incarnations[name] = max(f.Incarnations[name], word.Incarnation)
		if word.Plan == r.Plan.ID {
			f.PlanReadBy[name] = word.Incarnation
		}
	}
	return f
}

// rules are those that bind all poolers: the longest lease of any.
func (l *Leader) rules(r Record) Rules {
	lease := l.policy.Lease
	for _, word := range r.Statuses {
		lease = max(lease, time.Duration(word.LeaseMS)*time.Millisecond)
	}
	return Rules{Lease: lease, Skew: l.policy.Skew, IgnoreUnreachable: r.Plan.Spec.IgnoreUnreachable, Calls: l.policy.Calls}
}

// see keeps since when a step is as it is, and its machine is well.
func (l *Leader) see(now time.Duration, step Step, s Observation) stepTrack {
	last := l.tracked[step.Machine]
	if last.number != step.Number || last.state != step.State {
		last = stepTrack{number: step.Number, state: step.State, at: now}
	}
	m := s.Machines[step.Machine]
	if well := m != nil && m.ready() && (m.Kind == Pooler && m.Incarnation > step.Incarnation || m.Kind == Database && s.Heard[m.Name] > last.at); !well {
		last.well = 0
	} else if last.well == 0 {
		last.well = now
	}
	l.tracked[step.Machine] = last
	return last
}

// course is a step that events befall.
type course struct {
	step  Step
	now   time.Duration
	fleet Poolers
	rules Rules
}

// on lets the step take in an event of its present try, and tells whether it fitted.
func (c *course) on(e Event) bool {
	e.Number = c.step.Number
	next, err := c.step.Apply(e, c.now, c.fleet, c.rules)
	if err == nil {
		c.step = next
	}
	return err == nil
}

// further takes one step further, and tells whether anything has changed.
func (l *Leader) further(c *course, plan *Plan, last stepTrack, r Record, s Observation, o *Proposal) (why string, changed bool) {
	name := c.step.Machine
	if plan.State == Aborting && c.on(Event{Kind: Abort}) {
		return "given up by the operators", true
	}
	switch m := s.Machines[name]; c.step.State {
	case Draining:
		if m != nil && m.Kind == Pooler { // poolers do not send to it
			c.fleet = Poolers{}
		}
		for _, pooler := range slices.Sorted(maps.Keys(r.Statuses)) {
			word := r.Statuses[pooler]
			if word.Stopped[name] == c.step.Number && c.step.Stopped[pooler] < word.Incarnation && c.on(Event{Kind: PoolerStopped, Instance: Instance{pooler, word.Incarnation}}) {
				changed = true
			}
		}
		c.on(Event{Kind: Reevaluate})
		if c.step.State != Drained {
			return "", changed
		}
		if len(c.step.Unreachable) > 0 {
			why = fmt.Sprintf("without the word of %v, whose lease has run out", c.step.Unreachable)
		}
		return why, true
	case Drained:
		if !l.policy.Hook || plan.State != Running || !c.on(Event{Kind: HookStarted, Instance: l.policy.Self}) {
			return "", false
		}
	case InMaintenance: // Whoever calls the hook writes how it ended; who is gone does not.
		if !l.policy.Hook || c.step.HookCaller == (Instance{}) || alive(c.step.HookCaller, s) || !c.on(Event{Kind: HookStarted, Instance: l.policy.Self}) {
			return "", false
		}
		o.Calls = append(o.Calls, Call{Machine: name, Number: c.step.Number})
		return "", true
	case Recovering:
		return "", last.well > 0 && c.now-last.well >= l.policy.Settle && c.on(Event{Kind: Ready})
	default:
		return "", false
	}
	o.Calls = append(o.Calls, Call{Machine: name, Number: c.step.Number})
	return "", true
}

// alive tells whether a life of a pooler is not over, as far as can be seen.
func alive(l Instance, s Observation) bool {
	return s.Incarnations[l.Name] <= l.Incarnation && slices.Contains(s.Live, l.Name)
}

// handOver lets a replica take over from a primary that is next.
func (l *Leader) handOver(plan *Plan, s Observation, o *Proposal, wall time.Duration) {
	h := plan.HandOver
	if h == nil {
		return
	}
	switch to, from := s.Machines[h.To], s.Machines[h.From]; {
	case to != nil && to.Primary && (from == nil || !from.Primary):
		plan.HandOver = nil
		o.addHistory(l.policy.Self.Name, wall, h.From, h.Number, "%s has taken over", h.To)
	case plan.State == Aborting || to == nil || !to.ready():
		plan.HandOver = nil
		o.addHistory(l.policy.Self.Name, wall, h.From, h.Number, "%s does not take over", h.To)
	case l.policy.HandsOver && plan.State == Running && h.HookCalls < max(1, l.policy.Calls) && (h.HookCaller == Instance{} || !alive(h.HookCaller, s)):
		plan.HandOver = &HandOver{From: h.From, To: h.To, Number: h.Number, HookCalls: h.HookCalls + 1, HookCaller: l.policy.Self}
		o.Calls = append(o.Calls, Call{Machine: h.From, To: h.To, Number: h.Number})
	}
}
