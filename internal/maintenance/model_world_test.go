package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// The model check explores all interleavings of one step with two or three poolers. The poolers read the record, late
// or never. They send to the machine while they may, and report that they have stopped. They crash and restart without
// memory. Their reports arrive late, twice, or after the step was rolled back and taken again. No pooler may send a
// request to a machine that is drained or in maintenance.

// tick is the unit of the model's time.
const tick = time.Second

// modelMachine is the machine of the step.
const modelMachine = "m"

// otherMachines are the machines of its group that could serve instead.
var otherMachines = []string{"other"}

var modelRules = Rules{Lease: 2 * tick, Skew: 0, IgnoreUnreachable: true}

// stopReport is a pooler's report that it has stopped.
type stopReport struct {
	instance Instance
	number   uint64
}

// pendingRead is an answer of the record that has not arrived yet.
type pendingRead struct {
	requestedAt time.Duration
	step        Step
}

// modelPooler is a pooler of the model.
type modelPooler struct {
	up          bool
	incarnation uint64
	follower    *Follower
	inFlight    bool // a request is in flight to the machine
	blind       bool // that request was sent in the blind case of MaySend
	pending     *pendingRead
}

// eventBudget is the number of poolers, and how often each event may still happen.
type eventBudget struct {
	poolers         int
	ticks           int
	sends           int
	crashes         int
	repeatedReports int
	aborts          int
	learnedRestarts int // the leader learns of a restart
	lateAnswers     int
}

// modelState is one state of the model.
type modelState struct {
	now          time.Duration
	step         Step
	incarnations map[string]uint64 // as the leader knows them, which may be outdated
	poolers      []modelPooler
	reports      []stopReport
	hookCalls    map[uint64]int    // by number
	knownAtDrain map[string]uint64 // incarnations that the leader knew when the machine was drained
	budget       eventBudget
	trace        []string // how the state was reached
}

// implementation has the functions under test of the poolers and the record. A planted fault replaces some of them.
type implementation struct {
	apply   applyFunction
	maySend func(follower *Follower, now time.Duration) (may, blind bool)
	read    func(follower *Follower, requestedAt, now time.Duration, step Step)
}

// unmodified is the implementation of the program, without a planted fault.
var unmodified = implementation{
	apply: Step.Apply,
	maySend: func(follower *Follower, now time.Duration) (may, blind bool) {
		return follower.MaySend(now, modelMachine, otherMachines)
	},
	read: func(follower *Follower, requestedAt, _ time.Duration, step Step) {
		follower.Refresh(requestedAt, revisionOf(step), []Step{step})
	},
}

// revisionOf returns the revision of a record with one step. It grows with each state of an attempt, and with each
// attempt.
func revisionOf(step Step) uint64 { return step.Number*100 + uint64(step.State) }

func modelPoolerName(i int) string { return string(rune('a' + i)) }

func newModelState(budget eventBudget) *modelState {
	first := &modelState{
		now:          10 * tick,
		step:         Step{Machine: modelMachine},
		incarnations: map[string]uint64{},
		hookCalls:    map[uint64]int{},
		budget:       budget,
		poolers:      make([]modelPooler, budget.poolers),
	}
	for i := range first.poolers {
		follower := NewFollower(first.now, modelRules)
		follower.Refresh(first.now, revisionOf(first.step), []Step{first.step})
		first.poolers[i] = modelPooler{up: true, incarnation: 1, follower: follower}
		first.incarnations[modelPoolerName(i)] = 1
	}
	return first
}

// knownPoolers returns the poolers as the leader knows them. All have read the plan in their first incarnation, and
// none in a later one.
func (m *modelState) knownPoolers() Poolers {
	return Poolers{Incarnations: m.incarnations, PlanReadBy: map[string]uint64{"a": 1, "b": 1, "c": 1}}
}

// clone returns a copy of the state. The text describes the event that changes the copy, and is added to its trace.
func (m *modelState) clone(format string, values ...any) *modelState {
	copied := *m
	copied.incarnations = maps.Clone(m.incarnations)
	copied.hookCalls = maps.Clone(m.hookCalls)
	copied.reports = slices.Clone(m.reports)
	copied.poolers = slices.Clone(m.poolers)
	copied.trace = append(slices.Clip(m.trace), fmt.Sprintf(format, values...))
	for i := range copied.poolers {
		if follower := m.poolers[i].follower; follower != nil {
			value := *follower // shares the maps, which a follower replaces and never changes
			copied.poolers[i].follower = &value
		}
	}
	return &copied
}

// fingerprint identifies a state. Poolers are interchangeable: states that differ only in their names are equal.
func (m *modelState) fingerprint() string {
	var poolers []string
	for i := range m.poolers {
		poolers = append(poolers, m.poolerFingerprint(i))
	}
	slices.Sort(poolers)
	sinceState := min(m.now-m.step.Since, 3*tick)
	return fmt.Sprint(m.step.State, m.step.Number, m.step.HookCalls, sinceState, m.hookCalls, m.budget, poolers)
}

// poolerFingerprint returns the part of one pooler in the fingerprint.
func (m *modelState) poolerFingerprint(i int) string {
	pooler, name := m.poolers[i], modelPoolerName(i)
	var text strings.Builder
	fmt.Fprint(&text, pooler.up, pooler.incarnation, pooler.inFlight, m.incarnations[name], m.knownAtDrain[name],
		m.step.Stopped[name], slices.Contains(m.step.Unreachable, name))
	if follower := pooler.follower; follower != nil {
		known := follower.steps[modelMachine]
		fmt.Fprint(&text, " ", follower.known, min(m.now-follower.renewedAt, 3*tick),
			min(m.now-follower.startedAt, 3*tick), pooler.blind, known.State, known.Number)
	}
	if pending := pooler.pending; pending != nil {
		fmt.Fprint(&text, " requested ", m.now-pending.requestedAt, pending.step.State, pending.step.Number)
	}
	for _, report := range m.reports {
		if report.instance.Name == name {
			fmt.Fprint(&text, " reported ", report.instance.Incarnation, report.number)
		}
	}
	return text.String()
}

// applyEvent returns the state after an event was applied to the record, or nil if the event does not fit.
func (m *modelState) applyEvent(tested implementation, event Event) *modelState {
	step, err := tested.apply(m.step, event, m.now, m.knownPoolers(), modelRules)
	if err != nil {
		return nil
	}
	next := m.clone("event %v: %v", event.Kind, event.Instance)
	next.step = step
	if step.State == Drained && m.step.State != Drained {
		next.knownAtDrain = maps.Clone(m.incarnations)
	}
	if event.Kind == HookStarted {
		next.hookCalls[step.Number]++
	}
	return next
}

// successors returns all states that can follow.
func (m *modelState) successors(tested implementation) []*modelState {
	next := m.leaderSuccessors(tested)
	next = append(next, m.reportSuccessors(tested)...)
	for i := range m.poolers {
		next = append(next, m.poolerSuccessors(tested, i)...)
	}
	return next
}

// leaderSuccessors returns the successors in which time passes or the leader acts.
func (m *modelState) leaderSuccessors(tested implementation) []*modelState {
	var next []*modelState
	if m.budget.ticks > 0 {
		later := m.clone("a tick")
		later.budget.ticks--
		later.now += tick
		next = append(next, later)
	}
	switch {
	case m.step.State == Waiting || m.step.State == RolledBack:
		if taken := m.applyEvent(tested, Event{Kind: Take, Number: m.step.Number + 1}); taken != nil {
			next = append(next, taken)
		}
	case m.step.State == Draining && m.budget.aborts > 0:
		if aborted := m.applyEvent(tested, Event{Kind: Abort, Number: m.step.Number}); aborted != nil {
			aborted.budget.aborts--
			next = append(next, aborted)
		}
	}
	for _, kind := range []EventKind{Reevaluate, HookStarted, HookFinished} {
		changed := m.applyEvent(tested, Event{Kind: kind, Number: m.step.Number, OK: true})
		if changed != nil && changed.fingerprint() != m.fingerprint() {
			next = append(next, changed)
		}
	}
	return next
}

// reportSuccessors returns the successors in which a report arrives, once or twice. A report that does not fit now is
// of an earlier incarnation or attempt, and cannot fit later.
func (m *modelState) reportSuccessors(tested implementation) []*modelState {
	var next []*modelState
	for i, report := range m.reports {
		event := Event{Kind: PoolerStopped, Number: report.number, Instance: report.instance}
		taken := m.applyEvent(tested, event)
		if taken == nil {
			continue
		}
		if m.budget.repeatedReports > 0 {
			repeated := taken.clone("the report arrives twice")
			repeated.budget.repeatedReports--
			next = append(next, repeated)
		}
		taken.reports = slices.Delete(taken.reports, i, i+1)
		next = append(next, taken)
	}
	return next
}

// poolerSuccessors returns the successors in which one pooler acts, crashes or restarts.
func (m *modelState) poolerSuccessors(tested implementation, i int) []*modelState {
	var next []*modelState
	pooler, name := m.poolers[i], modelPoolerName(i)
	if m.incarnations[name] != pooler.incarnation && m.budget.learnedRestarts > 0 {
		learned := m.clone("the leader learns that %s has restarted", name)
		learned.budget.learnedRestarts--
		learned.incarnations[name] = pooler.incarnation
		next = append(next, learned)
	}
	if !pooler.up {
		restarted := m.clone("%s restarts", name)
		restarted.poolers[i] = modelPooler{
			up:          true,
			incarnation: pooler.incarnation + 1,
			follower:    NewFollower(m.now, modelRules),
		}
		return append(next, restarted)
	}
	if m.budget.crashes > 0 {
		crashed := m.clone("%s crashes", name)
		crashed.budget.crashes--
		crashed.poolers[i] = modelPooler{incarnation: pooler.incarnation}
		next = append(next, crashed)
	}
	next = append(next, m.readSuccessors(tested, i)...)
	next = append(next, m.sendSuccessors(tested, i)...)
	return append(next, m.stopSuccessors(i)...)
}

// readSuccessors returns the successors in which a pooler reads the record, at once or late.
func (m *modelState) readSuccessors(tested implementation, i int) []*modelState {
	var next []*modelState
	pooler, name := m.poolers[i], modelPoolerName(i)
	if pooler.pending != nil {
		answered := m.clone("%s gets the late answer", name)
		tested.read(answered.poolers[i].follower, pooler.pending.requestedAt, m.now, pooler.pending.step)
		answered.poolers[i].pending = nil
		return append(next, answered)
	}
	follower := pooler.follower
	if !follower.known || follower.renewedAt < m.now || follower.steps[modelMachine].State != m.step.State {
		read := m.clone("%s reads the record", name)
		tested.read(read.poolers[i].follower, m.now, m.now, m.step)
		next = append(next, read)
	}
	if m.budget.lateAnswers > 0 {
		waiting := m.clone("%s reads the record, and waits for the answer", name)
		waiting.budget.lateAnswers--
		waiting.poolers[i].pending = &pendingRead{requestedAt: m.now, step: m.step}
		next = append(next, waiting)
	}
	return next
}

// sendSuccessors returns the successors in which a pooler sends to the machine or gets its answer.
func (m *modelState) sendSuccessors(tested implementation, i int) []*modelState {
	name := modelPoolerName(i)
	if m.poolers[i].inFlight {
		answered := m.clone("%s gets the answer of the machine", name)
		answered.poolers[i].inFlight = false
		return []*modelState{answered}
	}
	if m.budget.sends == 0 {
		return nil
	}
	sent := m.clone("%s sends", name)
	may, blind := tested.maySend(sent.poolers[i].follower, m.now)
	if !may {
		return nil
	}
	sent.budget.sends--
	sent.poolers[i].inFlight, sent.poolers[i].blind = true, blind
	return []*modelState{sent}
}

// stopSuccessors returns the successors in which a pooler reports that it has stopped.
func (m *modelState) stopSuccessors(i int) []*modelState {
	var next []*modelState
	pooler, name := m.poolers[i], modelPoolerName(i)
	inFlight := 0
	if pooler.inFlight {
		inFlight = 1
	}
	for _, number := range pooler.follower.Stopped(func(string) int { return inFlight }) {
		report := stopReport{instance: Instance{Name: name, Incarnation: pooler.incarnation}, number: number}
		if !slices.Contains(m.reports, report) {
			reported := m.clone("%s reports that it has stopped", name)
			reported.reports = append(reported.reports, report)
			next = append(next, reported)
		}
	}
	return next
}

// violation names the rule that a state violates, given the state before; empty: none.
func (m *modelState) violation(before *modelState) string {
	outOfService := m.step.State == Drained || m.step.State == InMaintenance
	for i, pooler := range m.poolers {
		name := modelPoolerName(i)
		// The blind case is allowed if the pooler has restarted, the leader did not know that when the machine was
		// drained, and the pooler has not read the record since.
		allowedAsBlind := pooler.blind && m.knownAtDrain[name] != pooler.incarnation
		switch {
		case !outOfService || !pooler.inFlight || allowedAsBlind:
		case !before.poolers[i].inFlight:
			return name + " sends to a machine that is drained"
		case !slices.Contains(m.step.Unreachable, name):
			return name + " has a request in flight at a machine that is drained"
		}
	}
	for number, calls := range m.hookCalls {
		if calls > 1 {
			return fmt.Sprintf("the hook of number %d is called twice", number)
		}
	}
	return ""
}
