package store_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/store"
	"capercove/internal/testbed"
)

// startAlone starts a pooler whose store stands alone, on disk.
func startAlone(t *testing.T, options ...testbed.Option) (b *testbed.Bed, api, dir string) {
	api, dir = testbed.Free(t), t.TempDir()
	table := testbed.WithTables(fmt.Sprintf("[store]\nenabled = true\napi = %q\ndir = %q\n", api, dir))
	return testbed.Start(t, append(options, table)...), api, dir
}

// writer changes keys of its own one after the other, and knows what was acknowledged.
type writer struct {
	key          string
	tried, acked int
}

// write goes on until the store does not answer.
func (w *writer) write(api string) {
	for {
		w.tried++
		change := store.Change{Set: map[string]json.RawMessage{
			w.key:         json.RawMessage(strconv.Itoa(w.tried)),
			w.key + "pad": json.RawMessage(`"` + strings.Repeat("x", w.tried%5000) + `"`),
		}}
		if !call(api, "/v1/change", change, new(store.Outcome)) {
			return
		}
		w.acked = w.tried
	}
}

// A pooler is killed at any moment of its writes, again and again, and at times leaves half a snapshot: what was
// acknowledged is there after each start, and each change is there as a whole.
func TestKilledWhileWriting(t *testing.T) {
	random := rand.New(rand.NewPCG(36, 2))
	b, api, dir := startAlone(t)
	writers := []*writer{{key: "a"}, {key: "b"}, {key: "c"}}
	for life := range 12 {
		b.Eventually(func() bool { return call(api, "/v1/read", []string{"a"}, new(store.Values)) }, "it leads")
		held := read(api)
		for _, w := range writers {
			var value int
			if held[w.key] != nil {
				require.NoError(t, json.Unmarshal(held[w.key], &value))
			}
			require.GreaterOrEqual(t, value, w.acked, "life %d: %s", life, w.key)
			require.LessOrEqual(t, value, w.tried, "life %d: %s", life, w.key)
			if value > 0 {
				require.Len(t, held[w.key+"pad"], value%5000+2, "life %d: the change is whole", life)
			}
		}
		half := filepath.Join(dir, "snapshots", "1-1-1.tmp")
		require.NoDirExists(t, half)
		var writing sync.WaitGroup
		for _, w := range writers {
			writing.Go(func() { w.write(api) })
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond) // the moment is any; what holds does not depend on it
		require.NoError(t, b.Process().Kill())
		b.Wait()
		writing.Wait()
		require.NoError(t, os.MkdirAll(half, 0o700))
		b.Run()
	}
	require.Positive(t, writers[0].acked)
}

// On a disk that takes nothing a pooler starts and serves; its store begins once there is room.
func TestStartOnFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "limited")
	require.NoError(t, os.WriteFile(path, []byte("#!/bin/sh\nulimit -S -f 0\nexec "+testbed.Binary(t)+"\n"), 0o700))
	b, api, _ := startAlone(t, testbed.WithProgram(path))
	require.True(t, b.Client().Ask(b.Statement("write", "a", testbed.Patience)).Complete, "it serves")
	require.Nil(t, read(api))
	b.FileLimit(0)
	b.Eventually(func() bool { return put(api, "k", "1") == 204 }, "the store begins")
	b.Eventually(func() bool { return strings.Contains(string(read(api)["state/n0"]), `"Served":1`) }, "what waited is there")
}
