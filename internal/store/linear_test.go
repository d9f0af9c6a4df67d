package store_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/store"
	"capercove/internal/testbed"
)

// call posts to a store; false: nobody knows whether it was done.
func call(api, path string, body, into any) bool {
	text, _ := json.Marshal(body)
	answer, err := (&http.Client{Timeout: time.Second}).Post("http://"+api+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(into) == nil
}

// in and out are of one operation on a key.
type in struct {
	write bool
	key   string
	at    uint64 // the revision that a write is conditional on
	value string
}

type out struct {
	applied  bool
	revision uint64
	value    string
}

// register is a value with the revision at which it was set.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string][]porcupine.Operation{}
		for _, o := range history {
			by[o.Input.(in).key] = append(by[o.Input.(in).key], o)
		}
		for _, part := range by {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return out{} },
	Step: func(state, input, output any) (bool, any) {
		s, i, o := state.(out), input.(in), output.(out)
		switch {
		case !i.write:
			return o.revision == s.revision && o.value == s.value, s
		case i.at != s.revision:
			return !o.applied, s
		}
		return o.applied, out{revision: o.revision, value: i.value}
	},
}

func startStores(t *testing.T, seed uint64) *testbed.Fleet {
	f := testbed.NewStores(t, seed, 3, 0)
	f.StartAll()
	led(f, f.Names...)
	return f
}

// get reads from a store.
func get(api, path string, into any) bool {
	answer, err := (&http.Client{Timeout: time.Second}).Get("http://" + api + path)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(into) == nil
}

// led waits until these answer a read that needs a majority.
func led(f *testbed.Fleet, names ...string) {
	for _, name := range names {
		f.Beds[name].Eventually(func() bool {
			var a map[string]any
			return call(f.API(name), "/v1/read", []string{"k0"}, &a)
		}, name+" knows a leader")
	}
}

// Poolers are killed, stopped and restarted, and the links between their stores cut, by a schedule from a seed, while clients change
// and read two keys at any of them. Each change is repeated under its id until it is answered. The history is linearizable: nothing
// was applied twice, no condition was passed over and no read was old.
func TestLinearizable(t *testing.T) {
	first, last := uint64(0), uint64(1)
	if more := os.Getenv("STORE_SEEDS"); more != "" { // "20-60"
		_, err := fmt.Sscanf(more, "%d-%d", &first, &last)
		require.NoError(t, err)
	}
	for seed := first; seed < last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := startStores(t, seed)
			var mu sync.Mutex
			var history []porcupine.Operation
			var tried, over atomic.Int64
			var clients sync.WaitGroup
			begun := time.Now()
			for c := range 4 {
				clients.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(c)))
					known := map[string]uint64{}
					for n := 0; over.Load() == 0; n++ {
						i := in{write: random.IntN(2) == 0, key: fmt.Sprint("k", random.IntN(2)), value: fmt.Sprintf(`"%d-%d"`, c, n)}
						i.at = known[i.key]
						var o out
						from := time.Since(begun).Nanoseconds()
						for done := false; !done; {
							api := f.API(f.Names[random.IntN(3)])
							if tried.Add(1); i.write {
								var answer store.Outcome
								done = call(api, "/v1/change", store.Change{
									ID: i.value, If: map[string]uint64{i.key: i.at},
									Set: map[string]json.RawMessage{i.key: json.RawMessage(i.value)},
								}, &answer)
								o = out{applied: answer.Applied, revision: answer.Revision}
							} else {
								var answer struct{ Values map[string]store.Value }
								done = call(api, "/v1/read", []string{i.key}, &answer)
								v := answer.Values[i.key]
								o = out{revision: v.Revision, value: string(v.Value)}
							}
							if !done {
								time.Sleep(20 * time.Millisecond) // a store that is down answers at once
							}
						}
						if !i.write || o.applied {
							known[i.key] = o.revision
						}
						mu.Lock()
						history = append(history, porcupine.Operation{ClientId: c, Input: i, Call: from, Output: o, Return: time.Since(begun).Nanoseconds()})
						mu.Unlock()
						time.Sleep(10 * time.Millisecond) // so that a history can be checked
					}
				})
			}
			for _, step := range faults.Plan(seed, f.Names, 8) {
				if step.What != faults.Garble { // raft's transport has no checksums
					f.Do(step)
				}
				until := tried.Load() + 20 // calls, answered or not
				f.Beds["n0"].Eventually(func() bool { return tried.Load() >= until }, "clients go on")
			}
			led(f, f.Names...)
			over.Store(1)
			clients.Wait()
			applied := 0
			for _, o := range history {
				if o.Output.(out).applied {
					applied++
				}
			}
			t.Logf("seed %d: %d operations, %d changes applied", seed, len(history), applied)
			require.Positive(t, applied)
			require.True(t, porcupine.CheckOperations(register, history), "the history is not linearizable")
		})
	}
}

// A read of what one pooler has at hand, as it is documented, may be old, and the check finds that: it is not blind.
func TestOldReadIsFound(t *testing.T) {
	f := startStores(t, 99)
	var history []porcupine.Operation
	now := int64(0)
	add := func(i in, o out) {
		history = append(history, porcupine.Operation{Input: i, Call: now, Output: o, Return: now + 1})
		now += 2
	}
	change := func(api string, at uint64, value string) (o store.Outcome) {
		f.Beds["n0"].Eventually(func() bool {
			return call(api, "/v1/change", store.Change{
				ID: value, If: map[string]uint64{"k": at},
				Set: map[string]json.RawMessage{"k": json.RawMessage(value)},
			}, &o)
		}, "a majority answers")
		require.True(t, o.Applied)
		add(in{write: true, key: "k", at: at, value: value}, out{applied: true, revision: o.Revision})
		return o
	}
	first := change(f.API("n0"), 0, `1`)
	f.Beds["n2"].Eventually(func() bool { return string(read(f.API("n2"))["k"]) == `1` }, "n2 has it")
	f.Net.Partition([]string{"n2"}, []string{"n0", "n1"})
	change(f.API("n0"), first.Revision, `2`)
	require.True(t, porcupine.CheckOperations(register, history))
	f.Beds["n2"].Eventually(func() bool {
		answer, err := http.Get("http://" + f.API("n2") + "/v1/store/k")
		require.NoError(t, err)
		answer.Body.Close()
		age, err := strconv.Atoi(answer.Header.Get("Capercove-Age-Ms"))
		return err == nil && age > 500 && answer.Header.Get("Capercove-Revision") != ""
	}, "it says how old that is")
	add(in{key: "k"}, out{revision: first.Revision, value: string(read(f.API("n2"))["k"])})
	require.False(t, porcupine.CheckOperations(register, history), "the old read is not found")
}
