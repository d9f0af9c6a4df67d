package agent_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/maintenance"
	"capercove/internal/maintenance/agent"
	"capercove/internal/testbed"
)

// quick are times for processes on one machine.
const quick = "lease_ms = 1500\nskew_ms = 100\nsettle_ms = 300\n"

// settings are those of the testbed, with databases that are warm soon, and reports that may take long.
var settings = strings.NewReplacer(`"coldMs":18000`, `"coldMs":400`, `"deadlineMs":10000`, `"deadlineMs":120000`).Replace(testbed.Settings)

// holds is how long a report may be held.
const holds = 100 * time.Second

func warmSoon(b *testbed.Bed) { b.Settings = settings }

// run is a fleet with a plan.
type run struct {
	*testbed.Fleet
}

func begin(t *testing.T, seed uint64, n, replicas int, more string, options ...testbed.Option) *run {
	f := testbed.NewWorks(t, seed, n, quick+more, append(options, warmSoon)...)
	f.Start(f.Names[0], testbed.WithReplicas(replicas))
	for _, name := range f.Names[1:] {
		f.Start(name)
	}
	f.Settled("the start", f.Names...)
	return &run{f}
}

// works runs a command at a pooler.
func (r *run) works(at string, args ...string) (out string, status int) {
	out, status = r.Command(append(append([]string{"works"}, args...), r.Beds[at].Management)...)
	r.Net.Note("works %s at %s: %d %s", strings.Join(args, " "), at, status, strings.TrimSpace(out))
	return out, status
}

// specFile writes a file with a plan's specification.
func (r *run) specFile(text string) string {
	path := filepath.Join(r.T.TempDir(), "wish.toml")
	require.NoError(r.T, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start hands in a plan at a pooler.
func (r *run) start(at, spec string) {
	r.T.Helper()
	path := r.specFile(spec)
	require.Eventually(r.T, func() bool {
		_, status := r.works(at, "start", path)
		return status == 0
	}, testbed.FleetPatience, testbed.Turn, "the plan is taken")
}

// status is the plan as a majority holds it.
func (r *run) status(at string) (s agent.Status) {
	out, _ := r.Command("works", "status", "--json", r.Beds[at].Management)
	json.Unmarshal([]byte(out), &s) // nothing of it, where the pooler does not answer
	return s
}

func (r *run) state(at, machine string) maintenance.State {
	for _, s := range r.status(at).Steps {
		if s.Machine == machine {
			return s.State
		}
	}
	return maintenance.Waiting
}

// reaches waits until a machine has come to a state.
func (r *run) reaches(at, machine string, state maintenance.State) {
	r.T.Helper()
	require.Eventually(r.T, func() bool { return r.state(at, machine) == state }, testbed.FleetPatience, testbed.Turn, "%s is %s", machine, state)
	r.Net.Note("%s is %s", machine, state)
}

// drained waits until a machine is drained, and returns it: which one is next depends on what is observed of each then.
func (r *run) drained(at string) (name string) {
	r.T.Helper()
	require.Eventually(r.T, func() bool {
		for _, s := range r.status(at).Steps {
			if s.State == maintenance.Drained {
				name = s.Machine
			}
		}
		return name != ""
	}, testbed.FleetPatience, testbed.Turn, "a machine is free")
	r.Net.Note("%s is free", name)
	return name
}

// planOver waits until the plan is over.
func (r *run) planOver(at string) {
	r.T.Helper()
	require.Eventually(r.T, func() bool {
		s := r.status(at)
		return s.Agreed && s.Plan.State == maintenance.Finished
	}, testbed.FleetPatience, testbed.Turn, "the plan ends")
}

// execute is a command that must go well, once the record has a leader.
func (r *run) execute(at string, args ...string) {
	r.T.Helper()
	var out string
	var status int
	require.Eventually(r.T, func() bool {
		out, status = r.works(at, args...)
		return status == 0 || !strings.Contains(out, "no majority")
	}, testbed.FleetPatience, testbed.Turn, "the record has a leader")
	require.Zero(r.T, status, out)
}

// One replica after the other is taken out by hand, then the primary, once another has taken over. All poolers serve throughout,
// and none sends anything to a machine between "free" and "end".
func TestByHand(t *testing.T) {
	t.Parallel()
	r := begin(t, 1, 3, 1, "")
	first := r.Beds["n0"]
	out, status := r.works("n1", "status")
	require.Zero(t, status, out)
	require.Contains(t, out, "no plan")
	wish := "machines = [\"db-0\", \"db-1\", \"db-2\"]\nfresh = 1\n"
	r.start("n1", wish)
	out, status = r.works("n2", "start", r.specFile(wish))
	require.Equal(t, 1, status)
	require.Contains(t, out, "abort it first")
	for done := range 3 {
		if done == 2 { // the primary goes last
			require.Eventually(t, func() bool { return r.status("n0").Plan.HandOver != nil }, testbed.FleetPatience, testbed.Turn, "a hand-over is asked for")
			first.Databases[0].Lead(false)
			r.database(r.status("n0").Plan.HandOver.To).Lead(true)
		}
		name := r.drained("n0")
		require.Equal(t, done == 2, name == "db-0")
		db := r.database(name)
		before := len(db.Got())
		for range 5 {
			r.Serve("while "+name+" is free", r.Names...)
		}
		require.Len(t, db.Got(), before, "%s got something while it was free", name)
		r.execute("n2", "end", name)
		r.reaches("n0", name, maintenance.Done)
	}
	r.planOver("n0")
	out, status = r.works("n0", "history")
	require.Zero(t, status, out)
	require.Contains(t, out, "has taken over")
}

// hook is a program that writes down when it begins and ends, and holds the machine meanwhile.
type hook struct {
	t    *testing.T
	path string
	gate string
}

// newHook returns one that ends once it may, and the line of [works] that names it.
func newHook(t *testing.T) (h hook, line string) {
	dir := t.TempDir()
	h = hook{t, filepath.Join(dir, "calls"), filepath.Join(dir, "gate")}
	program := filepath.Join(dir, "hook")
	text := "#!/bin/sh\necho \"$2 $CAPERCOVE_WORK begins $(date +%s%N)\" >> " + h.path + "\nn=0\nwhile [ ! -e " + h.gate +
		" ] && [ $n -lt 6000 ]; do sleep 0.02; n=$((n+1)); done\nsleep 0.3\necho \"$2 $CAPERCOVE_WORK ends $(date +%s%N)\" >> " + h.path + "\n"
	require.NoError(t, os.WriteFile(program, []byte(text), 0o700))
	return h, fmt.Sprintf("hook = [%q]\n", program)
}

// call is one of the hook; a machine is open from its beginning to its end.
type call struct {
	machine  string
	number   string
	from, to time.Time // the zero time: it has not ended, or was killed
}

// open lets calls end; shut does not, from now on.
func (h hook) open() { require.NoError(h.t, os.WriteFile(h.gate, nil, 0o600)) }
func (h hook) shut() { require.NoError(h.t, os.Remove(h.gate)) }

// began waits until the hook has been called so many times.
func (h hook) began(n int) {
	h.t.Helper()
	require.Eventually(h.t, func() bool { return len(h.calls()) >= n }, testbed.FleetPatience, testbed.Turn, "the hook is called %d times", n)
}

func (h hook) calls() (all []call) {
	text, _ := os.ReadFile(h.path)
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		f := strings.Fields(line)
		if len(f) < 4 {
			continue
		}
		ns, err := strconv.ParseInt(f[3], 10, 64)
		require.NoError(h.t, err)
		at := time.Unix(0, ns)
		if f[2] == "begins" {
			all = append(all, call{machine: f[0], number: f[1], from: at})
			continue
		}
		for i := range all {
			if all[i].machine == f[0] && all[i].number == f[1] && all[i].to.IsZero() {
				all[i].to = at
				break
			}
		}
	}
	return all
}

// load sends to all poolers, one statement after the other, until the function that it returns is called; the key of each is the pooler's name.
func (r *run) load() (end func()) {
	var over atomic.Bool
	var clients sync.WaitGroup
	for _, name := range r.Names {
		b := r.Beds[name]
		clients.Go(func() {
			for n := 0; !over.Load(); n++ {
				sql := fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%s%08x,c=%s,d=1000,cluster=3 */", name, name[1:], n,
					[]string{"read", "report", "write"}[n%3])
				if _, answered := b.Try(sql, 2*time.Second); !answered {
					time.Sleep(testbed.Turn) // it is down, or stands still
				}
			}
		})
	}
	return func() {
		over.Store(true)
		clients.Wait()
	}
}

// broken tells, as the databases and the hook saw it, whether something came to a machine that was open, but from poolers that were
// blind, whether two were open at once, and whether the hook of one ran under two numbers. It returns how many requests came
// from blind ones.
func (r *run) broken(calls []call) (blind int, why string) {
	numbers := map[string]string{}
	for i, c := range calls {
		if c.to.IsZero() {
			c.to = c.from
		}
		if had := numbers[c.machine]; had != "" && had != c.number {
			return 0, fmt.Sprintf("the hook of %s ran under the numbers %s and %s", c.machine, had, c.number)
		}
		numbers[c.machine] = c.number
		for _, o := range calls[:i] {
			if c.machine != o.machine && c.from.Before(o.to) && o.from.Before(c.to) {
				return 0, fmt.Sprintf("%s and %s were open at once", c.machine, o.machine)
			}
		}
		for _, sql := range r.database(c.machine).Between(c.from, c.to) {
			from, _, _ := strings.Cut(strings.SplitAfterN(sql, "'", 2)[1], "'")
			if r.Beds[from].Line(`"blind":`) == "" {
				return 0, fmt.Sprintf("%s sent to %s while it was open: %s", from, c.machine, sql)
			}
			blind++
		}
	}
	return blind, ""
}

func (r *run) database(name string) *testbed.Database {
	all := r.Beds["n0"].Databases
	return all[slices.IndexFunc(all, func(d *testbed.Database) bool { return d.ID == name })]
}

// checkKept checks that nothing is broken.
func (r *run) checkKept(calls []call) (blind int) {
	blind, why := r.broken(calls)
	require.Empty(r.T, why)
	return blind
}

func seeds(t *testing.T, first, last uint64) (uint64, uint64) {
	if more := os.Getenv("WORKS_SEEDS"); more != "" { // "20-60"
		_, err := fmt.Sscanf(more, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	return first, last
}

// Poolers are killed, stopped and restarted, and links cut, by a schedule from a seed, while a plan takes three replicas out and clients
// read at all poolers. Nothing reaches a machine that is open, no two are open at once, and when the faults are over the plan ends.
func TestSchedules(t *testing.T) {
	first, last := seeds(t, 0, 1)
	for seed := first; seed < last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h, line := newHook(t)
			h.open()
			r := begin(t, seed, 4, 2, line+"hook_calls = 50\n")
			r.start("n1", "machines = [\"db-1\", \"db-2\", \"db-3\"]\nfresh = 1\ngo_on = true\n")
			end := r.load()
			defer end()
			for _, step := range faults.Plan(seed, r.Names, 10) {
				if step.What == faults.Garble { // raft's streams have no checksums
					continue
				}
				r.Do(step)
				r.passes(4000)
			}
			r.Net.Note("the faults are over; %d calls of the hook", len(h.calls()))
			r.planOver("n0")
			end()
			calls := h.calls()
			blind := r.checkKept(calls)
			t.Logf("seed %d: %d calls of the hook, %d blind requests", seed, len(calls), blind)
			require.GreaterOrEqual(t, len(calls), 3)
		})
	}
}

// passes waits until the databases have got so many more statements: time in which something could have happened.
func (r *run) passes(more int) {
	count := func() (n int) {
		for _, d := range r.Beds["n0"].Databases {
			n += len(d.Got())
		}
		return n
	}
	until := count() + more
	require.Eventually(r.T, func() bool { return count() >= until }, testbed.FleetPatience, testbed.Turn, "clients are served")
}
