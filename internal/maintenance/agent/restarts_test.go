package agent_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/maintenance"
	"capercove/internal/testbed"
)

// restarter is an HTTP hook that restarts poolers.
type restarter struct {
	poolers *fleet // set before the first call

	mu     sync.Mutex
	order  []string // machines, in the order of the calls
	faults []string
}

// ServeHTTP handles one call of the hook at a time.
func (r *restarter) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	var call struct {
		ID          uint64
		Do, Machine string
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if json.NewDecoder(request.Body).Decode(&call) != nil || call.Do != "work" || call.ID == 0 {
		r.faults = append(r.faults, "invalid hook request")
	}
	r.order = append(r.order, call.Machine)
	if r.poolers.Beds[call.Machine] == nil { // a database
		return
	}
	if overview, known := r.poolers.overview(call.Machine); !known || overview.Leads {
		r.faults = append(r.faults, call.Machine+" leads the record, or does not answer")
	}
	r.poolers.Terminate(call.Machine)
	r.poolers.Restart(call.Machine)
}

// running returns the name of a running pooler.
func (r *restarter) running() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolers.Running()[0]
}

// An HTTP hook restarts all poolers, one after the other and the leader of the record last: it resigns before its
// restart. The plan takes the database before the poolers.
func TestRestartsAllPoolersByPlan(t *testing.T) {
	t.Parallel()
	hook := &restarter{}
	service := httptest.NewServer(hook)
	t.Cleanup(service.Close)
	hook.poolers = startFleet(t, 16, 4, 1, "hook_url = \""+service.URL+"\"\n")
	end := hook.poolers.load()
	defer end()
	hook.poolers.start("n1", "machines = [\"n0\", \"n1\", \"n2\", \"n3\", \"db-1\"]\nfresh = 1\n")
	require.Eventually(t, func() bool {
		status := hook.poolers.status(hook.running())
		return status.Agreed && status.Plan.State == maintenance.Finished
	}, 2*testbed.FleetTimeout, 5*testbed.PollInterval)
	end()
	hook.mu.Lock()
	defer hook.mu.Unlock()
	require.Empty(t, hook.faults)
	require.Equal(t, "db-1", hook.order[0])
	slices.Sort(hook.order)
	require.Equal(t, []string{"db-1", "n0", "n1", "n2", "n3"}, hook.order, "each once")
	hook.poolers.WaitConverged("the end", hook.poolers.Names...)
}

// holdByNewProcess waits until db-1 has a report in flight from the new process of two; the old process is stopped. It
// returns the clients that sent reports. The kernel may assign a connection to the stopped process, which was waiting
// for one. Each further connection wakes another waiting process.
func (f *fleet) holdByNewProcess(name string) (clients []*testbed.Client) {
	f.T.Helper()
	f.eventually(func() bool {
		client, started := f.Beds[name].TryDial(time.Second)
		if started {
			f.T.Cleanup(func() { _ = client.Close() }) // the connection may have ended
			f.sendHeldReport(name, client)
			clients = append(clients, client)
			f.Serve("beside", "n0")
		}
		return f.hasHeldReport("db-1")
	}, "db-1 has a report of the new process in flight")
	return clients
}

// During an upgrade, two processes of one name serve. A machine is not drained before both have stopped sending to it,
// and the new process continues alone under the name.
func TestDrainWaitsForBothProcessesOfUpgrade(t *testing.T) {
	t.Parallel()
	poolers := newFleet(t, 18, 4, "")
	poolers.Start("n0", testbed.WithReplicas(1))
	poolers.Start("n1")
	poolers.Start("n2")
	upgraded := poolers.Start("n3", testbed.WithListener) // stores no record: two processes cannot share its files
	poolers.WaitConverged("the start", poolers.Names...)
	old := upgraded.Process()
	end := upgraded.Upgrade()
	require.NoError(t, old.Signal(syscall.SIGSTOP)) // new connections are served by the new process
	clients := poolers.holdByNewProcess("n3")
	require.NoError(t, old.Signal(syscall.SIGCONT))
	poolers.start("n0", "machines = [\"db-1\"]\nfresh = 1\n")
	poolers.awaitState("n0", "db-1", maintenance.Draining)
	poolers.eventually(func() bool {
		return slices.Equal(poolers.status("n0").MissingReports, []string{"n3+"})
	}, "the new process alone has not reported")
	poolers.release()
	for i, client := range clients {
		reply := client.Next()
		require.True(t, reply.Complete, "client %d of %d: %s %s", i, len(clients), reply.Code, reply.Message)
	}
	poolers.awaitState("n0", "db-1", maintenance.Drained)
	require.NoError(t, end())
	poolers.WaitConverged("the old process has left", poolers.Names...)
	before := len(poolers.database("db-1").Statements())
	for range 5 {
		poolers.Serve("after the upgrade", poolers.Names...)
	}
	require.Len(t, poolers.database("db-1").Statements(), before)
	poolers.execute("n3", "end", "db-1")
	poolers.awaitPlanEnd("n0")
	poolers.start("n0", "machines = [\"db-2\"]\nfresh = 1\n") // the step does not wait for a second process any more
	poolers.awaitState("n0", "db-2", maintenance.Drained)
}

// Errors of a plan's specification name the line or the key, and a refused command states the reason.
func TestRejectsBadPlansAndCommands(t *testing.T) {
	t.Parallel()
	poolers := startFleet(t, 17, 1, 1, "")
	for name, test := range map[string]struct{ spec, reason string }{
		"an unknown key":     {"machines = [\"db-1\"]\nfrsh = 1\n", "wish.toml:2: unknown key frsh"},
		"another type":       {"machines = \"db-1\"\n", "wish.toml:1"},
		"an unknown machine": {"machines = [\"db-1\", \"db-7\"]\n", `machines[1]: nobody is named "db-7"`},
		"out of range":       {"machines = [\"db-1\"]\nmargin = 1.5\n", "margin: 1.5"},
		"too few replicas": {
			"machines = [\"db-1\", \"db-2\", \"db-0\"]\nfresh = 2\n",
			"1 replicas of group 3 that keep up would be left, 2 at the least",
		},
	} {
		printed, status := poolers.runUntilAnswered("n0", "plan", poolers.specFile(test.spec))
		require.Equal(t, exitNotPossible, status, "%s: %s", name, printed)
		require.Contains(t, printed, test.reason, name)
	}
	for command, reason := range map[string]string{
		"pause":     "there is no plan",
		"forget n9": `no pooler "n9"`,
	} {
		poolers.requireRefused(reason, "n0", strings.Fields(command)...)
	}
}

// Errors of the table [works] name the line and the key.
func TestRejectsBadTable(t *testing.T) {
	t.Parallel()
	poolers := newFleet(t, 17, 1, "") // no pooler is started
	path := poolers.specFile("[works]\nenabled = true\nlease_ms = 1\n")
	printed, status := poolers.Command("check", path)
	require.Equal(t, exitNotPossible, status)
	require.Contains(t, printed, "wish.toml:3: works.lease_ms: 1 is not from 500 to 600000")
	require.NoError(t, os.WriteFile(path, []byte("[works]\nenabled = true\n"), 0o600))
	printed, _ = poolers.Command("check", path)
	require.Contains(t, printed, "[fleet] is off")
}
