package agent_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/maintenance"
	"capercove/internal/testbed"
)

// measureVariable selects a measurement: told, leaderless, idle or roll. docs/measured/maintenance.md has the results.
const measureVariable = "WORKS_MEASURE"

// skipUnlessMeasured skips a measurement that is not selected.
func skipUnlessMeasured(t *testing.T, measurement string) {
	t.Helper()
	if os.Getenv(measureVariable) != measurement {
		t.Skip(measureVariable + "=" + measurement + " enables this measurement")
	}
}

// history returns the history of the record.
func (f *fleet) history() []maintenance.HistoryEntry {
	f.T.Helper()
	var entries []maintenance.HistoryEntry
	printed := f.execute("n0", "history", "--json")
	require.NoError(f.T, json.Unmarshal([]byte(printed), &entries))
	return entries
}

// spread returns the median, range and number of measured values, as text. It sorts the values.
func spread(name string, values []float64) string {
	slices.Sort(values)
	last := len(values) - 1
	return fmt.Sprintf("%s: median %.3f, %.3f to %.3f, of %d",
		name, values[len(values)/2], values[0], values[last], len(values))
}

// Measures the time from draining to drained by the number of poolers, with no request in flight to the machine.
func TestMeasureTimeToDrained(t *testing.T) {
	skipUnlessMeasured(t, "told")
	const plans = 8
	for _, count := range []int{5, 15, 30} {
		poolers := startFleet(t, uint64(50+count), count, 2, "")
		var toDrained, toOver []float64
		for range plans {
			poolers.start("n0", "machines = [\"db-1\"]\nfresh = 1\n")
			poolers.awaitState("n0", "db-1", maintenance.Drained)
			poolers.execute("n0", "end", "db-1")
			poolers.awaitPlanEnd("n0")
			at := map[string]int64{} // in milliseconds
			for _, entry := range poolers.history() {
				at[entry.Text] = entry.At // of the last plan
			}
			toDrained = append(toDrained, float64(at["free"]-at["agreed"])/1000)
			toOver = append(toOver, float64(at["the plan is over"]-at["agreed"])/1000)
		}
		t.Log(spread(fmt.Sprint(count, " poolers, seconds from agreed to free"), toDrained))
		t.Log(spread(fmt.Sprint(count, " poolers, seconds from agreed to over"), toOver))
	}
}

// Measures the time without a leader of the record after the leader is killed.
func TestMeasureLeaderless(t *testing.T) {
	skipUnlessMeasured(t, "leaderless")
	poolers := startFleet(t, 60, 3, 2, "")
	var seconds []float64
	for range 10 {
		leader := poolers.leader()
		killedAt := time.Now()
		poolers.Kill(leader)
		poolers.leader()
		seconds = append(seconds, time.Since(killedAt).Seconds())
		poolers.Restart(leader)
		poolers.WaitConverged("again", poolers.Names...)
	}
	t.Log(spread("seconds without a leader", seconds))
}

// logIdleCost logs the CPU and memory use of the first four poolers of an idle fleet.
func logIdleCost(t *testing.T, what string, poolers *testbed.Fleet) {
	t.Helper()
	const (
		span         = 20 * time.Second
		shownPoolers = 4
		bytesInMB    = 1e6
	)
	poolers.WaitConverged(what, poolers.Names...)
	before := map[string]time.Duration{}
	for _, name := range poolers.Names {
		before[name] = poolers.Beds[name].CPU()
	}
	time.Sleep(span) // the measured time
	for _, name := range poolers.Names[:min(shownPoolers, len(poolers.Names))] {
		used := (poolers.Beds[name].CPU() - before[name]).Seconds() * 1000 / span.Seconds()
		private := float64(poolers.Beds[name].AnonymousMemory()) / bytesInMB
		t.Logf("%s, %s: %.2f ms of CPU a second, %.1f MB private", what, name, used, private)
	}
}

// Measures the CPU and memory use of an idle pooler, with membership alone, and with maintenance and the record.
func TestMeasureIdle(t *testing.T) {
	skipUnlessMeasured(t, "idle")
	for _, count := range []int{5, 15} {
		alone := testbed.NewFleet(t, uint64(70+count), count, []string{"n0"}, "slower = 0.25")
		alone.StartAll()
		logIdleCost(t, fmt.Sprint(count, " poolers, membership alone"), alone)
		poolers := startFleet(t, uint64(80+count), count, 0, "")
		logIdleCost(t, fmt.Sprint(count, " poolers, with maintenance"), poolers.Fleet)
	}
}

// rollout is a way to work on all databases, one after the other.
type rollout string

const (
	byMaintenance rollout = "maintenance"
	byExclusion   rollout = "exclusions"  // in the order of a list, with a fixed wait before the work
	unannounced   rollout = "unannounced" // in the order of a list
)

// rolledDatabases lists the databases in the order of the work.
var rolledDatabases = []string{"db-0", "db-1", "db-2", "db-3"}

// guessedDrain is the fixed wait between an exclusion and the work. An operator can only guess it.
const guessedDrain = time.Second

// work makes a database unresponsive for a second and breaks its connections.
func (f *fleet) work(name string) {
	database := f.database(name)
	database.Freeze(true)
	time.Sleep(time.Second)
	database.Freeze(false)
	database.Cut()
}

// rollByMaintenance works on all databases by a plan whose hook does the work, and returns when the plan was started.
func (f *fleet) rollByMaintenance() (startedAt time.Time) {
	f.T.Helper()
	f.start("n0", "machines = [\"db-0\", \"db-1\", \"db-2\", \"db-3\"]\nfresh = 1\n")
	startedAt = time.Now()
	promoted := false
	f.eventually(func() bool {
		status := f.status("n0")
		if status.Plan.HandOver != nil && !promoted {
			promoted = true
			f.promote("db-0", "db-1")
		}
		return status.Agreed && status.Plan.State == maintenance.Finished
	}, "the plan ends")
	return startedAt
}

// rollByList works on all databases in the order of the list, with exclusions or without.
func (f *fleet) rollByList(way rollout) {
	f.T.Helper()
	for _, name := range rolledDatabases {
		if way == byExclusion {
			f.exclude(name, true)
		}
		switch name {
		case "db-0":
			f.promote("db-0", "db-1")
		case "db-1":
			f.promote("db-1", "db-0")
		}
		if way == byExclusion {
			time.Sleep(guessedDrain)
		}
		f.work(name)
		if way == byExclusion {
			f.exclude(name, false)
		}
	}
}

// exclude excludes a database at all poolers, or includes it again.
func (f *fleet) exclude(name string, excluded bool) {
	f.T.Helper()
	for _, pooler := range f.Names {
		f.Beds[pooler].SetExcluded(name, excluded)
	}
}

// measureRoll works on a group of four databases in one way. It returns the share of requests that were served in time,
// and the duration in seconds.
func measureRoll(t *testing.T, seed uint64, way rollout) (share, seconds float64) {
	t.Helper()
	const cores = 1000 // of a database: more than it uses
	var poolers *fleet // set before the first call
	service := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call struct{ Machine string }
		if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
			http.Error(response, err.Error(), http.StatusBadRequest)
			return
		}
		poolers.work(call.Machine)
	}))
	defer service.Close()
	poolers = startFleet(t, seed, 3, 2, "hook_url = \""+service.URL+"\"\n")
	for _, database := range poolers.databases() {
		database.Cores(cores)
	}
	end := poolers.steadyLoad()
	startedAt := time.Now()
	if way == byMaintenance {
		startedAt = poolers.rollByMaintenance()
	} else {
		poolers.rollByList(way)
	}
	seconds = time.Since(startedAt).Seconds()
	share = end()
	for _, name := range poolers.Names {
		poolers.Kill(name)
	}
	return share, seconds
}

// Measures work on a group of four databases in three ways: by maintenance, by exclusions with a fixed wait, and
// unannounced. One of fifty requests is a report that takes 2.5 s.
func TestMeasureRoll(t *testing.T) {
	skipUnlessMeasured(t, "roll")
	shares, times := map[rollout][]float64{}, map[rollout][]float64{}
	for round := range 5 {
		for _, way := range []rollout{byMaintenance, byExclusion, unannounced} {
			share, seconds := measureRoll(t, uint64(90+round), way)
			shares[way], times[way] = append(shares[way], share), append(times[way], seconds)
			t.Logf("round %d, %s: in time %.4f, %.1f s", round, way, share, seconds)
		}
	}
	for way := range shares {
		t.Log(spread(string(way)+", share in time", shares[way]))
		t.Log(spread(string(way)+", seconds", times[way]))
	}
}

// Parameters of the steady load.
const (
	steadyInterval = 10 * time.Millisecond // between two requests at a pooler
	steadyDeadline = 6 * time.Second
	steadyTimeout  = 7 * time.Second
	reportEvery    = 50 // one of this many requests is a report
	writeEvery     = 4  // one of this many other requests is a write
)

// steadyLoad sends requests at a constant rate to all poolers, until the returned function is called. That function
// returns the share that was served in time: reads in 300 ms, writes in 1 s, reports in 5 s.
func (f *fleet) steadyLoad() (end func() float64) {
	stop := make(chan struct{})
	var sent, inTime atomic.Int64
	var clients, open sync.WaitGroup
	request := func(name string, number int) {
		class, objective, key := "read", 300*time.Millisecond, ""
		switch {
		case number%reportEvery == 0:
			class, objective, key = "report", 5*time.Second, " takes2500"
		case number%writeEvery == 0:
			class, objective = "write", time.Second
		}
		sentAt := time.Now()
		reply, answered := f.Beds[name].Try(statement(name, key, number, class, steadyDeadline), steadyTimeout)
		sent.Add(1)
		if answered && reply.Complete && reply.Code == "" && time.Since(sentAt) <= objective {
			inTime.Add(1)
		}
	}
	for _, name := range f.Names {
		clients.Go(func() {
			ticker := time.NewTicker(steadyInterval)
			defer ticker.Stop()
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				open.Go(func() { request(name, number) })
			}
		})
	}
	return func() float64 {
		close(stop)
		clients.Wait()
		open.Wait()
		return float64(inTime.Load()) / float64(sent.Load())
	}
}
