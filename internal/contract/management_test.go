package contract_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// calls are made at a management address, one after the other.
var calls = []struct{ method, path string }{
	{"GET", "/api/ready"},
	{"HEAD", "/api/ready"},
	{"GET", "/api/telemetry"},
	{"GET", "/api/statements"},
	{"GET", "/fleet"},
	{"GET", "/works"},
	{"GET", "/works?bears=5.5"},
	{"GET", "/works?bears=odd"},
	{"GET", "/works?bears=-1"},
	{"PUT", "/api/exclude/db-1"},
	{"PUT", "/api/exclude/db-1"},
	{"PUT", "/api/include/db-1"},
	{"PUT", "/api/include/db-1"},
	{"PUT", "/api/exclude/odd"},
	{"PUT", "/api/include/odd"},
	{"GET", "/api/exclude/db-1"},
	{"POST", "/api/include/db-1"},
	{"POST", "/api/ready"},
	{"PUT", "/api/telemetry"},
	{"GET", "/"},
	{"GET", "/api"},
	{"GET", "/odd"},
}

// answersOf are the statuses, content types and short texts of all calls.
func answersOf(p *pooler) string {
	var all strings.Builder
	for _, c := range calls {
		var a answer
		eventually(p.t, func() bool { // who is told that the pooler is busy calls again
			a = p.call(c.method, c.path, "")
			return a.status != 0 && a.status != http.StatusServiceUnavailable
		}, c.path)
		fmt.Fprintf(&all, "%s %s: %d %s", c.method, c.path, a.status, a.header.Get("Content-Type"))
		if allow := a.header.Get("Allow"); allow != "" {
			fmt.Fprintf(&all, " Allow %s", allow)
		}
		short := strings.TrimSpace(a.body)
		if a.header.Get("Content-Type") != "application/json" && !strings.Contains(short, "\n") {
			fmt.Fprintf(&all, " %q", short)
		}
		all.WriteString("\n")
	}
	return all.String()
}

// The management address of a pooler with all subsystems off: paths, methods, statuses, content types and texts; that
// the counters are printed; and what discovery is asked.
func TestManagementAlone(t *testing.T) {
	t.Parallel()
	primary, replica := newStandIn(t, "db-0", true), newStandIn(t, "db-1", false)
	list := newCatalog(t, primary, replica)
	p := startPooler(t, "n0", t.TempDir(), list, func() string { return "" })
	golden(t, "management/alone.txt", answersOf(p))
	telemetry := p.call(http.MethodGet, "/api/telemetry", "").body
	require.NotContains(t, telemetry, "app.door.")
	require.Contains(t, telemetry, "app.members=2\n")
	counters := p.printed(func(map[string]any) bool { return true })
	for _, name := range []string{"door", "store", "statements", "flight", "takes"} {
		require.NotContains(t, counters, name)
	}
	p.log.reset()
	p.end()
	require.NotNil(t, p.counters(), "the counters are printed at the end")
	list.mu.Lock()
	defer list.mu.Unlock()
	require.Equal(t, "GET /catalog/members?watch=1&from=1", list.asked[0])
	for _, asked := range list.asked {
		require.Equal(t, list.asked[0], asked, "the known list goes on from its revision")
	}
}

// The store's API: paths, methods, statuses, headers, and answers.
func TestStoreAPI(t *testing.T) {
	t.Parallel()
	var api string
	p := startPooler(t, "n0", t.TempDir(), newCatalog(t, newStandIn(t, "db-0", true)), func() string {
		api = freeAddress(t)
		return fmt.Sprintf("[store]\nenabled = true\napi = %q\n", api)
	})
	at := "http://" + api
	put := func() bool { return call(t, "PUT", at+"/v1/store/contract/a", "1").status == http.StatusNoContent }
	eventually(t, put, "a leader")
	var all strings.Builder
	for _, c := range []struct{ method, path, body string }{
		{"GET", "/v1/store/contract/a", ""},
		{"GET", "/v1/store/contract/missing", ""},
		{"PUT", "/v1/store/contract/b", "odd"},
		{"PUT", "/v1/store/contract/", "1"},
		{"POST", "/v1/store/contract/a", "1"},
		{"POST", "/v1/change", `{"id":"x","set":{"contract/b":{"c":[1,2]}},"if":{"contract/b":0}}`},
		{"POST", "/v1/change", `{"id":"y","set":{"contract/b":2},"if":{"contract/b":0}}`},
		{"POST", "/v1/change", `{"id":"z","delete":["contract/b"]}`},
		{"POST", "/v1/change", `{"key":"contract/d","value":4}`},
		{"POST", "/v1/change", `{"set":{"contract/":1}}`},
		{"POST", "/v1/change", `{"odd":1}`},
		{"POST", "/v1/change", `odd`},
		{"GET", "/v1/change", ""},
		{"POST", "/v1/read", `["contract/"]`},
		{"POST", "/v1/read", `["contract/a","contract/missing"]`},
		{"POST", "/v1/read", `{"odd":1}`},
		{"GET", "/v1/watch?name=contract/&after=0&wait_ms=10", ""},
		{"GET", "/v1/watch?name=contract/&after=odd", ""},
		{"GET", "/v1/watch?name=contract/&wait_ms=odd", ""},
		{"GET", "/v1/watch?name=contract/&after=1000000", ""},
		{"GET", "/v1/watch?name=other/", ""},
		{"GET", "/v1/members", ""},
		{"POST", "/v1/members", `{}`},
		{"POST", "/v1/members", `{"remove":"n9"}`},
		{"POST", "/v1/members", `{"add":{"name":"n1","listen":"odd","api":"odd"}}`},
		{"GET", "/v1", ""},
	} {
		a := call(t, c.method, at+c.path, c.body)
		fmt.Fprintf(&all, "%s %s %s: %d %s", c.method, c.path, c.body, a.status, a.header.Get("Content-Type"))
		for _, header := range []string{"Capercove-Revision", "Capercove-Age-Ms"} {
			if a.header.Get(header) != "" {
				fmt.Fprintf(&all, " %s", header)
			}
		}
		fmt.Fprintf(&all, "\n\t%s\n", revisions.ReplaceAllString(strings.TrimSpace(a.body), "${1}N"))
	}
	golden(t, "management/store.txt", all.String())
	goldenNames(t, "management/store-all.txt", having(".config/n0.settings.Classes[].Read", ".state/n0.members"),
		func() []string { return namesOf(call(t, "GET", at+"/v1/store", "").body) })
	p.end()
}

// revisions are numbers that depend on what the pooler itself has stored meanwhile, and addresses of memory.
var revisions = regexp.MustCompile(`("revision":|"listen":)("[^"]*"|\d+)`)
