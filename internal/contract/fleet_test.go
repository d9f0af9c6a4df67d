package contract_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pair is two poolers that talk and take machines out together, before a primary and two replicas. The first one keeps
// the record, in a store of its own.
type pair struct {
	first, second *pooler
	databases     []*standIn
	fleet, api    string // addresses of the first one: where the other finds it, and of its store
}

// quickTimes are lines of [works] and [fleet] that let things happen soon.
const (
	quickWorks = "lease_ms = 1500\nskew_ms = 100\nsettle_ms = 200\n"
	quickFleet = "slower = 0.25\n"
)

func fleetTable(listen, seeds string) string {
	const table = "[fleet]\nenabled = true\ncluster = \"contract\"\nlisten = %q\nzone = \"a\"\n%s%s\n"
	return fmt.Sprintf(table, listen, quickFleet, seeds)
}

const watchedTables = `
[statements]
mode = "observe"

[door]
enabled = true

[[door.tenants]]
name = "office"

[[door.rules]]
tenant = "office"
user = "client"
`

func startPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{}
	for i := range 3 {
		p.databases = append(p.databases, newStandIn(t, fmt.Sprint("db-", i), i == 0))
	}
	list := newCatalog(t, p.databases...)
	p.first = startPooler(t, "n0", t.TempDir(), list, func() string {
		p.fleet, p.api = freeAddress(t), freeAddress(t)
		return fmt.Sprintf("[store]\nenabled = true\napi = %q\n", p.api) + fleetTable(p.fleet, "") +
			"[works]\nenabled = true\n" + quickWorks + watchedTables
	})
	p.second = startPooler(t, "n1", t.TempDir(), list, func() string {
		return fleetTable(freeAddress(t), fmt.Sprintf("seeds = [%q]", p.fleet)) +
			fmt.Sprintf("[works]\nenabled = true\nrecord = [%q]\n", p.api) + quickWorks
	})
	return p
}

// command runs a sub-command of the pooler.
func command(t *testing.T, args ...string) result {
	t.Helper()
	return run(t, t.TempDir(), []string{"USER=operator"}, "capercove", args...)
}

// state is how far a machine of the plan is, as a pooler has read.
func (p *pooler) state(machine string) string {
	var shown struct {
		Steps []struct {
			Machine string `json:"machine"`
			State   string `json:"state"`
		} `json:"steps"`
	}
	if json.Unmarshal([]byte(p.call(http.MethodGet, "/works", "").body), &shown) != nil {
		return ""
	}
	for _, s := range shown.Steps {
		if s.Machine == machine {
			return s.State
		}
	}
	return ""
}

// live are the poolers that one finds alive.
func (p *pooler) live() string {
	var shown struct {
		Live []string `json:"live"`
	}
	if json.Unmarshal([]byte(p.call(http.MethodGet, "/fleet", "").body), &shown) != nil {
		return ""
	}
	return strings.Join(shown.Live, " ")
}

// wish writes a file with machines to take out.
func wish(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "wish.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Two poolers see each other and take a replica out by hand. On the way stand the names of all that the management
// address shows, and the words, flags, outputs and statuses of the sub-commands.
func TestFleetAndWorks(t *testing.T) {
	t.Parallel()
	p := startPair(t)
	for i, sql := range []string{ask("00000001", "report", "a", longEnough), ask("00000002", "write", "b", longEnough),
		query("INSERT INTO state VALUES ('c') /* id=00000003,c=report,d=5000,cluster=3 */")} {
		require.Contains(t, converse(t, p.first.listen, started+sql, 2), "from a database", "request %d", i)
	}
	eventually(t, func() bool { return p.first.live() == "n0 n1" && p.second.live() == "n0 n1" }, "both see both")
	p.watch(t)
	var said strings.Builder
	for _, step := range p.course(t) {
		if step.before != nil {
			eventually(t, step.before, "before "+step.args[0]+" "+step.args[1])
		}
		r := command(t, step.args...)
		fmt.Fprintf(&said, "# %s: status %d\n", step.words, r.status)
		if r.status == 0 {
			said.WriteString(step.kept(steady(r.stdout)))
		}
	}
	golden(t, "commands/fleet-and-works.txt", said.String())
}

// settingsDigest is what a pooler says of the settings of these tests.
const settingsDigest = "28005a1386a8c666"

// watch holds the names of what the management address shows of the pooler that takes part in everything.
func (p *pair) watch(t *testing.T) {
	t.Helper()
	look := func(path string) func() []string {
		return func() []string { return namesOf(p.first.call(http.MethodGet, path, "").body) }
	}
	goldenNames(t, "management/fleet.txt",
		having(".poolers[].heard_ms", ".databases[].words[].primary", ".poolers[].agrees"), look("/fleet"))
	goldenNames(t, "management/statements.txt",
		having(".ByCalls[].Calls", ".ByDisagreement[].Why", ".ByTime[].Cost.Typical"), look("/api/statements"))
	goldenNames(t, "management/telemetry.txt", having("app.door.tenants.default.refused"), func() (found []string) {
		for _, line := range strings.Split(p.first.call(http.MethodGet, "/api/telemetry", "").body, "\n") {
			name, _, _ := strings.Cut(line, "=")
			found = append(found, name)
		}
		return found
	})
	goldenNames(t, "management/counters.txt",
		having(".core.Fronts.postgres.report.Taken", ".door", ".store.config/n0", ".store.state/n0"),
		func() []string { return names(p.first.printed(func(map[string]any) bool { return true })) })
	require.Contains(t, p.first.call(http.MethodGet, "/fleet", "").body, `"settings":"`+settingsDigest+`"`,
		"poolers of two versions with the same settings have to say the same of them")
}

// step is a sub-command, and what has to be so before.
type step struct {
	before func() bool
	words  string // the command as the golden file shows it
	args   []string
}

// kept is the part of an output that is the same in each run: of one that watches, its last look.
func (s step) kept(output string) string {
	if !strings.Contains(s.words, "--watch") {
		return output
	}
	return output[max(0, strings.LastIndex(output, "plan ")):]
}

// course takes a replica out, by hand, and ends the plan.
func (p *pair) course(t *testing.T) []step {
	t.Helper()
	one, two := p.first.management, p.second.management
	machines := wish(t, "machines = [\"db-1\"]\nfresh = 1\nper_group = 1\nper_zone = 2\nin_all = 1\nmargin = 0.1\n"+
		"bears = 1000.0\nuntil = 2099-01-01T00:00:00Z\ngo_on = true\n")
	both := wish(t, "machines = [\"db-1\", \"db-2\"]\nfresh = 1\nin_all = 1\n")
	replace := map[string]string{"FILE": machines, "BOTH": both, "ADDR": one, "OTHER": two}
	is := func(state string) func() bool { return func() bool { return p.first.state("db-1") == state } }
	works := func(before func() bool, words ...string) step {
		s := step{before: before, words: strings.Join(append([]string{"works"}, words...), " "), args: []string{"works"}}
		for _, word := range words {
			s.args = append(s.args, cmp.Or(replace[word], word))
		}
		return s
	}
	showsWorks := func() bool {
		goldenNames(t, "management/works.txt", having(".steps[].hooks", ".look.machines.n1.life", ".off"), func() []string {
			return namesOf(p.first.call(http.MethodGet, "/works?bears=1000", "").body)
		})
		goldenNames(t, "commands/works-status.txt", having(".pooler.steps[].hooks", ".agreed"), func() []string {
			return namesOf(command(t, "works", "status", "--json", one).stdout)
		})
		goldenNames(t, "commands/works-history.txt", having("[].number", "[].machine"), func() []string {
			return namesOf(command(t, "works", "history", "--json", one).stdout)
		})
		goldenNames(t, "commands/fleet.txt", having(".poolers[].heard_ms"), func() []string {
			return namesOf(command(t, "fleet", "--json", one).stdout)
		})
		goldenNames(t, "commands/fleet-all.txt", having(), func() []string {
			return namesOf(command(t, "fleet", "--all", "--json", one).stdout)
		})
		return true
	}
	agreed := func() bool {
		r := command(t, "fleet", one)
		return r.status == 0 && strings.Contains(r.stdout, " yes ") && command(t, "fleet", "--all", one).status == 0
	}
	return []step{
		works(nil, "status", "ADDR"),
		works(nil, "history", "ADDR"),
		works(nil, "plan", "FILE", "ADDR"),
		works(nil, "start", "FILE", "OTHER"),
		works(nil, "start", "FILE", "ADDR"), // there is a plan
		works(is("free"), "status", "ADDR"),
		works(nil, "pause", "ADDR"),
		works(nil, "resume", "OTHER"),
		works(nil, "begin", "db-9", "ADDR"), // nobody has the name
		works(nil, "begin", "db-1", "ADDR"),
		works(func() bool { return is("at work")() && showsWorks() }, "status", "ADDR"),
		works(nil, "end", "db-1", "OTHER"),
		works(is("done"), "status", "--watch", "ADDR"),
		works(nil, "history", "ADDR"),
		works(nil, "start", "BOTH", "ADDR"),
		works(is("free"), "skip", "db-1", "ADDR"), // it is out already
		works(nil, "skip", "db-2", "ADDR"),
		works(nil, "abort", "ADDR"),
		works(nil, "forget", "n9", "ADDR"), // nobody has the name
		{before: agreed, words: "fleet ADDR", args: []string{"fleet", one}},
		{before: agreed, words: "fleet --all ADDR", args: []string{"fleet", "--all", one}},
		works(p.loses, "forget", "n1", "ADDR"),
	}
}

// loses kills the second pooler, and tells whether the first one takes it for gone.
func (p *pair) loses() bool {
	_ = p.second.process.Process.Kill() // again and again: it may have ended
	return p.first.live() == "n0"
}

// unsteady are the parts of an output that differ from run to run, each with what stands for it.
var unsteady = []struct {
	pattern *regexp.Regexp
	mask    string
}{
	{regexp.MustCompile(`\d{8}T\d{6}-[0-9a-f]+`), "PLAN"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d+`), "WHEN"},
	{regexp.MustCompile(`127\.[\d.]+:\d+`), "ADDR"},
	{regexp.MustCompile(`\b[0-9a-f]{16}\b`), "DIGEST"},
	{regexp.MustCompile(`(\d+h)?(\d+m)?\b\d+(\.\d+)?(ms|s)\b`), "TIME"},
	{regexp.MustCompile(`\d+ facts`), "N facts"},
	{regexp.MustCompile(`(load|connections|groups)=\S+`), "$1=N"},
	{regexp.MustCompile(`version=\S+`), "version=V"},
	{regexp.MustCompile(`(?m)^(n\d DIGEST .* whole) \d+`), "$1 N"},
	{regexp.MustCompile(`(?s)(DATABASE IS SAID TO BY\n).*`), "$1"},
}

// steady masks what differs from run to run: times, addresses, digests, the widths of columns, and which databases
// poolers have something to say of just then.
func steady(text string) string {
	text = regexp.MustCompile(` +`).ReplaceAllString(text, " ")
	text = regexp.MustCompile(`(?m) $`).ReplaceAllString(text, "")
	for _, u := range unsteady {
		text = u.pattern.ReplaceAllString(text, u.mask)
	}
	return text
}
