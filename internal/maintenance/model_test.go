package maintenance

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxModelStates limits how many states of one scenario are explored.
const maxModelStates = 200_000

// exploration is the result of exploring a scenario.
type exploration struct {
	states         int
	reached        map[State]bool
	counterexample []string // the steps to a state that violates a rule, and the rule; empty: none found
}

// explore visits all states of a scenario, breadth first, until one violates a rule.
func explore(tested implementation, budget eventBudget) exploration {
	first := newModelState(budget)
	seen, queue := map[string]bool{first.fingerprint(): true}, []*modelState{first}
	found := exploration{reached: map[State]bool{}}
	for len(queue) > 0 && len(seen) < maxModelStates {
		before := queue[0]
		queue = queue[1:]
		if before.step.State == Recovering { // from here on requests may be sent to the machine
			continue
		}
		for _, after := range before.successors(tested) {
			if violation := after.violation(before); violation != "" {
				found.states, found.counterexample = len(seen), append(after.trace, violation)
				return found
			}
			found.reached[after.step.State] = true
			if fingerprint := after.fingerprint(); !seen[fingerprint] {
				seen[fingerprint] = true
				queue = append(queue, after)
			}
		}
	}
	found.states = len(seen)
	return found
}

// Names of the scenarios.
const (
	cutOffScenario         = "a pooler that is cut off"
	lateAnswerScenario     = "a late answer of the record"
	restartScenario        = "a crash and a restart"
	restartOfThreeScenario = "a crash among three poolers"
	abortScenario          = "rolled back and taken again"
	repeatedReportScenario = "a report that arrives twice"
)

var scenarioBudgets = map[string]eventBudget{
	cutOffScenario:         {poolers: 3, ticks: 2, sends: 1},
	lateAnswerScenario:     {poolers: 2, ticks: 2, sends: 1, lateAnswers: 1},
	restartScenario:        {poolers: 2, ticks: 2, sends: 1, crashes: 1, learnedRestarts: 1},
	restartOfThreeScenario: {poolers: 3, ticks: 1, sends: 1, crashes: 1, learnedRestarts: 1},
	abortScenario:          {poolers: 2, ticks: 1, sends: 1, aborts: 1, repeatedReports: 1},
	repeatedReportScenario: {poolers: 3, sends: 2, repeatedReports: 1},
}

// No interleaving in any scenario violates a rule, and in each scenario some interleaving completes the work.
func TestNoInterleavingViolatesARule(t *testing.T) {
	for name, budget := range scenarioBudgets {
		t.Run(name, func(t *testing.T) {
			found := explore(unmodified, budget)
			require.Less(t, found.states, maxModelStates, "all states are explored")
			require.Empty(t, found.counterexample, strings.Join(found.counterexample, "\n"))
			require.True(t, found.reached[Drained] && found.reached[InMaintenance] && found.reached[Recovering],
				"some interleaving completes the work")
			t.Logf("%d states", found.states)
		})
	}
}

// applyFunction applies an event to the step of the record.
type applyFunction func(Step, Event, time.Duration, Poolers, Rules) (Step, error)

// plantedFault is a fault of the implementation, and the scenario in which the model check has to find it. A function
// that is nil is as in the program.
type plantedFault struct {
	scenario string
	apply    applyFunction
	maySend  func(follower *Follower, now time.Duration) (may, blind bool)
	read     func(follower *Follower, requestedAt, now time.Duration, step Step)
}

var plantedFaults = map[string]plantedFault{
	"a report of an earlier incarnation counts": {
		scenario: restartScenario,
		apply: func(step Step, event Event, now time.Duration, poolers Poolers, rules Rules) (Step, error) {
			if event.Kind == PoolerStopped {
				event.Instance.Incarnation = poolers.Incarnations[event.Instance.Name]
			}
			return step.Apply(event, now, poolers, rules)
		},
	},
	"a report of an earlier attempt counts": {
		scenario: abortScenario,
		apply: func(step Step, event Event, now time.Duration, poolers Poolers, rules Rules) (Step, error) {
			event.Number = max(event.Number, step.Number)
			return step.Apply(event, now, poolers, rules)
		},
	},
	"the step does not wait for the end of the lease": {
		scenario: cutOffScenario,
		apply: func(step Step, event Event, now time.Duration, poolers Poolers, rules Rules) (Step, error) {
			rules.Lease = tick
			return step.Apply(event, now, poolers, rules)
		},
	},
	"the lease counts from the answer": {
		scenario: lateAnswerScenario,
		read: func(follower *Follower, _, now time.Duration, step Step) {
			follower.Refresh(now, revisionOf(step), []Step{step})
		},
	},
	"the lease does not bind": {
		scenario: cutOffScenario,
		maySend: func(follower *Follower, _ time.Duration) (may, blind bool) {
			return follower.MaySend(follower.renewedAt, modelMachine, otherMachines)
		},
	},
	"a pooler sends after its start before it has read the record": {
		scenario: restartScenario,
		maySend: func(follower *Follower, now time.Duration) (may, blind bool) {
			may, blind = follower.MaySend(now, modelMachine, otherMachines)
			return !follower.known || may, blind
		},
	},
	"the step does not wait for a pooler that has not read the plan": {
		scenario: restartScenario,
		apply: func(step Step, event Event, now time.Duration, poolers Poolers, rules Rules) (Step, error) {
			poolers.PlanReadBy = poolers.Incarnations
			return step.Apply(event, now, poolers, rules)
		},
	},
	"the hook is called twice": {
		scenario: abortScenario,
		apply: func(step Step, event Event, now time.Duration, poolers Poolers, rules Rules) (Step, error) {
			rules.MaxHookCalls = 2
			return step.Apply(event, now, poolers, rules)
		},
	},
}

// The model check finds each planted fault in its scenario.
func TestModelFindsPlantedFaults(t *testing.T) {
	for name, fault := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			faulty := unmodified
			if fault.apply != nil {
				faulty.apply = fault.apply
			}
			if fault.maySend != nil {
				faulty.maySend = fault.maySend
			}
			if fault.read != nil {
				faulty.read = fault.read
			}
			found := explore(faulty, scenarioBudgets[fault.scenario])
			require.NotEmpty(t, found.counterexample, "in the scenario: %s", fault.scenario)
			t.Logf("found in %q after %d states, %d steps", fault.scenario, found.states, len(found.counterexample))
		})
	}
}
