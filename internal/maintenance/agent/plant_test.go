package agent_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/maintenance"
	"capercove/internal/testbed"
)

// Faults that are planted in the program are seen by the databases and the hook: the check that finds nothing in the
// shipped program does find faults.
func TestPlantedFaults(t *testing.T) {
	const two = "machines = [\"db-1\", \"db-2\"]\nfresh = 1\ngo_on = true\n"
	for what, f := range map[string]struct {
		edits []testbed.Edit
		play  func(t *testing.T, r *run, h hook)
	}{
		"the lease does not bind": {
			[]testbed.Edit{{File: "internal/maintenance/follower.go", Old: "case now < f.LeaseEnd():", New: "case f.known || now < f.LeaseEnd():"}},
			func(t *testing.T, r *run, h hook) { // one is cut off, and what it does not hear of is worked on
				one := r.other(r.leader())
				r.start("n3", two)
				h.began(1)
				for _, name := range r.Names {
					if name != one {
						r.Net.Both(one, name, faults.Link{Cut: true})
					}
				}
				h.open()
				r.eventually(func() bool { c := h.calls(); return len(c) == 1 && !c[0].to.IsZero() }, "the first is over")
				h.shut()
				h.began(2)
				r.eventually(func() bool { // however few requests a busy machine lets it play
					calls := h.calls()
					c := calls[len(calls)-1]
					return slices.ContainsFunc(r.database(c.machine).Between(c.from, time.Now()), func(sql string) bool {
						return strings.Contains(sql, "'"+one+"'")
					})
				}, "the one that is cut off sends to what is worked on")
				h.open()
			},
		},
		"a restart is forgotten": {
			[]testbed.Edit{
				{File: "internal/maintenance/agent/agent.go", Old: "return core.Blocks{All: true, ", New: "return core.Blocks{"},
				{File: "internal/maintenance/agent/blocks.go", Old: "blocks := core.Blocks{All: !a.follower.Known(), ", New: "blocks := core.Blocks{"},
				{File: "internal/maintenance/follower.go", Old: "return f.known, false //", New: "return true, false //"},
			},
			func(t *testing.T, r *run, h hook) { // one that had said that it stopped comes back, and reads nothing
				r.start("n0", two)
				h.began(1)
				r.Kill("n3")
				r.Net.Partition([]string{"n3"}, []string{"n0", "n1", "n2"})
				r.Restart("n3")
				r.passes(2000)
				r.Net.Heal()
				h.open()
			},
		},
		"work can be given up": {
			[]testbed.Edit{{File: "internal/maintenance/step.go", Old: "case s.State == InMaintenance: // The machine", New: "case false: // The machine"}},
			func(t *testing.T, r *run, h hook) { // and is begun again while it still goes on
				r.start("n0", two)
				h.began(1)
				r.execute("n1", "abort")
				r.planOver("n1")
				r.eventually(func() bool { return r.state("n1", "db-1") == maintenance.RolledBack }, "it is given up")
				r.start("n0", two)
				h.began(2)
				h.open()
			},
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			h, line := newHook(t)
			r := begin(t, 20, 4, 2, line, testbed.WithProgram(testbed.Variant(t, f.edits...)))
			end := r.load()
			defer end()
			f.play(t, r, h)
			r.eventually(func() bool { c := h.calls(); return len(c) > 0 && !c[len(c)-1].to.IsZero() }, "the hook ends")
			end()
			_, why := r.broken(h.calls())
			require.NotEmpty(t, why)
			t.Log(why)
		})
	}
}

// The clocks of two poolers are two minutes ahead of and behind the others': membership rejects what they report, the
// record knows them, and the plan ends with nothing broken.
func TestClocks(t *testing.T) {
	t.Parallel()
	program := testbed.Variant(t, testbed.Edit{
		File: "internal/clock/clock.go", Old: "epoch := time.Duration(start.UnixNano())",
		New: "offset, _ := time.ParseDuration(os.Getenv(\"CLOCK_OFFSET\"))\n\tepoch := time.Duration(start.UnixNano()) + offset",
	})
	h, line := newHook(t)
	h.open()
	f := testbed.NewWorks(t, 21, 4, quick+line, warmSoon)
	r := &run{f}
	f.Start("n0", testbed.WithReplicas(2))
	f.Start("n1", testbed.WithProgram(program), testbed.WithEnv("CLOCK_OFFSET=-2m"))
	f.Start("n2")
	f.Start("n3", testbed.WithProgram(program), testbed.WithEnv("CLOCK_OFFSET=2m"))
	end := r.load()
	defer end()
	r.start("n0", "machines = [\"db-1\", \"db-2\", \"db-3\"]\nfresh = 1\n")
	h.began(1)
	first := r.leader()
	r.Kill(first) // another's clock counts from here on, be it one of the odd ones
	r.eventually(func() bool { return !h.calls()[0].to.IsZero() }, "the hook ends")
	r.Restart(first)
	if r.state("n3", "db-1") == maintenance.InMaintenance { // who called the hook could not write that it ended
		r.execute("n3", "end", "db-1")
	}
	r.planOver("n3")
	end()
	require.Zero(t, r.checkKept(h.calls()))
}
