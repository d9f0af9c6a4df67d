package contract_test

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// stored holds what a program of the time wrote. It stays as it is: a version that stores otherwise gets a folder of
// its own beside it, and reads both.
const stored = "testdata/stored/1"

// storeTable turns a store on that is kept in a folder.
func storeTable(t *testing.T, dir string, api *string) string {
	*api = freeAddress(t)
	return fmt.Sprintf("[store]\nenabled = true\napi = %q\ndir = %q\n", *api, filepath.Join(dir, "store"))
}

// threeDatabases are a primary and two replicas.
func threeDatabases(t *testing.T) *catalog {
	return newCatalog(t, newStandIn(t, "db-0", true), newStandIn(t, "db-1", false), newStandIn(t, "db-2", false))
}

// unpack copies a stored folder; files that end in .gz are unpacked.
func unpack(t *testing.T, from, to string) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, name)
		if entry.IsDir() {
			return os.MkdirAll(target, 0o700)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.HasSuffix(target, ".gz") {
			target, text = strings.TrimSuffix(target, ".gz"), gunzip(t, path)
		}
		return os.WriteFile(target, text, 0o600)
	}))
}

func gunzip(t *testing.T, path string) []byte {
	t.Helper()
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	z, err := gzip.NewReader(f)
	require.NoError(t, err)
	text, err := io.ReadAll(z)
	require.NoError(t, err)
	return text
}

// Bans that were kept hold in a program that starts, and can be taken back.
func TestStoredBans(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	unpack(t, stored+"/bans", dir)
	p := startPooler(t, "n0", dir, threeDatabases(t), func() string { return "" })
	unavailable := func(n int) func() bool {
		return func() bool {
			telemetry := p.call(http.MethodGet, "/api/telemetry", "").body
			return strings.Contains(telemetry, fmt.Sprintf("app.members_unavailable=%d\n", n))
		}
	}
	eventually(t, unavailable(1), "the ban holds")
	include := func() bool { return p.call(http.MethodPut, "/api/include/db-2", "").status == http.StatusOK }
	eventually(t, include, "the ban is taken back")
	eventually(t, unavailable(0), "the ban is over")
}

// The claim of a process that lives beside another, which starts: that takes no more descriptors than are left.
func TestStoredClaim(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	unpack(t, stored+"/claims", dir)
	written, err := filepath.Glob(filepath.Join(dir, "capercove-share-n0.*"))
	require.NoError(t, err)
	require.Len(t, written, 1)
	claim := filepath.Join(dir, "capercove-share-n0.1") // the number of a process that can't be another pooler's
	require.NoError(t, os.Rename(written[0], claim))
	held, err := os.Open(claim)
	require.NoError(t, err)
	defer held.Close()
	require.NoError(t, unix.Flock(int(held.Fd()), unix.LOCK_EX), "as the process that wrote it does while it lives")
	p := startPooler(t, "n0", dir, threeDatabases(t), func() string { return "" }, inheriting)
	const left = 128 // of 1024 that the platform grants: the claim is for 896
	p.printed(func(counters map[string]any) bool { return counters["takes"] == float64(left) })
	require.NoError(t, held.Close())
	p.printed(func(counters map[string]any) bool { return counters["takes"].(float64) > left })
	_, err = os.Stat(claim)
	require.ErrorIs(t, err, os.ErrNotExist, "what a dead process has left behind is removed")
}

// A pooler that restarts finds another through the file that it has kept, with no seed. As addresses are forgotten
// after a week, the test writes its own time into the file, and the address of the other pooler, and the checksum anew.
func TestStoredMembers(t *testing.T) {
	t.Parallel()
	var fleet string
	list := threeDatabases(t)
	startPooler(t, "n0", t.TempDir(), list, func() string {
		fleet = freeAddress(t)
		return fleetTable(fleet, "")
	})
	dir := t.TempDir()
	unpack(t, stored+"/fleet", dir)
	path := filepath.Join(dir, "fleet-members")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	body, sum, found := strings.Cut(string(text), "\nsum ")
	require.True(t, found)
	require.Equal(t, checksum(body), strings.TrimSpace(sum), "as the program wrote it")
	member := regexp.MustCompile(`(?m)^("n0") \S+ \d+$`)
	require.True(t, member.MatchString(body), body)
	body = member.ReplaceAllString(body, fmt.Sprintf("$1 %s %d", fleet, time.Now().UnixMilli()))
	require.NoError(t, os.WriteFile(path, []byte(body+"\nsum "+checksum(body)+"\n"), 0o600))
	second := startPooler(t, "n1", t.TempDir(), list, func() string {
		return fleetTable(freeAddress(t), fmt.Sprintf("dir = %q", dir))
	})
	eventually(t, func() bool { return second.live() == "n0 n1" }, "n1 finds n0")
}

func checksum(body string) string {
	return fmt.Sprintf("%08x", crc32.Checksum([]byte(body), crc32.MakeTable(crc32.Castagnoli)))
}

// The store's log, with a plan under way in the record: the machine that is at work stays off, and the plan goes on.
func TestStoredPlan(t *testing.T) {
	t.Parallel()
	dir, api := t.TempDir(), ""
	unpack(t, stored+"/works", filepath.Join(dir, "store"))
	p := startPooler(t, "n0", dir, threeDatabases(t), func() string {
		return storeTable(t, dir, &api) + fleetTable(freeAddress(t), "") + "[works]\nenabled = true\n" + quickWorks
	})
	eventually(t, func() bool { return p.state("db-1") == "at work" }, "the record is read")
	var shown struct {
		Off  []string `json:"off"`
		Plan struct {
			State  string `json:"state"`
			Number int    `json:"number"`
			Wish   struct {
				Machines []string `json:"machines"`
				Bears    float64  `json:"bears"`
			} `json:"wish"`
		} `json:"plan"`
	}
	eventually(t, func() bool {
		return json.Unmarshal([]byte(p.call(http.MethodGet, "/works", "").body), &shown) == nil && len(shown.Off) > 0
	}, "it is off")
	require.Equal(t, []string{"db-1"}, shown.Off)
	require.Equal(t, "running", shown.Plan.State)
	require.Equal(t, 1, shown.Plan.Number)
	require.Equal(t, []string{"db-1", "db-2"}, shown.Plan.Wish.Machines)
	require.InDelta(t, 1000, shown.Plan.Wish.Bears, 0)
	history := command(t, "works", "history", p.management)
	for _, line := range []string{"operator: plan PLAN of 2 machines", "n0: db-1 free", "operator: db-1 at work"} {
		require.Contains(t, steady(history.stdout), line)
	}
	r := command(t, "works", "end", "db-1", p.management)
	require.Equal(t, result{stdout: "db-1 back\n"}, r)
}

// The store's snapshot, and its log behind that: values, revisions, and requests that were answered already.
func TestStoredSnapshot(t *testing.T) {
	t.Parallel()
	dir, api := t.TempDir(), ""
	unpack(t, stored+"/store-snapshot", filepath.Join(dir, "store"))
	startPooler(t, "n0", dir, threeDatabases(t), func() string { return storeTable(t, dir, &api) })
	read := func() string { return call(t, "POST", "http://"+api+"/v1/read", `["contract/"]`).body }
	want := `"values":{"contract/a":{"revision":2,"value":1},"contract/after":{"revision":8418,"value":"the snapshot"},` +
		`"contract/filler":{"revision":8328,"value":0},"contract/first":{"revision":1,"value":"kept"},` +
		`"contract/last":{"revision":8329,"value":"before the snapshot"}}}` + "\n"
	eventually(t, func() bool { return strings.HasSuffix(read(), want) }, "the values")
	again := call(t, "POST", "http://"+api+"/v1/change", `{"id":"once","set":{"contract/a":2}}`)
	require.Equal(t, `{"revision":2,"applied":true}`+"\n", again.body, "answered as before, and not applied again")
	require.True(t, strings.HasSuffix(read(), want))
	since := call(t, "GET", "http://"+api+"/v1/watch?name=contract/&after=2", "").body
	require.Contains(t, since, `"deleted":["contract/b"]`)
	require.NotContains(t, since, `"whole"`)
}
