package gossip_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/membership"
	"capercove/internal/membership/gossip"
	"capercove/internal/testbed"
)

// Four poolers, with relays between them, join through a seed that starts last. One is killed, one is paused until it
// is reported as failed, and a network partition isolates one. Each time the poolers that can reach each other
// converge, and all of them continue to serve requests.
func TestFleetConvergesAfterFailures(t *testing.T) {
	t.Parallel()
	fleet := testbed.NewFleet(t, 1, 4, []string{"n0"}, fastGossip+"\ncount = true")
	settled := func(what string, names ...string) {
		t.Helper()
		fleet.WaitConverged(what, names...)
		fleet.Serve(what, names...)
	}
	counted := func(name string, poolers float64) { // the settings configure one pooler
		t.Helper()
		counts := func() bool { return useOf(t, fleet, name)["counted"] == poolers }
		fleet.Beds[name].Eventually(counts, name+" counts")
	}
	for _, name := range []string{"n1", "n2", "n3", "n0"} {
		fleet.Start(name)
	}
	settled("joined", fleet.Names...)
	counted("n1", 4)
	fleet.Beds["n0"].Eventually(func() bool {
		out, status := fleet.Command("fleet", "--all", fleet.Beds["n0"].Management)
		return status == 0 && strings.Count(out, "4 of 4  whole") == 4
	}, "all views agree")
	out, status := fleet.Command("fleet", fleet.Beds["n0"].Management)
	require.Zero(t, status, out)
	require.Contains(t, out, "n0 sees 4 of 4 poolers (whole)")
	out, status = fleet.Command("fleet", "--json", fleet.Beds["n0"].Management)
	require.Zero(t, status, out)
	require.True(t, json.Valid([]byte(out)), out)
	_, status = fleet.Command("fleet", fleet.Beds["n0"].Addr)
	require.Equal(t, 2, status, "not a management address")
	fleet.Kill("n1")
	settled("n1 killed", "n0", "n2", "n3")
	fleet.Restart("n1")
	settled("n1 back, without a view", fleet.Names...)
	fleet.Pause("n2")
	settled("n2 paused", "n0", "n1", "n3")
	fleet.Resume("n2")
	settled("n2 resumed", fleet.Names...)

	fleet.Net.Partition([]string{"n3"}, []string{"n0", "n1", "n2"})
	settled("cut", "n0", "n1", "n2")
	settled("alone", "n3")
	require.Equal(t, "alone", fleet.State("n3").Side)
	counted("n3", 4) // the smaller side counts all known poolers
	counted("n0", 3)
	_, status = fleet.Command("fleet", "--all", fleet.Beds["n3"].Management)
	require.Zero(t, status, "it agrees with itself while it is alone")
	require.Equal(t, "larger", fleet.State("n0").Side)
	fleet.Net.Heal()
	settled("healed", fleet.Names...)
	require.Equal(t, "whole", fleet.State("n3").Side)

	fleet.Terminate("n0")
	settled("n0 left", "n1", "n2", "n3")
	for _, pooler := range fleet.State("n1").Poolers {
		require.False(t, pooler.Name == "n0" && pooler.State != "left", "%+v", pooler)
	}
	code, _ := testbed.Start(t).Call(http.MethodGet, "/fleet")
	require.Equal(t, http.StatusNotFound, code, "[fleet] is off")
}

// sendReads sends reads to poolers until the returned function is called or the test ends. A pooler without requests
// has no budget for probes: it readmits an unresponsive database after its backoff, and no longer reports it as bad.
func sendReads(fleet *testbed.Fleet, names ...string) (stop func()) {
	const timeout = 500 * time.Millisecond
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for _, name := range names {
		bed := fleet.Beds[name]
		statement := bed.Statement("read", "k", timeout)
		clients.Go(func() {
			for !stopped.Load() {
				bed.Try(statement, 2*timeout) // neither the answer nor a timeout matters
			}
		})
	}
	stop = func() {
		stopped.Store(true)
		clients.Wait()
	}
	fleet.T.Cleanup(stop)
	return stop
}

// Two poolers detect by their own requests that a database is unresponsive. The third has no requests. It probes the
// database because of their observations, and detects the failure too. The fourth does not, because such probes are off
// there. When the database answers again, the three publish that.
func TestSuspectedDatabaseIsProbed(t *testing.T) {
	t.Parallel()
	fleet := testbed.NewFleet(t, 8, 4, []string{"n0"}, fastGossip)
	for _, name := range fleet.Names {
		fleet.Start(name, testbed.WithTables(fmt.Sprintf("doubt = %v", name != "n3")))
	}
	fleet.WaitConverged("joined", fleet.Names...)
	unresponsive := fleet.Beds["n0"].Databases[1]
	unresponsive.Freeze(true)
	// reports returns whether a pooler's state shows that the observer published the database as bad.
	reports := func(at, observer string) bool {
		return slices.ContainsFunc(fleet.State(at).Databases, func(database gossip.Database) bool {
			bad := func(observation membership.PeerObservation) bool {
				return observation.Pooler == observer && observation.State.Bad()
			}
			return database.Name == unresponsive.ID && slices.ContainsFunc(database.Words, bad)
		})
	}
	for _, name := range []string{"n0", "n1"} {
		bed := fleet.Beds[name]
		bed.Eventually(func() bool {
			bed.Client().Ask(bed.Statement("read", "k", 500*time.Millisecond))
			return reports(name, name)
		}, name+" detects it by its requests")
	}
	stopReads := sendReads(fleet, "n0", "n1")
	fleet.Beds["n2"].Eventually(func() bool { return reports("n0", "n2") }, "n2 detects it by a probe")
	stopReads()
	require.Positive(t, useOf(t, fleet, "n2")["asked"])
	fleet.Periods(40, fleet.Names...)
	require.False(t, reports("n0", "n3"), "suspicion is off")
	require.Zero(t, useOf(t, fleet, "n3")["asked"])
	fleet.Serve("one database unresponsive", fleet.Names...)
	unresponsive.Freeze(false)
	for _, name := range []string{"n0", "n1", "n2"} {
		bed := fleet.Beds[name]
		bed.Eventually(func() bool {
			bed.Client().Ask(bed.Statement("read", "k", 500*time.Millisecond))
			return !reports("n3", name)
		}, name+" publishes that it answers")
	}
}

// Of five poolers, two are killed and one is paused for three times as long as it takes to be reported as failed. When
// the paused pooler resumes, it reports no live pooler as failed. Then a network partition ends and begins again before
// all have converged. Last, a link that is cut in one direction makes no pooler flap.
func TestPauseOrOneWayCutFailsNoLivePooler(t *testing.T) {
	t.Parallel()
	fleet := testbed.NewFleet(t, 2, 5, []string{"n0"}, fastGossip)
	fleet.StartAll()
	fleet.WaitConverged("joined", fleet.Names...)
	fleet.Kill("n1")
	fleet.Kill("n2")
	fleet.Pause("n3")
	took := fleet.WaitConverged("two killed, one paused", "n0", "n4")
	require.NotEmpty(t, fleet.Logs("membership: pooler suspected"), "memberlist's log line for suspicions has changed")
	fleet.Periods(int(3*took/(50*time.Millisecond)), "n0", "n4")
	before := map[string]int64{}
	for _, name := range []string{"n0", "n4"} {
		before[name] = fleet.State(name).Refutations
	}
	fleet.Resume("n3")
	fleet.WaitConverged("n3 resumed", "n0", "n3", "n4")
	resumed := fleet.Beds["n3"]
	resumed.Eventually(func() bool { return resumed.Line(goneLine("n1")) != "" }, "n3 reports a killed pooler")
	for _, name := range []string{"n0", "n4"} { // a pooler that is reported as failed refutes it
		require.Equal(t, before[name], fleet.State(name).Refutations, "%s was reported as failed", name)
		require.Empty(t, resumed.Line(goneLine(name)))
		require.Empty(t, resumed.Line(neverFoundLine(name)))
	}
	fleet.Restart("n1")
	fleet.Restart("n2")
	fleet.WaitConverged("two restarted", fleet.Names...)

	left, right := []string{"n0", "n1"}, []string{"n2", "n3", "n4"}
	fleet.Net.Partition(left, right)
	fleet.WaitConverged("the smaller side", left...)
	fleet.WaitConverged("the larger side", right...)
	fleet.Serve("cut", fleet.Names...)
	fleet.Net.Heal()
	fleet.Net.Partition(left, right)
	fleet.Net.Heal()
	fleet.WaitConverged("one again", fleet.Names...)

	refuted := fleet.State("n4").Refutations
	fleet.Net.Set("n1", "n4", faults.Link{Cut: true})
	fleet.Periods(100, fleet.Names...)
	fleet.WaitConverged("cut one way", fleet.Names...)
	require.Equal(t, refuted, fleet.State("n4").Refutations, "others reach it")
}

// All poolers are killed at once and restart in another order, the seed last. They find each other through the
// addresses that they saved. A damaged address file is counted, and its pooler starts without it.
func TestFleetRestartsWithoutSeed(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	fleet := testbed.NewFleet(t, 3, 4, []string{"n0"}, fastGossip)
	for _, name := range fleet.Names {
		own := fmt.Sprintf("%s/%s", dir, name)
		require.NoError(t, os.Mkdir(own, 0o700))
		fleet.Start(name, testbed.WithTables(fmt.Sprintf("dir = %q", own)))
	}
	fleet.WaitConverged("joined", fleet.Names...)
	for _, name := range fleet.Names {
		fleet.Beds[name].Eventually(func() bool {
			text, err := os.ReadFile(fmt.Sprintf("%s/%s/fleet-members", dir, name))
			return err == nil && strings.Count(string(text), "\n") == 5 // a header, three addresses, a checksum
		}, name+" saves the others' addresses")
	}
	for _, name := range fleet.Names {
		fleet.Kill(name)
	}
	require.NoError(t, os.WriteFile(dir+"/n3/fleet-members", []byte("noise"), 0o600))
	abandoned := dir + "/n2/fleet-members-1" // of a writer that was killed
	require.NoError(t, os.WriteFile(abandoned, []byte("half"), 0o600))
	for _, name := range []string{"n3", "n1", "n2"} {
		fleet.Restart(name)
	}
	fleet.WaitConverged("without the seed", "n1", "n2", "n3")
	require.Positive(t, fleet.State("n3").SaveErrors)
	require.Zero(t, fleet.State("n2").SaveErrors)
	fleet.Beds["n2"].Eventually(func() bool {
		_, err := os.Stat(abandoned)
		return errors.Is(err, fs.ErrNotExist)
	}, "n2 removes the abandoned file")
	fleet.Restart("n0")
	fleet.WaitConverged("all", fleet.Names...)
}

// Poolers restart one by one, first through a second process on the inherited listener, and then through SIGTERM and a
// new start. None is ever reported as failed, and each serves requests.
func TestRollingRestartFailsNoPooler(t *testing.T) {
	t.Parallel()
	fleet := testbed.NewFleet(t, 4, 4, []string{"n0", "n1"}, "", testbed.WithListener)
	fleet.StartAll()
	fleet.WaitConverged("joined", fleet.Names...)
	for _, name := range fleet.Names {
		fleet.Net.Note("upgrade %s", name)
		end := fleet.Beds[name].Upgrade()
		require.NotEmpty(t, fleet.State(name).Waits, "the new process waits while the old one uses the listen address")
		fleet.Serve("two processes", name)
		require.NoError(t, end())
		fleet.WaitConverged("upgraded "+name, fleet.Names...)
		fleet.Serve("upgraded", name)
	}
	for _, name := range fleet.Names {
		fleet.Terminate(name)
		fleet.Restart(name)
		fleet.WaitConverged("restarted "+name, fleet.Names...)
	}
	require.Empty(t, fleet.Logs("it does not answer"))
	require.NotEmpty(t, fleet.Logs("it has left"))
	for _, name := range fleet.Names {
		require.Zero(t, fleet.State(name).Refutations, name)
	}
}

// A tenth of the packets between all poolers is lost, and some are duplicated or delayed, for many probe intervals. No
// pooler is reported as failed.
func TestPacketLossFailsNoPooler(t *testing.T) {
	t.Parallel()
	fleet := testbed.NewFleet(t, 5, 4, []string{"n0"}, "")
	fleet.StartAll()
	fleet.WaitConverged("joined", fleet.Names...)
	impairAllLinks(fleet.Net, fleet.Names, faults.Link{
		Loss: 0.1, Twice: 0.05, Late: 0.05, Jitter: 5 * time.Millisecond,
	})
	periods := 100 // a probe is sent in each fifth of them
	if os.Getenv("FLEET_SEEDS") != "" {
		periods = 300 // a minute
	}
	fleet.Periods(periods, fleet.Names...)
	fleet.WaitConverged("packets lost", fleet.Names...)
	require.Empty(t, fleet.Logs("it does not answer"))
}

// Many poolers join through one seed, some are killed and restart, and a network partition divides them in half. Each
// time, the poolers that can reach each other converge.
func TestManyPoolersConverge(t *testing.T) {
	t.Parallel()
	size := 10
	if more := os.Getenv("FLEET_SIZE"); more != "" {
		_, err := fmt.Sscan(more, &size)
		require.NoError(t, err)
	}
	fleet := testbed.NewFleet(t, 7, size, []string{"n0"}, "slower = 0.5")
	fleet.StartAll()
	fleet.WaitConverged("joined", fleet.Names...)
	fleet.Kill("n1")
	fleet.Kill("n2")
	fleet.WaitConverged("two killed", without(fleet.Names, "n1", "n2")...)
	fleet.Restart("n1")
	fleet.Restart("n2")
	fleet.WaitConverged("two restarted", fleet.Names...)
	fleet.Net.Partition(fleet.Names[:size/2], fleet.Names[size/2:])
	fleet.WaitConverged("one side", slices.Clone(fleet.Names[:size/2])...)
	fleet.WaitConverged("the other", slices.Clone(fleet.Names[size/2:])...)
	fleet.Net.Heal()
	fleet.WaitConverged("one again", fleet.Names...)
}
