package maintenance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two poolers take themselves for the leader, on clocks two minutes apart; they are restarted at any point between
// reading, writing and calling; poolers restart, operators pause, resume and end. No work is begun twice, under one number
// or two at once, nothing is drained while a live pooler has not stopped, and when that is over the plan ends.
func TestTwoLeaders(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 9))
		paper, now := newFakeRecord(), 1000*sec
		lives := map[string]uint64{"p": 1, "q": 1, "r": 1}
		open := map[string]uint64{} // machines at work, as who calls the hook knows
		called := map[uint64]bool{}
		type one struct {
			leader *Leader
			manner Policy
			apart  time.Duration
			record Record
			orders *Proposal
			calls  []Call // that go on
		}
		leaders := []*one{{apart: -120 * sec}, {apart: 120 * sec}}
		restart := func(i int) {
			name := []string{"p", "q"}[i]
			lives[name]++
			leaders[i].manner = testPolicy(name, lives[name])
			leaders[i].leader, leaders[i].orders, leaders[i].calls = NewLeader(leaders[i].manner), nil, nil
		}
		restart(0)
		restart(1)
		r := paper.read(t)
		o, err := Start(now, r, "plan", "ann", PlanSpec{Machines: []string{"a1", "a2", "a3"}, Fresh: 1}, healthyView(now, 4, lives).Snapshot)
		require.NoError(t, err)
		require.True(t, paper.write(r, o))
		said := map[string]PoolerStatus{}
		look := func(l *one) {
			l.record = paper.read(t)
			o := l.leader.Propose(now+l.apart, now+l.apart, l.record, healthyView(now+l.apart, 4, lives))
			l.orders = &o
		}
		write := func(l *one) {
			before := l.record.States()
			if !paper.write(l.record, *l.orders) {
				l.orders = nil
				return
			}
			after := paper.read(t)
			out := 0
			for name, s := range after.Steps {
				if s.State.Unavailable() {
					out++
				}
				if _, mine := l.orders.Steps[name]; mine && s.State == Drained && before[name] == Draining {
					for pooler, life := range lives {
						require.True(t, said[pooler].Incarnation == life && said[pooler].Stopped[name] == s.Number || l.record.Statuses[pooler].Incarnation < life,
							"seed %d: %s is free, and %s has not stopped", seed, name, pooler)
					}
				}
			}
			require.LessOrEqual(t, out, 1, "seed %d", seed)
			for _, c := range l.orders.Calls {
				require.False(t, called[c.Number], "seed %d: number %d is called twice", seed, c.Number)
				require.Zero(t, open[c.Machine], "seed %d: %s is open", seed, c.Machine)
				called[c.Number], open[c.Machine] = true, c.Number
				l.calls = append(l.calls, c)
			}
			l.orders = nil
		}
		ends := func(l *one) {
			c := l.calls[0]
			r := paper.read(t)
			if paper.write(r, l.manner.HookResult(now+l.apart, now, r, c, "")) {
				l.calls = l.calls[1:]
				delete(open, c.Machine)
			}
		}
		speak := func(name string) {
			r := paper.read(t)
			w := PoolerStatus{Incarnation: lives[name], Plan: r.Plan.ID, Stopped: map[string]uint64{}}
			for _, s := range r.PlanSteps() {
				if s.State == Draining {
					w.Stopped[s.Machine] = s.Number
				}
			}
			said[name] = w
			paper.writeStatus(name, w)
		}
		operator := func() {
			for name, s := range paper.read(t).Steps {
				caller := slices.IndexFunc(leaders, func(l *one) bool { return l.manner.Self == s.HookCaller })
				if s.State == InMaintenance && (caller < 0 || len(leaders[caller].calls) == 0 && leaders[caller].orders == nil) { // nobody will tell
					r := paper.read(t)
					o, err := Execute(now, r, EndWork, name, "ann")
					require.NoError(t, err)
					require.True(t, paper.write(r, o))
					delete(open, name)
				}
			}
		}
		step := func(faults bool) {
			now += time.Duration(random.IntN(1500)) * time.Millisecond
			i := random.IntN(2)
			switch l := leaders[i]; random.IntN(8) {
			case 0, 1, 2:
				if l.orders == nil {
					look(l)
				} else {
					write(l)
				}
			case 3:
				if len(l.calls) > 0 {
					ends(l)
				}
			case 4, 5:
				speak([]string{"p", "q", "r"}[random.IntN(3)])
			case 6:
				operator()
			case 7:
				if !faults {
					break
				}
				switch random.IntN(4) {
				case 0:
					restart(i)
				case 1:
					lives["r"]++
				default:
					r := paper.read(t)
					if o, err := Execute(now, r, []Command{Pause, Resume, Resume}[random.IntN(3)], "", "ann"); err == nil {
						paper.write(r, o)
					}
				}
			}
		}
		for range 150 {
			step(true)
		}
		if r := paper.read(t); r.Plan.State == Paused {
			o, err := Execute(now, r, Resume, "", "ann")
			require.NoError(t, err)
			require.True(t, paper.write(r, o))
		}
		for n := 0; n < 3000 && paper.read(t).Plan.Active(); n++ {
			step(false)
		}
		require.Equal(t, Finished, paper.read(t).Plan.State, "seed %d: %v", seed, paper.read(t).Steps)
	}
}
