package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// viewOf returns a view with this number of live poolers, named n0, n1 and so on, and with the ends.
func viewOf(live int, ends ...End) *View {
	view := NewView(DefaultBounds())
	for i := range live {
		publisher := NewPublisher(fmt.Sprint("n", i), 1, DefaultBounds())
		view.Merge(now, publisher.Publish(now, map[Key][]byte{{}: []byte("up")}))
	}
	view.Merge(now, Delta{Ends: ends})
	return view
}

// failed returns the detected ends of poolers that have failed.
func failed(names ...string) (ends []End) {
	for _, name := range names {
		ends = append(ends, End{Owner: name, Incarnation: 1, At: now})
	}
	return ends
}

// A higher count of poolers is used at once. A lower count is used after it has been stable, and never if it is half of
// the known poolers or less. Poolers that have left are not counted.
func TestLowerPoolerCountMustBeStable(t *testing.T) {
	newAdvisor := func(settings int) *Advisor {
		return NewAdvisor("n0", Uses{Count: true}, DefaultAdvisorBounds(), settings)
	}
	left := []End{{"n3", 1, now, true}, {"n4", 1, now, true}}
	for _, test := range []struct {
		name     string
		settings int
		live     int
		ends     []End
		atOnce   int
		stable   int // after the count has been stable
	}{
		{"equal to the settings", 5, 5, nil, 5, 5},
		{"more than in the settings", 5, 8, nil, 8, 8},
		{"one fewer", 5, 4, failed("n4"), 5, 4},
		{"the larger side of a partition", 5, 3, failed("n3", "n4"), 5, 3},
		{"the smaller side of a partition", 5, 2, failed("n2", "n3", "n4"), 5, 5},
		{"half", 4, 2, failed("n2", "n3"), 4, 4},
		{"the only live pooler", 5, 1, failed("n1", "n2", "n3", "n4"), 5, 5},
		{"half of a number above the settings", 5, 4, failed("n4", "n5", "n6", "n7"), 8, 8},
		{"two poolers have left", 2, 3, left, 3, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			advisor, view := newAdvisor(test.settings), viewOf(test.live, test.ends...)
			require.Equal(t, test.atOnce, advisor.Step(now, view, nil).Poolers)
			advisor.Step(now+9*time.Second, view, nil)
			require.Equal(t, test.stable, advisor.Step(now+10*time.Second, view, nil).Poolers)
		})
	}
	advisor, four, five := newAdvisor(5), viewOf(4, failed("n4")...), viewOf(5)
	advisor.Step(now, four, nil)
	advisor.Step(now+9*time.Second, five, nil)
	require.Equal(t, 5, advisor.Step(now+10*time.Second, four, nil).Poolers, "the lower count was not stable")
	off := NewAdvisor("n0", Uses{}, DefaultAdvisorBounds(), 5)
	require.Zero(t, off.Step(now, four, nil).Poolers, "the use is off")
	require.Zero(t, advisor.Step(now, NewView(DefaultBounds()), nil).Poolers, "an empty view")
}

// visibility returns for each pooler, by index, whether the given pooler sees it as live in a step.
type visibility func(pooler, step int) []bool

// usedCapacity returns the share of the capacity that all poolers use together, after some steps with the views
// that sees describes.
func usedCapacity(t *testing.T, names []string, settings int, sees visibility) (sum float64) {
	t.Helper()
	const steps, interval = 4, 11 * time.Second
	for i, name := range names {
		advisor := NewAdvisor(name, Uses{Count: true}, DefaultAdvisorBounds(), settings)
		routers := 0
		for step := range steps {
			view := viewWith(names, i, sees(i, step))
			routers = advisor.Step(now+time.Duration(step)*interval, view, nil).Poolers
			require.Positive(t, routers)
		}
		sum += 1 / float64(routers)
	}
	return sum
}

// viewWith returns a pooler's view in which the pooler itself and those that it sees are live, and all others have
// failed.
func viewWith(names []string, own int, sees []bool) *View {
	view := NewView(DefaultBounds())
	for i, live := range sees {
		if i == own || live {
			view.Merge(now, NewPublisher(names[i], 1, DefaultBounds()).Publish(now, map[Key][]byte{{}: nil}))
		} else {
			view.Merge(now, Delta{Ends: failed(names[i])})
		}
	}
	return view
}

// With any views, all poolers together use less than twice the capacity. In a network partition, when the views on each
// side are equal, they use less than one and a half times the capacity. With equal views they use exactly all of it.
func TestCountBoundsUsedCapacity(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 11))
		poolers := 1 + random.IntN(40)
		settings := 1 + random.IntN(poolers) // may be below the number of poolers
		var names []string
		for i := range poolers {
			names = append(names, fmt.Sprint("n", i))
		}
		anyViews := func(int, int) []bool {
			sees := make([]bool, poolers)
			for i := range sees {
				sees[i] = random.IntN(3) > 0
			}
			return sees
		}
		require.Less(t, usedCapacity(t, names, settings, anyViews), 2.0, "seed %d, any views", seed)
		sides := anyViews(0, 0)
		partition := func(pooler, _ int) []bool {
			sees := make([]bool, poolers)
			for i := range sees {
				sees[i] = sides[pooler] == sides[i]
			}
			return sees
		}
		require.Less(t, usedCapacity(t, names, settings, partition), 1.5, "seed %d, a partition", seed)
		equalViews := func(int, int) []bool { return slices.Repeat([]bool{true}, poolers) }
		require.InDelta(t, 1, usedCapacity(t, names, settings, equalViews), 1e-9, "seed %d", seed)
	}
}

// With equal views the connections of each database are divided completely, and the poolers that receive the remainder
// differ between databases. A pooler that sees no other pooler divides by the configured number.
func TestIdleConnectionsAreDivided(t *testing.T) {
	newAdvisor := func(name string) *Advisor {
		return NewAdvisor(name, Uses{Connections: 24}, DefaultAdvisorBounds(), 7)
	}
	var local []LocalObservation
	for i := range 20 {
		local = append(local, LocalObservation{Database: fmt.Sprint("db", i)})
	}
	view := viewOf(7)
	withRemainder := map[string]int{}
	for _, observation := range local {
		sum := 0
		for i := range 7 {
			name := fmt.Sprint("n", i)
			idle := newAdvisor(name).Step(now, view, local).IdleConnections[observation.Database]
			if idle == 4 {
				withRemainder[name]++
			}
			sum += idle
		}
		require.Equal(t, 24, sum, observation.Database)
	}
	require.Len(t, withRemainder, 7, "the remainders are spread over all poolers")
	alone := newAdvisor("n0").Step(now, viewOf(1), local)
	require.Equal(t, 3, alone.IdleConnections["db0"], "the only live pooler divides by the configured number")
}
