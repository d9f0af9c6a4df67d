package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mergeObservation merges one pooler's observation of the database "db" into the view.
func mergeObservation(view *View, pooler string, observation Observation) {
	publisher := NewPublisher(pooler, 2, DefaultBounds())
	values := map[Key][]byte{{}: []byte("up"), {KindDatabase, "db"}: observation.Append(nil)}
	view.Merge(now, publisher.Publish(now, values))
}

// newSuspicionAdvisor returns the advisor of a pooler that probes suspected databases.
func newSuspicionAdvisor(name string, poolers int) *Advisor {
	return NewAdvisor(name, Uses{Suspicion: true}, DefaultAdvisorBounds(), poolers)
}

// A pooler probes a database if two peers have observed it as bad after the pooler's own last answer from it, or if one
// peer has observed it as the primary. It probes twice in succession, then twice after each pause. It does not probe a
// database that it has observed in the same state or must not probe.
func TestSuspectedDatabasesAreProbed(t *testing.T) {
	later := (now + time.Second).Milliseconds()
	bad := Observation{State: Unresponsive, Since: later}
	asPrimary := Observation{State: Healthy, Primary: true, Since: later}
	own := LocalObservation{Database: "db", State: Healthy, LastAnswer: now, MayProbe: true}
	newer, unresponsive, mayNotProbe, isPrimary := own, own, own, own
	newer.LastAnswer = now + 2*time.Second
	unresponsive.State = Unresponsive
	mayNotProbe.MayProbe = false
	isPrimary.Primary = true
	one, two, primary := viewOf(1), viewOf(1), viewOf(1)
	mergeObservation(one, "n1", bad)
	mergeObservation(two, "n1", bad)
	mergeObservation(two, "n2", bad)
	mergeObservation(primary, "n1", asPrimary)
	for _, test := range []struct {
		name  string
		uses  Uses
		view  *View
		local LocalObservation
		want  []string
	}{
		{"one peer observes it as bad", Uses{Suspicion: true}, one, own, nil},
		{"two peers observe it as bad", Uses{Suspicion: true}, two, own, []string{"db"}},
		{"the pooler's own evidence is newer", Uses{Suspicion: true}, two, newer, nil},
		{"the pooler has observed the same", Uses{Suspicion: true}, two, unresponsive, nil},
		{"the pooler must not probe it", Uses{Suspicion: true}, two, mayNotProbe, nil},
		{"the use is off", Uses{}, two, own, nil},
		{"one peer observes it as the primary", Uses{Suspicion: true}, primary, own, []string{"db"}},
		{"the pooler has observed it as the primary", Uses{Suspicion: true}, primary, isPrimary, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			advisor := NewAdvisor("n0", test.uses, DefaultAdvisorBounds(), 5)
			probe := advisor.Step(now+3*time.Second, test.view, []LocalObservation{test.local}).Probe
			if test.want == nil {
				require.Empty(t, probe)
			} else {
				require.Equal(t, test.want, probe)
			}
		})
	}

	advisor := newSuspicionAdvisor("n0", 5)
	var probedAfter []time.Duration
	for i := range 50 {
		after := time.Duration(i) * 200 * time.Millisecond
		if advisor.Step(now+after, two, []LocalObservation{own}).Probe != nil {
			probedAfter = append(probedAfter, after)
		}
	}
	want := []time.Duration{0, 200e6, 2200e6, 2400e6, 4400e6, 4600e6, 6600e6, 6800e6, 8800e6, 9000e6}
	require.Equal(t, want, probedAfter)
	require.Equal(t, []string{"db"}, advisor.Suspected())
	require.Empty(t, advisor.Step(now+20*time.Second, two, []LocalObservation{newer}).Probe)
	require.Empty(t, advisor.Suspected(), "newer evidence of the pooler itself ends the suspicion")
}

// Poolers that suspect the same database probe it in turn, even if they are many.
func TestPoolersProbeInTurn(t *testing.T) {
	const poolers = 200
	view := viewOf(poolers)
	bad := Observation{State: Unresponsive, Since: now.Milliseconds() + 1}
	mergeObservation(view, "x", bad)
	mergeObservation(view, "y", bad)
	own := []LocalObservation{{Database: "db", State: Healthy, LastAnswer: now, MayProbe: true}}
	var advisors []*Advisor
	for i := range poolers {
		advisors = append(advisors, newSuspicionAdvisor(fmt.Sprint("n", i), poolers))
	}
	probed := map[int]bool{}
	for step := range 7 {
		firstProbes := 0
		for i, advisor := range advisors {
			if advisor.Step(now+time.Duration(step)*200*time.Millisecond, view, own).Probe != nil && !probed[i] {
				probed[i] = true
				firstProbes++
			}
		}
		require.LessOrEqual(t, firstProbes, 1+poolers/5, "first probes in 200 ms of the second")
	}
	require.Len(t, probed, poolers, "all poolers have probed within the second")
}
