package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const now = 1_800_000_000 * time.Second

// recount computes the digest anew from the summary.
func (v *View) recount() (sum uint64) {
	for _, digest := range v.Summary() {
		sum += digest
	}
	return sum
}

// history returns the facts and ends of several poolers over several restarts, one delta for each fact or end.
func history(random *rand.Rand) (all []Delta) {
	for i := range 4 {
		name := fmt.Sprint("n", i)
		for restart := range 3 {
			publisher := NewPublisher(name, uint64(10*restart+1), DefaultBounds())
			for published := range 6 {
				values := map[Key][]byte{}
				for _, key := range []Key{{KindPooler, ""}, {KindDatabase, "a"}, {KindDatabase, "b"}} {
					values[key] = fmt.Appendf(nil, "%d %d %d", restart, published, random.IntN(2))
				}
				for _, fact := range publisher.Publish(now+time.Duration(published)*time.Second, values).Facts {
					all = append(all, Delta{Facts: []Fact{fact}})
				}
			}
			for range random.IntN(3) { // several poolers may detect the same end
				at := now + time.Duration(random.IntN(9))*time.Second
				all = append(all, Delta{Ends: []End{{name, publisher.Incarnation(), at, random.IntN(2) == 0}}})
			}
		}
	}
	return all
}

// Views that have merged the same deltas are equal. The order and the number of merges do not matter, nor whether a
// delta arrived through another view.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		deltas := history(random)
		var views []*View
		for range 4 {
			views = append(views, mergeInRandomOrder(t, random, deltas, seed))
		}
		for _, view := range views[1:] {
			require.Equal(t, views[0].All(), view.All(), "seed %d", seed)
			require.Equal(t, views[0].Digest(), view.Digest(), "seed %d", seed)
			require.True(t, view.Missing(views[0].Summary()).Empty(), "seed %d", seed)
		}
	}
}

// mergeInRandomOrder returns a view that has merged all deltas, some of them repeatedly and some through another view.
func mergeInRandomOrder(t *testing.T, random *rand.Rand, deltas []Delta, seed uint64) *View {
	t.Helper()
	view, other := NewView(DefaultBounds()), NewView(DefaultBounds())
	for _, i := range random.Perm(len(deltas)) {
		receiver := view
		if random.IntN(3) == 0 {
			receiver = other
		}
		receiver.Merge(now, deltas[i])
		if random.IntN(4) == 0 {
			view.Merge(now, deltas[random.IntN(len(deltas))])
		}
		require.Equal(t, view.recount(), view.Digest(), "seed %d", seed)
	}
	view.Merge(now, other.All())
	require.True(t, view.Merge(now, view.All()).Empty(), "seed %d: merging a view's own entries changes nothing", seed)
	return view
}

// Missing returns the entries of exactly those owners whose entries differ from the other view's.
func TestMissingReturnsDifferingOwners(t *testing.T) {
	first, second := NewView(DefaultBounds()), NewView(DefaultBounds())
	both := NewPublisher("both", 1, DefaultBounds()).Publish(now, map[Key][]byte{{}: []byte("x")})
	first.Merge(now, both)
	second.Merge(now, both)
	first.Merge(now, NewPublisher("first", 1, DefaultBounds()).Publish(now, map[Key][]byte{{}: []byte("y")}))
	second.Merge(now, Delta{Ends: []End{{"second", 4, now, false}}})
	require.Len(t, first.Missing(second.Summary()).Facts, 1)
	require.Empty(t, first.Missing(second.Summary()).Ends)
	require.NotEqual(t, first.Digest(), second.Digest())
	first.Merge(now, second.Missing(first.Summary()))
	second.Merge(now, first.Missing(second.Summary()))
	require.Equal(t, first.Digest(), second.Digest())
	require.Equal(t, []string{"both", "first"}, second.Live())
}

// Facts of an ended pooler do not return, neither with a late message nor after the end itself has expired. Facts and
// ends of an older incarnation are rejected if a newer one is known. Facts of a restarted pooler are accepted.
func TestExpiredFactsDoNotReturn(t *testing.T) {
	bounds := DefaultBounds()
	view := NewView(bounds)
	publish := func(incarnation uint64, at time.Duration) Delta {
		return NewPublisher("n", incarnation, bounds).Publish(at, map[Key][]byte{{}: []byte("x")})
	}
	old := publish(5, now)
	view.Merge(now, old)
	require.Equal(t, []string{"n"}, view.Live())
	view.Merge(now, Delta{Ends: []End{{"n", 5, now + time.Second, false}}})
	require.Empty(t, view.Live())
	view.Merge(now+time.Second, old)
	require.Empty(t, view.Live(), "a late message")
	for at := now; at < now+3*bounds.Retention; at += bounds.Retention / 3 {
		view.Expire(at)
		view.Merge(at, old)
		require.Empty(t, view.Live(), "after %v", at-now)
	}
	require.True(t, view.All().Empty(), "the end has expired")
	require.Zero(t, view.Digest())

	view.Merge(now, publish(7, now))
	view.Merge(now, publish(6, now))
	view.Merge(now, Delta{Ends: []End{{"n", 6, now, false}}})
	incarnation, gone := view.Incarnation("n")
	require.Equal(t, uint64(7), incarnation)
	require.False(t, gone)
}

// Invalid entries are rejected and counted: entries that are stale, in the future, malformed or too large, and entries
// above the bounds on owners and facts.
func TestInvalidEntriesAreRejectedAndCounted(t *testing.T) {
	bounds := DefaultBounds()
	bounds.Owners, bounds.Facts = 2, 2
	view := NewView(bounds)
	changed := func(change func(*Fact)) Delta {
		fact := Fact{Owner: "n", Incarnation: 1, Sequence: 1, At: now}
		change(&fact)
		return Delta{Facts: []Fact{fact}}
	}
	for _, change := range []func(*Fact){
		func(fact *Fact) { fact.At = now + bounds.ClockSkew + 1 },
		func(fact *Fact) { fact.At = now - bounds.Retention - 1 },
		func(fact *Fact) { fact.Incarnation = 1 << 63 },
		func(fact *Fact) { fact.Value = make([]byte, bounds.ValueBytes+1) },
		func(fact *Fact) { fact.Owner = "" },
		func(fact *Fact) { fact.Owner = string(make([]byte, bounds.NameBytes+1)) },
		func(fact *Fact) { fact.Key = Key{KindDatabase, ""} },
		func(fact *Fact) { fact.Key = Key{KindPooler, "x"} },
		func(fact *Fact) { fact.Key = Key{9, "x"} },
	} {
		require.True(t, view.Merge(now, changed(change)).Empty())
	}
	require.True(t, view.Merge(now, Delta{Ends: []End{
		{"", 1, now, false},
		{"n", 1 << 63, now, false},
		{"n", 1, now + time.Hour, false},
		{"n", 1, 0, false},
	}}).Empty())
	require.True(t, view.All().Empty())
	for i := range 9 {
		view.Merge(now, changed(func(fact *Fact) { fact.Key = Key{KindDatabase, fmt.Sprint(i)} }))
		view.Merge(now, changed(func(fact *Fact) { fact.Owner = fmt.Sprint("n", i) }))
		view.Merge(now, Delta{Ends: []End{{fmt.Sprint("m", i), 1, now, false}}})
	}
	require.Len(t, view.Live(), 2)
	require.Len(t, view.All().Facts, 3)
	require.Equal(t, ViewCounters{Stale: 2, Future: 4, Invalid: 7, Overflow: 7 + 8 + 9}, view.Counters)
}

// BenchmarkMerge merges all facts of 300 poolers about 120 databases into a view that already contains them.
func BenchmarkMerge(b *testing.B) {
	view, bytes := fullView(300, 120), 0
	all := view.All()
	for _, fact := range all.Facts {
		bytes += len(fact.Owner) + len(fact.Key.Subject) + len(fact.Value) + 25
	}
	for b.Loop() {
		view.Merge(now, all)
	}
	b.ReportMetric(float64(bytes), "B/view")
	b.ReportMetric(float64(len(all.Facts)), "facts")
}

// fullView returns a view with facts of the given number of poolers about the given number of databases.
func fullView(poolers, databases int) *View {
	view := NewView(DefaultBounds())
	for i := range poolers {
		values := map[Key][]byte{{}: make([]byte, 64)}
		for j := range databases {
			values[Key{KindDatabase, fmt.Sprintf("s-%08x", j)}] = make([]byte, 24)
		}
		view.Merge(now, NewPublisher(fmt.Sprint("n", i), 1, DefaultBounds()).Publish(now, values))
	}
	return view
}
