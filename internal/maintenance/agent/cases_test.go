package agent_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/maintenance"
	"capercove/internal/maintenance/agent"
	"capercove/internal/testbed"
)

// leader is who leads the record, as that pooler itself knows.
func (r *run) leader() (name string) {
	r.T.Helper()
	require.Eventually(r.T, func() bool {
		for _, n := range r.Running() {
			if r.overview(n).Leads {
				name = n
				return true
			}
		}
		return false
	}, testbed.FleetPatience, testbed.Turn, "somebody leads")
	return name
}

// overview is what a pooler tells of its part.
func (r *run) overview(name string) (s agent.Overview) {
	code, body := r.Beds[name].Call("GET", "/works")
	require.Equal(r.T, 200, code, body)
	require.NoError(r.T, json.Unmarshal([]byte(body), &s))
	return s
}

// other is one of the poolers that run, and not this one.
func (r *run) other(than string) string {
	running := r.Running()
	return running[slices.IndexFunc(running, func(n string) bool { return n != than })]
}

func (r *run) eventually(f func() bool, what string) {
	r.T.Helper()
	require.Eventually(r.T, f, testbed.FleetPatience, testbed.Turn, what)
}

// The leader is killed while a request that does not end keeps a machine draining, and the next one while the hook runs:
// the hook is called once, under one number, and only a person can say how it ended. Poolers that come back remember
// nothing.
func TestLeaderDies(t *testing.T) {
	t.Parallel()
	h, line := newHook(t)
	r := begin(t, 11, 4, 1, line)
	end := r.load()
	defer end()
	held := r.Beds["n3"].Client()
	for len(r.held("db-1")) == 0 { // one that db-1 holds: reads are spread over the replicas
		held = r.Beds["n3"].Client()
		held.Send(testbed.Query(r.Beds["n3"].Statement("report", "n3 hold", holds)))
		r.passes(50)
	}
	r.start("n3", "machines = [\"db-1\"]\nfresh = 1\n")
	r.reaches("n3", "db-1", maintenance.Draining)
	r.eventually(func() bool { return r.overview("n3").Out["db-1"] > 0 }, "n3 knows what it has out there")
	first := r.leader()
	r.Kill(first)
	r.leader()
	require.Equal(t, maintenance.Draining, r.state("n3", "db-1"), "nobody has gone on without n3")
	for _, d := range r.Beds["n0"].Databases {
		d.Release()
	}
	require.True(t, held.Next().Complete, "what was held is answered")
	r.Restart(first) // otherwise the step waits for it
	h.began(1)
	require.Equal(t, maintenance.InMaintenance, r.state("n3", "db-1"))
	second := r.leader()
	r.Kill(second)
	third := r.leader()
	require.NotEqual(t, second, third)
	r.Restart(second)
	h.open()
	r.eventually(func() bool { return !h.calls()[0].to.IsZero() }, "the hook ends")
	r.passes(2000)
	require.Len(t, h.calls(), 1, "it is not called again")
	require.Equal(t, maintenance.InMaintenance, r.state("n3", "db-1"), "nobody knows that it has ended")
	r.execute("n3", "end", "db-1")
	r.planOver("n3")
	end()
	r.checkKept(h.calls())
	require.Len(t, h.calls(), 1)
}

// held are the statements that a database holds.
func (r *run) held(name string) (held []string) {
	for _, sql := range r.database(name).Got() {
		if strings.Contains(sql, "hold") {
			held = append(held, sql)
		}
	}
	return held
}

// A pooler is cut off from all others, but not from clients and databases: it cannot change the plan, and blocks all that
// is listed once its lease is over. The others go on without it after that time, and say so. One that starts while it is
// cut off blocks all, and is blind then. When the cut is over all poolers agree again.
func TestCutOff(t *testing.T) {
	t.Parallel()
	h, line := newHook(t)
	r := begin(t, 12, 4, 2, line)
	one := r.other(r.leader())
	rest := slices.DeleteFunc(slices.Clone(r.Names), func(name string) bool { return name == one })
	r.start(rest[0], "machines = [\"db-1\", \"db-2\"]\nfresh = 1\ngo_on = true\n")
	h.began(1) // all have read the plan
	end := r.load()
	defer end()
	r.Net.Register("operator", netip.MustParseAddr("127.0.0.1")) // where commands are run
	r.Net.Partition([]string{one, "operator"}, rest)
	out, status := r.works(one, "pause")
	require.Equal(t, 1, status, out)
	require.Contains(t, out, "no majority")
	r.eventually(func() bool {
		s := r.overview(one)
		return s.Lapses < 0 && slices.Equal(s.Off, []string{"db-1", "db-2"})
	}, "its lease runs out")
	s := r.status(one)
	require.False(t, s.Agreed)
	require.Equal(t, maintenance.Running, s.Plan.State, "as it was when it was last read")
	for _, name := range rest {
		r.Net.Both("operator", name, faults.Link{})
	}
	h.open()
	r.eventually(func() bool { return len(h.calls()) == 2 && !h.calls()[1].to.IsZero() }, "the other is worked on without it")
	require.True(t, slices.ContainsFunc(r.status(rest[0]).Steps, func(s maintenance.Step) bool {
		return s.Machine == h.calls()[1].machine && slices.Equal(s.Unreachable, []string{one})
	}), "the record says without whom")
	require.Zero(t, r.checkKept(h.calls()))
	r.Kill(one)
	r.Restart(one) // it reads nothing, waits for the length of a lease, and serves
	r.eventually(func() bool { return r.Beds[one].Line(`"blind":`) != "" }, "it says that it is blind")
	r.Net.Heal()
	r.planOver(rest[0])
	end()
	require.Zero(t, r.checkKept(h.calls()))
}

// A pooler dies after it has reported that it stopped, and comes back remembering nothing while it is cut off from the
// record: for the length of a lease it sends nothing, and what it sends then is counted. As soon as it reads the record
// it blocks the machine.
func TestRestartRemembersNothing(t *testing.T) {
	t.Parallel()
	r := begin(t, 13, 4, 1, "")
	r.start("n0", "machines = [\"db-1\"]\nfresh = 1\n")
	r.reaches("n0", "db-1", maintenance.Drained)
	r.Kill("n3")
	r.Net.Partition([]string{"n3"}, []string{"n0", "n1", "n2"})
	r.Restart("n3")
	sent := func() int { return len(r.database("db-1").Got()) }
	before := sent()
	r.eventually(func() bool {
		r.Beds["n3"].Try(r.Beds["n3"].Statement("read", "n3", time.Second), time.Second)
		return sent() > before
	}, "it is blind, and serves")
	r.eventually(func() bool { return r.overview("n3").Blind > 0 }, "that is counted")
	r.eventually(func() bool { return r.Beds["n3"].Line(`"blind":`) != "" }, "it says so")
	r.Net.Heal()
	r.eventually(func() bool { return slices.Equal(r.overview("n3").Off, []string{"db-1"}) }, "it keeps off")
	before = sent()
	r.Serve("while db-1 is free", r.Names...)
	for range 20 {
		r.Beds["n3"].Try(r.Beds["n3"].Statement("read", "n3", time.Second), time.Second)
	}
	require.Equal(t, before, sent())
	r.execute("n3", "end", "db-1")
	r.planOver("n0")
}

// A replica dies while another is out: nothing further is taken, and the one that is drained is put back. Then the primary
// changes while a replica is out: the plan goes on, and the new primary goes last. Of two plans that are handed in at
// once one is taken.
func TestGroupChanges(t *testing.T) {
	t.Parallel()
	r := begin(t, 14, 3, 2, "")
	first, second := r.specFile("machines = [\"db-0\", \"db-1\"]\nfresh = 1\n"), r.specFile("machines = [\"db-1\", \"db-3\"]\nfresh = 1\n")
	won := make(chan bool, 2)
	var both sync.WaitGroup
	for at, wish := range map[string]string{"n0": first, "n2": second} {
		both.Go(func() {
			out, status := r.Command("works", "start", wish, r.Beds[at].Management)
			r.Net.Note("start at %s: %d %s", at, status, out)
			won <- status == 0
		})
	}
	both.Wait()
	require.NotEqual(t, <-won, <-won, "one of the two")
	r.execute("n1", "abort")
	r.planOver("n1")

	r.start("n0", "machines = [\"db-0\", \"db-1\", \"db-2\"]\nfresh = 1\nper_group = 2\n")
	out := r.drained("n0")
	require.NotEqual(t, "db-0", out, "the primary goes last")
	before := len(r.database(out).Got())
	others := slices.DeleteFunc([]string{"db-1", "db-2", "db-3"}, func(name string) bool { return name == out })
	for _, name := range others {
		r.database(name).Freeze(true)
	}
	r.eventually(func() bool { return r.state("n0", out) == maintenance.Waiting }, "it is asked back")
	require.Len(t, r.database(out).Got(), before)
	for _, name := range others {
		r.database(name).Freeze(false)
		r.database(name).Cut() // what was silent answers nothing any more
	}
	out = r.drained("n0")
	r.database("db-0").Lead(false)
	r.database("db-3").Lead(true)
	r.Serve("after the primary has changed", r.Names...)
	r.execute("n0", "end", out)
	r.reaches("n0", out, maintenance.Done)
	for range 2 { // db-0 is a replica now
		next := r.drained("n0")
		r.execute("n0", "end", next)
		r.reaches("n0", next, maintenance.Done)
	}
	r.planOver("n0")
	require.Nil(t, r.status("n0").Plan.HandOver)
}

// A plan can be aborted in every state; a machine in maintenance comes back when the work ends, and the plan waits for one
// that does not become healthy.
func TestAbort(t *testing.T) {
	t.Parallel()
	r := begin(t, 15, 3, 1, "")
	wish := "machines = [\"db-1\", \"db-2\"]\nfresh = 1\n"
	for len(r.held("db-1")) == 0 {
		c := r.Beds["n1"].Client()
		c.Send(testbed.Query(r.Beds["n1"].Statement("report", "n1 hold", holds)))
		r.Serve("beside", "n1")
	}
	r.start("n0", "machines = [\"db-1\"]\nfresh = 1\n")
	r.reaches("n0", "db-1", maintenance.Draining)
	r.execute("n2", "abort")
	r.planOver("n0")
	require.Equal(t, maintenance.RolledBack, r.state("n0", "db-1"))
	for _, d := range r.Beds["n0"].Databases {
		d.Release()
	}
	r.start("n0", wish)
	r.drained("n0")
	r.execute("n2", "abort")
	r.planOver("n0")
	r.eventually(func() bool { return len(r.overview("n1").Off) == 0 }, "it is put back")

	r.start("n0", wish)
	one := r.drained("n0")
	other := map[string]string{"db-1": "db-2", "db-2": "db-1"}[one]
	r.execute("n0", "begin", one)
	r.execute("n1", "abort")
	require.Equal(t, maintenance.InMaintenance, r.state("n0", one))
	require.Equal(t, maintenance.Aborting, r.status("n0").Plan.State)
	r.eventually(func() bool { return r.state("n0", other) == maintenance.RolledBack }, "what waits is given up")
	r.database(one).Freeze(true) // it does not come back
	r.execute("n0", "end", one)
	r.reaches("n0", one, maintenance.Recovering)
	r.eventually(func() bool { m := r.overview("n0").Look.Machines[one]; return m != nil && !m.Up }, "it is seen to be bad")
	require.Equal(t, maintenance.Aborting, r.status("n0").Plan.State, "the plan waits for it")
	r.database(one).Freeze(false)
	r.planOver("n0")
	out, status := r.works("n0", "skip", "db-2")
	require.Equal(t, 1, status, out)
	require.Contains(t, out, "no plan")
}

// A release restarts all poolers, one after the other and the one that leads the record last, by a hook that is called
// over HTTP; a database is in the same plan.
func TestRelease(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var r *run
	var order, faults []string
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var call struct {
			ID          uint64
			Do, Machine string
		}
		mu.Lock()
		defer mu.Unlock()
		if json.NewDecoder(q.Body).Decode(&call) != nil || call.Do != "work" || call.ID == 0 {
			faults = append(faults, "not a call")
		}
		order = append(order, call.Machine)
		if b := r.Beds[call.Machine]; b != nil {
			if r.overview(call.Machine).Leads {
				faults = append(faults, call.Machine+" leads the record")
			}
			r.Terminate(call.Machine)
			r.Restart(call.Machine)
		}
	}))
	t.Cleanup(service.Close)
	r = begin(t, 16, 4, 1, "hook_url = \""+service.URL+"\"\n")
	end := r.load()
	defer end()
	r.start("n1", "machines = [\"n0\", \"n1\", \"n2\", \"n3\", \"db-1\"]\nfresh = 1\n")
	at := func() string { mu.Lock(); defer mu.Unlock(); return r.Running()[0] }
	require.Eventually(t, func() bool { s := r.status(at()); return s.Agreed && s.Plan.State == maintenance.Finished }, 2*testbed.FleetPatience, 5*testbed.Turn)
	end()
	mu.Lock()
	defer mu.Unlock()
	require.Empty(t, faults)
	require.Equal(t, "db-1", order[0])
	slices.Sort(order)
	require.Equal(t, []string{"db-1", "n0", "n1", "n2", "n3"}, order, "each once")
	r.Settled("the end", r.Names...)
}

// At an upgrade two processes of one name serve for a while: a machine is not drained before both have stopped, and the new
// one goes on under the name alone.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	r := &run{testbed.NewWorks(t, 18, 4, quick, warmSoon)}
	r.Start("n0", testbed.WithReplicas(1))
	r.Start("n1")
	r.Start("n2")
	b := r.Start("n3", testbed.WithListener) // it keeps no record: two processes cannot share one
	r.Settled("the start", r.Names...)
	old := b.Process()
	end := b.Upgrade()
	require.NoError(t, old.Signal(syscall.SIGSTOP)) // what comes now is the new one's
	var held []*testbed.Client
	r.eventually(func() bool {
		// A connection may be meant for the old one, which was waiting for it: each that comes wakes another that waits.
		if c, let := b.Reach(time.Second); let {
			t.Cleanup(func() { c.Close() })
			c.Send(testbed.Query(b.Statement("report", "n3 hold", holds)))
			held = append(held, c)
			r.Serve("beside", "n0")
		}
		return len(r.held("db-1")) > 0
	}, "db-1 holds something of the new process")
	require.NoError(t, old.Signal(syscall.SIGCONT))
	r.start("n0", "machines = [\"db-1\"]\nfresh = 1\n")
	r.reaches("n0", "db-1", maintenance.Draining)
	r.eventually(func() bool { return slices.Equal(r.status("n0").Missed, []string{"n3+"}) }, "the new process alone is not heard")
	for _, d := range r.Beds["n0"].Databases {
		d.Release()
	}
	for _, c := range held {
		require.True(t, c.Next().Complete)
	}
	r.reaches("n0", "db-1", maintenance.Drained)
	require.NoError(t, end())
	r.Settled("the old one has left", r.Names...)
	before := len(r.database("db-1").Got())
	for range 5 {
		r.Serve("after the upgrade", r.Names...)
	}
	require.Len(t, r.database("db-1").Got(), before)
	r.execute("n3", "end", "db-1")
	r.planOver("n0")
	r.start("n0", "machines = [\"db-2\"]\nfresh = 1\n") // nobody waits for a second process any more
	r.reaches("n0", "db-2", maintenance.Drained)
}

// Errors of the table and of a plan's specification name line and key.
func TestBadInput(t *testing.T) {
	t.Parallel()
	r := begin(t, 17, 1, 1, "")
	for text, why := range map[string]string{
		"machines = [\"db-1\"]\nfrsh = 1\n":                      "wish.toml:2: unknown key frsh",
		"machines = \"db-1\"\n":                                  "wish.toml:1",
		"machines = [\"db-1\", \"db-7\"]\n":                      `machines[1]: nobody is named "db-7"`,
		"machines = [\"db-1\"]\nmargin = 1.5\n":                  "margin: 1.5",
		"machines = [\"db-1\", \"db-2\", \"db-0\"]\nfresh = 2\n": "1 replicas of group 3 that keep up would be left, 2 at the least",
	} {
		out, status := r.works("n0", "plan", r.specFile(text))
		require.Equal(t, 1, status, out)
		require.Contains(t, out, why)
	}
	for args, why := range map[string]string{"pause": "there is no plan", "forget n9": `no pooler "n9"`} {
		out, status := r.works("n0", strings.Fields(args)...)
		require.Equal(t, 1, status, out)
		require.Contains(t, out, why)
	}
	path := r.specFile("[works]\nenabled = true\nlease_ms = 1\n")
	out, status := r.Command("check", path)
	require.Equal(t, 1, status)
	require.Contains(t, out, "wish.toml:3: works.lease_ms: 1 is not from 500 to 600000")
	require.NoError(t, os.WriteFile(path, []byte("[works]\nenabled = true\n"), 0o600))
	out, _ = r.Command("check", path)
	require.Contains(t, out, "[fleet] is off")
}
