package emulator

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/scenario"
	"capercove/internal/sim"
)

func fleet(t *testing.T, change func(*scenario.Scenario)) (*Fleet, *sim.Virtual) {
	w := scenario.Defaults()
	w.Families = []scenario.Family{{Group: 1, Members: 3, Zones: []string{"a", "b"}}}
	w.Classes = []scenario.Class{{Name: "read", Kind: "bounded", WorkMS: scenario.Range{50, 80}, AimMS: 300, DeadlineMS: 1200, MaxAgeMS: 500},
		{Name: "report", Kind: "any", WorkMS: scenario.Range{1000, 1000}, AimMS: 5000, DeadlineMS: 10000, Blocks: true},
		{Name: "write", Kind: "write", WorkMS: scenario.Range{100, 100}, AimMS: 1000, DeadlineMS: 3000}}
	if change != nil {
		change(&w)
	}
	require.NoError(t, w.Check())
	loop := sim.NewVirtual(1_700_000_000 * time.Second)
	f := New(&w, loop)
	f.Begin()
	return f, loop
}

func (f *Fleet) send(m *Member, id, class string) (j *Job, got *[]Answer) {
	got = &[]Answer{}
	c := f.World.Class(class)
	j = &Job{Request: id, Pooler: "pooler-0", Class: c, Write: c.Kind == "write", Done: func(a Answer) { *got = append(*got, a) }}
	m.Submit(j)
	return j, got
}

// A write is committed at the primary and applied at the replicas a little later, turned away elsewhere.
func TestLog(t *testing.T) {
	f, loop := fleet(t, nil)
	p, r := f.Members[0], f.Members[1]
	_, miss := f.send(r, "m", "write")
	require.Equal(t, Miss, (*miss)[0].Outcome)
	_, got := f.send(p, "w", "write")
	loop.Run(loop.Now() + 100*time.Millisecond)
	require.Equal(t, Row, (*got)[0].Outcome)
	require.Equal(t, "w from g1-0", (*got)[0].Value)
	commit := (*got)[0].Position
	loop.Run(loop.Now() + 40*time.Millisecond)
	require.Greater(t, r.Position(), commit)
	require.Less(t, r.Position(), p.Position())
}

// While a replica holds a report it applies nothing, and falls behind.
func TestBlocked(t *testing.T) {
	f, loop := fleet(t, nil)
	p, r := f.Members[0], f.Members[1]
	f.send(r, "report", "report")
	for i := range 5 {
		f.send(p, fmt.Sprint("w", i), "write")
		loop.Run(loop.Now() + 150*time.Millisecond)
	}
	require.Greater(t, loop.Now()-r.Position(), 400*time.Millisecond)
	_, read := f.send(r, "old", "read")
	loop.Run(loop.Now() + time.Second)
	require.Len(t, *read, 1)
	require.Equal(t, 1, f.Ledger.Broken)
	require.Equal(t, Stale, f.Ledger.Breaches[0].Rule)
	require.Less(t, loop.Now()-r.Position(), 100*time.Millisecond, "it has caught up")
}

// A primary that dies is given up, a replica takes over, and the old one comes back as a replica.
func TestElection(t *testing.T) {
	f, loop := fleet(t, func(w *scenario.Scenario) {
		w.Faults = []scenario.Fault{{At: 1, For: 5, Kind: "crash", Target: "primary-1"}, {At: 2, Kind: "crash", Target: "g1-0"}}
	})
	old := f.Members[0]
	loop.Run(f.Start + 1500*time.Millisecond)
	require.False(t, old.Running())
	_, lost := f.send(old, "lost", "write")
	loop.Run(f.Start + 8*time.Second)
	require.Empty(t, *lost)
	require.True(t, old.Running())
	require.False(t, old.Leads())
	leader := f.Families[0].leader
	require.NotNil(t, leader)
	_, got := f.send(leader, "w", "write")
	loop.Run(f.Start + 9*time.Second)
	require.Equal(t, Row, (*got)[0].Outcome)
	all := fmt.Sprint(f.Events)
	require.Contains(t, all, "given up")
	require.Contains(t, all, "leads group 1")
	require.Contains(t, all, "it is down already", "a fault for one that is down")
	require.Zero(t, f.Ledger.Broken)
}

// One that hangs takes requests and answers none until it goes on.
func TestHang(t *testing.T) {
	f, loop := fleet(t, func(w *scenario.Scenario) {
		w.Faults = []scenario.Fault{{At: 1, For: 0.5, Kind: "hang", Target: "g1-1"}}
	})
	r := f.Members[1]
	loop.Run(f.Start + 1100*time.Millisecond)
	_, got := f.send(r, "a", "read")
	loop.Run(f.Start + 1400*time.Millisecond)
	require.Empty(t, *got)
	loop.Run(f.Start + 2*time.Second)
	require.Len(t, *got, 1)
}

// Each planted fault of a pooler is found.
func TestLedger(t *testing.T) {
	for rule, plant := range map[Rule]func(f *Fleet, loop *sim.Virtual){
		TwiceRun: func(f *Fleet, loop *sim.Virtual) {
			f.send(f.Members[0], "w", "write")
			loop.Run(loop.Now() + time.Second)
			f.send(f.Members[0], "w", "write")
			loop.Run(loop.Now() + time.Second)
		},
		TwoCopies: func(f *Fleet, loop *sim.Virtual) {
			f.send(f.Members[1], "r", "read")
			f.send(f.Members[2], "r", "read")
		},
		Drained: func(f *Fleet, loop *sim.Virtual) {
			f.Ledger.Told(loop.Now(), "pooler-0", "g1-1", false)
			loop.Run(loop.Now() + 2100*time.Millisecond)
			f.send(f.Members[1], "r", "report")
		},
		PushedOver: func(f *Fleet, loop *sim.Virtual) {
			f.Members[1].crash()
			f.Members[1].start()
			for i := range 200 {
				f.send(f.Members[1], fmt.Sprint(i), "read")
			}
		},
		TwoAnswers: func(f *Fleet, loop *sim.Virtual) {
			f.Ledger.Answered(loop.Now(), "r", Refused, "")
			f.Ledger.Answered(loop.Now(), "r", Refused, "")
		},
		NoAnswer: func(f *Fleet, loop *sim.Virtual) {
			f.Ledger.Asked("r")
			f.Ledger.Settle(loop.Now())
		},
		WrongAnswer: func(f *Fleet, loop *sim.Virtual) {
			f.send(f.Members[1], "a", "read")
			loop.Run(loop.Now() + time.Second)
			f.Ledger.Answered(loop.Now(), "b", Served, "a from g1-1")
		},
		RefusedRan: func(f *Fleet, loop *sim.Virtual) {
			f.send(f.Members[0], "w", "write")
			loop.Run(loop.Now() + time.Second)
			f.Ledger.Answered(loop.Now(), "w", Refused, "")
		},
	} {
		f, loop := fleet(t, nil)
		plant(f, loop)
		require.Equal(t, 1, f.Ledger.Broken, rule)
		require.Equal(t, rule, f.Ledger.Breaches[0].Rule)
	}
	f, loop := fleet(t, nil)
	j, got := f.send(f.Members[0], "w", "write")
	f.Members[0].Drop(j)
	loop.Run(loop.Now() + time.Second)
	require.Empty(t, *got, "it runs unseen")
	f.send(f.Members[1], "r", "read")
	f.Members[1].crash()
	f.send(f.Members[2], "r", "read")
	require.Zero(t, f.Ledger.Broken, "what died is no copy that is out")
}

// A usurper takes writes, which are counted as lost.
func TestUsurper(t *testing.T) {
	f, loop := fleet(t, func(w *scenario.Scenario) {
		w.Faults = []scenario.Fault{{At: 1, For: 2, Kind: "usurp", Target: "g1-2"}}
	})
	loop.Run(f.Start + 1500*time.Millisecond)
	m := f.Members[2]
	require.True(t, m.Probe().Primary)
	_, got := f.send(m, "w", "write")
	loop.Run(f.Start + 2*time.Second)
	require.True(t, (*got)[0].Primary)
	require.Equal(t, int64(1), f.Ledger.Lost)
	loop.Run(f.Start + 4*time.Second)
	require.False(t, m.Probe().Primary)
}

// A zone that is cut off does not get the log, nor answers anybody outside it.
func TestCut(t *testing.T) {
	f, loop := fleet(t, func(w *scenario.Scenario) {
		w.Faults = []scenario.Fault{{At: 1, For: 2, Kind: "cut", Target: "b"}}
	})
	loop.Run(f.Start + 2500*time.Millisecond)
	r := f.Members[1] // of zone b
	require.True(t, r.Silent("a"))
	require.False(t, r.Silent("b"))
	require.Greater(t, loop.Now()-r.Position(), time.Second)
	loop.Run(f.Start + 4*time.Second)
	require.False(t, r.Silent("a"))
	require.Less(t, loop.Now()-r.Position(), 100*time.Millisecond)
}

// Scenario files with mistakes are turned down with the line and the key.
func TestBadScenario(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"rate = 1.0", "rate = -1.0"}:           "loads[0].rate",
		{`kind = "any"`, `kind = "odd"`}:        "classes[0].kind",
		{`kind = "crash"`, `kind = "odd"`}:      "faults[0].kind",
		{`target = "g1-0"`, `target = "g9-0"`}:  "faults[0].target",
		{"members = 2", "members = 0"}:          "families[0].members",
		{"seconds = 5.0", "seconds = 0.0"}:      "seconds",
		{"seconds = 5.0", "secs = 5.0"}:         "unknown key secs",
		{`class = "read"`, `class = "none"`}:    "loads[0].class",
		{"read = 0.5", "none = 0.5"}:            "expect.in_time.none",
		{"deadline_ms = 20", "deadline_ms = 1"}: "classes[0].deadline_ms",
	} {
		good := "seconds = 5.0\nwarm = 0.0\n[[families]]\ngroup = 1\nmembers = 2\n[[classes]]\nname = \"read\"\nkind = \"any\"\naim_ms = 10\ndeadline_ms = 20\n" +
			"[[loads]]\nclass = \"read\"\nrate = 1.0\n[[faults]]\nat = 1.0\nkind = \"crash\"\ntarget = \"g1-0\"\n[expect.in_time]\nread = 0.5\n"
		require.Contains(t, good, change[0])
		path := t.TempDir() + "/s.toml"
		require.NoError(t, write(path, good))
		_, err := scenario.LoadFile(path)
		require.NoError(t, err)
		require.NoError(t, write(path, strings.Replace(good, change[0], change[1], 1)))
		_, err = scenario.LoadFile(path)
		require.ErrorContains(t, err, want)
		require.ErrorContains(t, err, "s.toml:")
	}
}

func write(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }
