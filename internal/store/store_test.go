package store_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// read returns what a pooler's store holds, nil if it does not answer.
func read(api string) map[string]json.RawMessage {
	answer, err := http.Get("http://" + api + "/v1/store")
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	var all map[string]json.RawMessage
	if json.NewDecoder(answer.Body).Decode(&all) != nil {
		return nil
	}
	return all
}

func put(api, key, value string) int {
	request, _ := http.NewRequest(http.MethodPut, "http://"+api+"/v1/store/"+key, strings.NewReader(value))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// With no peers and no disk it works alone, and no request needs it.
func TestAlone(t *testing.T) {
	api := testbed.Free(t)
	b := testbed.Start(t, testbed.WithTables(fmt.Sprintf("[store]\nenabled = true\napi = %q\n", api)))
	require.True(t, b.Client().Ask(b.Statement("write", "a", time.Second)).Complete)
	b.Eventually(func() bool { return strings.Contains(string(read(api)["state/n0"]), `"Served":1`) }, "the state")
	require.Contains(t, string(read(api)["config/n0"]), `"classes":["read","report","write"]`)
	require.Equal(t, http.StatusNoContent, put(api, "note", `{"by":"an operator"}`))
	require.JSONEq(t, `{"by":"an operator"}`, string(read(api)["note"]))
	require.Equal(t, http.StatusBadRequest, put(api, "note", `{`))
	require.Equal(t, http.StatusBadRequest, put(api, "note", `"`+strings.Repeat("x", 1<<20)+`"`))
}

// Three poolers know of each other, also after one has died and come back; each serves without the others.
func TestPeers(t *testing.T) {
	var apis, files []string
	peers := ""
	for i := range 3 {
		listen, api := testbed.Free(t), testbed.Free(t)
		apis = append(apis, api)
		files = append(files, fmt.Sprintf("enabled = true\nlisten = %q\napi = %q\ndir = %q\n", listen, api, t.TempDir()))
		peers += fmt.Sprintf("[[store.peers]]\nname = \"n%d\"\nlisten = %q\napi = %q\n", i, listen, api)
	}
	start := func(i int) *testbed.Bed {
		return testbed.Start(t, testbed.WithName(fmt.Sprintf("n%d", i)),
			testbed.WithTables("[store]\n"+files[i]+peers))
	}
	first := start(0) // alone of three: it has no majority, and serves
	require.True(t, first.Client().Ask(first.Statement("write", "a", time.Second)).Complete)
	start(1)
	start(2)
	all := func(i int) func() bool {
		return func() bool {
			got := read(apis[i])
			return got["state/n0"] != nil && got["state/n1"] != nil && got["state/n2"] != nil
		}
	}
	for i := range 3 {
		first.Eventually(all(i), "every pooler knows of every other")
	}
	first.Signal(syscall.SIGKILL)
	first.Wait()
	first.Eventually(func() bool { return put(apis[1], "note", `1`) == http.StatusNoContent }, "two of three go on")
	again := start(0)
	again.Eventually(func() bool { return string(read(apis[0])["note"]) == `1` }, "it catches up")
}
