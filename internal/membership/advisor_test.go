package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func viewOf(live int, ends ...End) *View {
	v := NewView(DefaultBounds())
	for i := range live {
		a := NewPublisher(fmt.Sprint("n", i), 1, DefaultBounds())
		v.Merge(now, a.Publish(now, map[Key][]byte{{}: []byte("up")}))
	}
	v.Merge(now, Delta{Ends: ends})
	return v
}

func dead(names ...string) (ends []End) {
	for _, name := range names {
		ends = append(ends, End{Owner: name, Incarnation: 1, At: now})
	}
	return ends
}

// A higher number counts at once, a lower one once it has stood, and one of half or less not at all; who left is not
// missed.
func TestPoolersAreCounted(t *testing.T) {
	for _, c := range []struct {
		what     string
		settings int
		live     int
		gone     []End
		at, then int // at once, and once it has stood
	}{
		{"as in the settings", 5, 5, nil, 5, 5},
		{"more than in the settings", 5, 8, nil, 8, 8},
		{"one less, which stands", 5, 4, dead("n4"), 5, 4},
		{"the larger side of a cut", 5, 3, dead("n3", "n4"), 5, 3},
		{"the smaller side", 5, 2, dead("n2", "n3", "n4"), 5, 5},
		{"half", 4, 2, dead("n2", "n3"), 4, 4},
		{"alone", 5, 1, dead("n1", "n2", "n3", "n4"), 5, 5},
		{"half of more than in the settings", 5, 4, dead("n4", "n5", "n6", "n7"), 8, 8},
		{"they left", 2, 3, []End{{"n3", 1, now, true}, {"n4", 1, now, true}}, 3, 3},
	} {
		a := NewAdvisor("n0", Uses{Count: true}, DefaultAdvisorBounds(), c.settings)
		v := viewOf(c.live, c.gone...)
		require.Equal(t, c.at, a.Step(now, v, nil).Routers, c.what)
		a.Step(now+9*time.Second, v, nil)
		require.Equal(t, c.then, a.Step(now+10*time.Second, v, nil).Routers, c.what)
	}
	a := NewAdvisor("n0", Uses{Count: true}, DefaultAdvisorBounds(), 5)
	less, all := viewOf(4, dead("n4")...), viewOf(5)
	a.Step(now, less, nil)
	a.Step(now+9*time.Second, all, nil)
	require.Equal(t, 5, a.Step(now+10*time.Second, less, nil).Routers, "it has not stood since it came back")
	require.Zero(t, NewAdvisor("n0", Uses{}, DefaultAdvisorBounds(), 5).Step(now, less, nil).Routers, "off")
	require.Zero(t, a.Step(now, NewView(DefaultBounds()), nil).Routers, "nothing is known")
}

// Whatever the views are, with everybody in any of them or not, all together have less than twice the whole; in a
// cut, once each side has its own view, less than one and a half; and seeing the same, not more than the whole.
func TestCountBoundsUsedCapacity(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 11))
		k := 1 + random.IntN(40)
		settings := 1 + random.IntN(k) // or fewer than there are
		var all []string
		for i := range k {
			all = append(all, fmt.Sprint("n", i))
		}
		share := func(side func(i, at int) []bool) (sum float64) {
			for i, name := range all {
				a := NewAdvisor(name, Uses{Count: true}, DefaultAdvisorBounds(), settings)
				for at := range 4 {
					v := NewView(DefaultBounds())
					for j, sees := range side(i, at) {
						if j == i || sees {
							v.Merge(now, NewPublisher(all[j], 1, DefaultBounds()).Publish(now, map[Key][]byte{{}: nil}))
						} else {
							v.Merge(now, Delta{Ends: dead(all[j])})
						}
					}
					routers := a.Step(now+time.Duration(at)*11*time.Second, v, nil).Routers
					require.Positive(t, routers)
					if at == 3 {
						sum += 1 / float64(routers)
					}
				}
			}
			return sum
		}
		anyhow := func(int, int) []bool {
			sees := make([]bool, k)
			for j := range sees {
				sees[j] = random.IntN(3) > 0
			}
			return sees
		}
		require.Less(t, share(anyhow), 2.0, "seed %d, any views", seed)
		sides := anyhow(0, 0)
		cut := func(i, _ int) []bool {
			sees := make([]bool, k)
			for j := range sees {
				sees[j] = sides[i] == sides[j]
			}
			return sees
		}
		require.Less(t, share(cut), 1.5, "seed %d, a cut", seed)
		whole := func(int, int) []bool { return slices.Repeat([]bool{true}, k) }
		require.InDelta(t, 1, share(whole), 1e-9, "seed %d", seed)
	}
}

// The connections of a database are dealt out whole where all see the same, and to others for each database; never
// more than twice in any views.
func TestIdleConnectionsAreDivided(t *testing.T) {
	var local []LocalObservation
	for i := range 20 {
		local = append(local, LocalObservation{Database: fmt.Sprint("db", i)})
	}
	v := viewOf(7)
	first := map[string]int{}
	for _, s := range local {
		sum := 0
		for i := range 7 {
			a := NewAdvisor(fmt.Sprint("n", i), Uses{Connections: 24}, DefaultAdvisorBounds(), 7)
			idle := a.Step(now, v, local).IdleConnections[s.Database]
			if idle == 4 {
				first[fmt.Sprint("n", i)]++
			}
			sum += idle
		}
		require.Equal(t, 24, sum, s.Database)
	}
	require.Len(t, first, 7, "what is left over falls on all")
	alone := NewAdvisor("n0", Uses{Connections: 24}, DefaultAdvisorBounds(), 7).Step(now, viewOf(1), local)
	require.Equal(t, 3, alone.IdleConnections["db0"], "with nobody else in sight, what the settings say")
}
