package driver_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
	"capercove/internal/works"
	"capercove/internal/works/driver"
)

// quick are times for processes on one machine.
const quick = "lease_ms = 1500\nskew_ms = 100\nsettle_ms = 300\n"

// settings are those of the testbed, with databases that are warm soon.
var settings = strings.Replace(testbed.Settings, `"coldMs":18000`, `"coldMs":400`, 1)

func warmSoon(b *testbed.Bed) { b.Settings = settings }

// run is a fleet with a plan.
type run struct {
	*testbed.Fleet
}

func begin(t *testing.T, seed uint64, n, replicas int, more string) *run {
	f := testbed.NewWorks(t, seed, n, quick+more, warmSoon)
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

// wish writes a file with a wish.
func (r *run) wish(text string) string {
	path := filepath.Join(r.T.TempDir(), "wish.toml")
	require.NoError(r.T, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start hands a wish in at a pooler.
func (r *run) start(at, wish string) {
	r.T.Helper()
	path := r.wish(wish)
	require.Eventually(r.T, func() bool {
		_, status := r.works(at, "start", path)
		return status == 0
	}, testbed.FleetPatience, testbed.Turn, "the plan is taken")
}

// status is the plan as a majority holds it.
func (r *run) status(at string) (s driver.Status) {
	out, _ := r.Command("works", "status", "--json", r.Beds[at].Management)
	json.Unmarshal([]byte(out), &s) // nothing of it, where the pooler does not answer
	return s
}

func (r *run) state(at, machine string) works.State {
	for _, s := range r.status(at).Steps {
		if s.Machine == machine {
			return s.State
		}
	}
	return works.Waiting
}

// reaches waits until a machine has come to a state.
func (r *run) reaches(at, machine string, state works.State) {
	r.T.Helper()
	require.Eventually(r.T, func() bool { return r.state(at, machine) == state }, testbed.FleetPatience, testbed.Turn, "%s is %s", machine, state)
	r.Net.Note("%s is %s", machine, state)
}

// over waits until the plan is over.
func (r *run) over(at string) {
	r.T.Helper()
	require.Eventually(r.T, func() bool {
		s := r.status(at)
		return s.Agreed && s.Plan.State == works.Over
	}, testbed.FleetPatience, testbed.Turn, "the plan ends")
}

// do is a command that must go well.
func (r *run) do(at string, args ...string) {
	r.T.Helper()
	out, status := r.works(at, args...)
	require.Zero(r.T, status, out)
}

// One replica after the other is taken out by hand, then the primary, once another has taken over. All poolers serve throughout,
// and none sends anything to a machine between "free" and "end".
func TestByHand(t *testing.T) {
	r := begin(t, 1, 3, 1, "")
	first := r.Beds["n0"]
	out, status := r.works("n1", "status")
	require.Zero(t, status, out)
	require.Contains(t, out, "no plan")
	wish := "machines = [\"db-0\", \"db-1\", \"db-2\"]\nfresh = 1\n"
	r.start("n1", wish)
	out, status = r.works("n2", "start", r.wish(wish))
	require.Equal(t, 1, status)
	require.Contains(t, out, "abort it first")
	for _, name := range []string{"db-1", "db-2", "db-0"} {
		i := int(name[3] - '0')
		if name == "db-0" {
			require.Eventually(t, func() bool { return r.status("n0").Plan.HandOver != nil }, testbed.FleetPatience, testbed.Turn, "a hand-over is asked for")
			first.Databases[0].Lead(false)
			first.Databases[1].Lead(true)
		}
		r.reaches("n0", name, works.Free)
		before := len(first.Databases[i].Got())
		for range 5 {
			r.Serve("while "+name+" is free", r.Names...)
		}
		require.Len(t, first.Databases[i].Got(), before, "%s got something while it was free", name)
		r.do("n2", "end", name)
		r.reaches("n0", name, works.Done)
	}
	r.over("n0")
	out, _ = r.works("n0", "history")
	fmt.Println(out)
}
