package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// says merges one pooler's word.
func says(v *View, name, database string, w Observation) {
	a := NewPublisher(name, 2, DefaultBounds())
	v.Merge(now, a.Publish(now, map[Key][]byte{{}: []byte("up"), {KindDatabase, database}: w.Append(nil)}))
}

// Two words that are newer than what this pooler has seen make it ask, twice and then rarely; one word does not, nor
// one that is older, nor does anything where it knows itself, or may not ask.
func TestSuspectedDatabasesAreProbed(t *testing.T) {
	later := (now + time.Second).Milliseconds()
	bad := Observation{State: Unresponsive, Since: later}
	own := LocalObservation{Database: "db", State: Healthy, LastAnswer: now, MayProbe: true}
	step := func(v *View, s LocalObservation) []string {
		a := NewAdvisor("n0", Uses{Suspicion: true}, DefaultAdvisorBounds(), 5)
		return a.Step(now+3*time.Second, v, []LocalObservation{s}).Probe
	}
	one, two := viewOf(1), viewOf(1)
	says(one, "n1", "db", bad)
	says(two, "n1", "db", bad)
	says(two, "n2", "db", bad)
	require.Empty(t, step(one, own))
	require.Equal(t, []string{"db"}, step(two, own))
	heard := own
	heard.LastAnswer = now + 2*time.Second
	require.Empty(t, step(two, heard), "its own evidence is newer")
	down, gone := own, own
	down.State, gone.MayProbe = Unresponsive, false
	require.Empty(t, step(two, down))
	require.Empty(t, step(two, gone))
	require.Empty(t, NewAdvisor("n0", Uses{}, DefaultAdvisorBounds(), 5).Step(now, two, []LocalObservation{own}).Probe, "off")

	leads := viewOf(1)
	says(leads, "n1", "db", Observation{State: Healthy, Primary: true, Since: later})
	require.Equal(t, []string{"db"}, step(leads, own), "one word that it leads is enough to ask")
	knows := own
	knows.Primary = true
	require.Empty(t, step(leads, knows))

	a, at := NewAdvisor("n0", Uses{Suspicion: true}, DefaultAdvisorBounds(), 5), []time.Duration{}
	for i := range 50 {
		if asked := a.Step(now+time.Duration(i)*200*time.Millisecond, two, []LocalObservation{own}).Probe; asked != nil {
			at = append(at, time.Duration(i)*200*time.Millisecond)
		}
	}
	require.Equal(t, []time.Duration{0, 200e6, 2200e6, 2400e6, 4400e6, 4600e6, 6600e6, 6800e6, 8800e6, 9000e6}, at)
	require.Equal(t, []string{"db"}, a.Suspected())
	require.Empty(t, a.Step(now+20*time.Second, two, []LocalObservation{heard}).Probe)
	require.Empty(t, a.Suspected(), "what it has seen since settles it")
}

// However many poolers doubt a database on others' word, they ask it in turn.
func TestPoolersProbeInTurn(t *testing.T) {
	const n = 200
	v := viewOf(n)
	bad := Observation{State: Unresponsive, Since: now.Milliseconds() + 1}
	says(v, "x", "db", bad)
	says(v, "y", "db", bad)
	own := []LocalObservation{{Database: "db", State: Healthy, LastAnswer: now, MayProbe: true}}
	var advisors []*Advisor
	for i := range n {
		advisors = append(advisors, NewAdvisor(fmt.Sprint("n", i), Uses{Suspicion: true}, DefaultAdvisorBounds(), n))
	}
	first := map[int]bool{}
	for at := range 7 {
		asked := 0
		for i, a := range advisors {
			if a.Step(now+time.Duration(at)*200*time.Millisecond, v, own).Probe != nil && !first[i] {
				first[i] = true
				asked++
			}
		}
		require.LessOrEqual(t, asked, 1+n/5, "in 200 ms of the second")
	}
	require.Len(t, first, n, "all have asked within the second")
}
