package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const now = 1_800_000_000 * time.Second

// recount is the digest, counted anew.
func (v *View) recount() (sum uint64) {
	for _, s := range v.Summary() {
		sum += s
	}
	return sum
}

// history is what some poolers say in the course of restarts and ends, one delta for each thing said.
func history(random *rand.Rand) (all []Delta) {
	for i := range 4 {
		name := fmt.Sprint("n", i)
		for life := range 3 {
			a := NewPublisher(name, uint64(10*life+1), DefaultBounds())
			for said := range 6 {
				values := map[Key][]byte{}
				for _, key := range []Key{{KindPooler, ""}, {KindDatabase, "a"}, {KindDatabase, "b"}} {
					values[key] = fmt.Appendf(nil, "%d %d %d", life, said, random.IntN(2))
				}
				for _, f := range a.Publish(now+time.Duration(said)*time.Second, values).Facts {
					all = append(all, Delta{Facts: []Fact{f}})
				}
			}
			for range random.IntN(3) { // by several who found it
				at := now + time.Duration(random.IntN(9))*time.Second
				all = append(all, Delta{Ends: []End{{name, a.Incarnation(), at, random.IntN(2) == 0}}})
			}
		}
	}
	return all
}

// Views that have heard the same hold the same, in whatever order, however often and through whomever they heard it.
func TestMergeLaws(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		said := history(random)
		var views []*View
		for range 4 {
			v, via := NewView(DefaultBounds()), NewView(DefaultBounds())
			for _, i := range random.Perm(len(said)) {
				to := v
				if random.IntN(3) == 0 {
					to = via
				}
				to.Merge(now, said[i])
				if random.IntN(4) == 0 {
					v.Merge(now, said[random.IntN(len(said))])
				}
				require.Equal(t, v.recount(), v.Digest(), "seed %d", seed)
			}
			v.Merge(now, via.All())
			require.True(t, v.Merge(now, v.All()).Empty(), "seed %d: nothing of one's own is news", seed)
			views = append(views, v)
		}
		for _, v := range views[1:] {
			require.Equal(t, views[0].All(), v.All(), "seed %d", seed)
			require.Equal(t, views[0].Digest(), v.Digest(), "seed %d", seed)
			require.True(t, v.Missing(views[0].Summary()).Empty(), "seed %d", seed)
		}
	}
}

// What differs in two views is what they send each other, and no more of it.
func TestMissing(t *testing.T) {
	a, b := NewView(DefaultBounds()), NewView(DefaultBounds())
	both := NewPublisher("both", 1, DefaultBounds()).Publish(now, map[Key][]byte{{}: []byte("x")})
	a.Merge(now, both)
	b.Merge(now, both)
	a.Merge(now, NewPublisher("mine", 1, DefaultBounds()).Publish(now, map[Key][]byte{{}: []byte("y")}))
	b.Merge(now, Delta{Ends: []End{{"theirs", 4, now, false}}})
	require.Len(t, a.Missing(b.Summary()).Facts, 1)
	require.Empty(t, a.Missing(b.Summary()).Ends)
	require.NotEqual(t, a.Digest(), b.Digest())
	a.Merge(now, b.Missing(a.Summary()))
	b.Merge(now, a.Missing(b.Summary()))
	require.Equal(t, a.Digest(), b.Digest())
	require.Equal(t, []string{"both", "mine"}, b.Live())
}

// Facts of the gone do not come back: not with a late message, not when the end itself has been forgotten, and an older
// incarnation is not heard beside a newer one. A restart is.
func TestExpiredFactsDoNotReturn(t *testing.T) {
	bounds := DefaultBounds()
	v := NewView(bounds)
	say := func(incarnation uint64, at time.Duration) Delta {
		return NewPublisher("n", incarnation, bounds).Publish(at, map[Key][]byte{{}: []byte("x")})
	}
	old := say(5, now)
	v.Merge(now, old)
	require.Equal(t, []string{"n"}, v.Live())
	v.Merge(now, Delta{Ends: []End{{"n", 5, now + time.Second, false}}})
	require.Empty(t, v.Live())
	v.Merge(now+time.Second, old)
	require.Empty(t, v.Live(), "a late message")
	for at := now; at < now+3*bounds.Retention; at += bounds.Retention / 3 {
		v.Expire(at)
		v.Merge(at, old)
		require.Empty(t, v.Live(), "after %v", at-now)
	}
	require.True(t, v.All().Empty(), "the end is forgotten")
	require.Zero(t, v.Digest())

	v.Merge(now, say(7, now))
	v.Merge(now, say(6, now))
	v.Merge(now, Delta{Ends: []End{{"n", 6, now, false}}})
	incarnation, gone := v.Incarnation("n")
	require.Equal(t, uint64(7), incarnation)
	require.False(t, gone)
}

// What is wrong is turned down and counted: of the future, too long, too many, without a name.
func TestInvalidEntriesAreRejectedAndCounted(t *testing.T) {
	bounds := DefaultBounds()
	bounds.Owners, bounds.Facts = 2, 2
	v := NewView(bounds)
	fact := func(change func(*Fact)) Delta {
		f := Fact{Owner: "n", Incarnation: 1, Sequence: 1, At: now}
		change(&f)
		return Delta{Facts: []Fact{f}}
	}
	for _, wrong := range []func(*Fact){
		func(f *Fact) { f.At = now + bounds.ClockSkew + 1 },
		func(f *Fact) { f.At = now - bounds.Retention - 1 },
		func(f *Fact) { f.Incarnation = 1 << 63 },
		func(f *Fact) { f.Value = make([]byte, bounds.ValueBytes+1) },
		func(f *Fact) { f.Owner = "" },
		func(f *Fact) { f.Owner = string(make([]byte, bounds.NameBytes+1)) },
		func(f *Fact) { f.Key = Key{KindDatabase, ""} },
		func(f *Fact) { f.Key = Key{KindPooler, "x"} },
		func(f *Fact) { f.Key = Key{9, "x"} },
	} {
		require.True(t, v.Merge(now, fact(wrong)).Empty())
	}
	require.True(t, v.Merge(now, Delta{Ends: []End{
		{"", 1, now, false},
		{"n", 1 << 63, now, false},
		{"n", 1, now + time.Hour, false},
		{"n", 1, 0, false},
	}}).Empty())
	require.True(t, v.All().Empty())
	for i := range 9 {
		v.Merge(now, fact(func(f *Fact) { f.Key = Key{KindDatabase, fmt.Sprint(i)} }))
		v.Merge(now, fact(func(f *Fact) { f.Owner = fmt.Sprint("n", i) }))
		v.Merge(now, Delta{Ends: []End{{fmt.Sprint("m", i), 1, now, false}}})
	}
	require.Len(t, v.Live(), 2)
	require.Len(t, v.All().Facts, 3)
	require.Equal(t, ViewCounters{Stale: 2, Future: 4, Invalid: 7, Overflow: 7 + 8 + 9}, v.Counters)
}

// BenchmarkMerge merges the whole of what 300 poolers say of 120 databases into a view that holds it.
func BenchmarkMerge(b *testing.B) {
	v, bytes := full(300, 120), 0
	all := v.All()
	for _, f := range all.Facts {
		bytes += len(f.Owner) + len(f.Key.Subject) + len(f.Value) + 25
	}
	for b.Loop() {
		v.Merge(now, all)
	}
	b.ReportMetric(float64(bytes), "B/view")
	b.ReportMetric(float64(len(all.Facts)), "facts")
}

func full(poolers, databases int) *View {
	v := NewView(DefaultBounds())
	for i := range poolers {
		values := map[Key][]byte{{}: make([]byte, 64)}
		for j := range databases {
			values[Key{KindDatabase, fmt.Sprintf("s-%08x", j)}] = make([]byte, 24)
		}
		v.Merge(now, NewPublisher(fmt.Sprint("n", i), 1, DefaultBounds()).Publish(now, values))
	}
	return v
}
