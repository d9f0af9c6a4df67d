package mixed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/store"
	"capercove/internal/testbed"
)

// Names of the keys that these tests set; poolers set others of their own.
const (
	keyPrefix   = "mixed/"
	deletedKey  = keyPrefix + "deleted"
	writtenKeys = 50
	callTimeout = time.Second // of a call that is repeated
)

// stores calls the APIs of some stores through the shipped client.
type stores struct {
	bed    *testbed.Bed // to wait with
	client *store.Client
}

func callStores(bed *testbed.Bed, apis ...string) stores {
	return stores{bed: bed, client: store.NewClient(apis, callTimeout, nil)}
}

// change applies a change, again under the same ID while there is no answer.
func (s stores) change(change store.Change) (outcome store.Outcome) {
	s.bed.T.Helper()
	s.bed.Eventually(func() bool {
		var err error
		outcome, err = s.client.Change(context.Background(), change)
		return err == nil
	}, "the change "+change.ID)
	return outcome
}

// set sets a key under an ID that is made of key and value.
func (s stores) set(key, value string) {
	s.bed.T.Helper()
	set := map[string]json.RawMessage{keyPrefix + key: json.RawMessage(value)}
	outcome := s.change(store.Change{ID: key + "=" + value, Set: set})
	require.True(s.bed.T, outcome.Applied, key)
}

// read is a linearizable read of all keys of these tests.
func (s stores) read() (values map[string]store.Value) {
	s.bed.T.Helper()
	s.bed.Eventually(func() bool {
		read, err := s.client.Read(context.Background(), keyPrefix)
		values = read.Values
		return err == nil
	}, "a read")
	return values
}

// deletedSince returns which keys of these tests have been deleted since a revision.
func (s stores) deletedSince(revision uint64) []string {
	s.bed.T.Helper()
	changes, err := s.client.Watch(context.Background(), keyPrefix, revision, 0)
	require.NoError(s.bed.T, err)
	require.False(s.bed.T, changes.Complete, "the deletions are remembered")
	return changes.Deleted
}

// requireHeld requires that a store holds these values with their revisions, answers a change that was made before as
// it did then without making it again, and still knows which key was deleted.
func (s stores) requireHeld(values map[string]store.Value, made store.Change, answered store.Outcome) {
	s.bed.T.Helper()
	require.Equal(s.bed.T, values, s.read())
	require.Equal(s.bed.T, answered, s.change(made), "it was answered before")
	require.Equal(s.bed.T, values, s.read(), "it is not made again")
	require.Equal(s.bed.T, []string{deletedKey}, s.deletedSince(answered.Revision))
}

// The directory of a store that one build has written is read by the other, with all values, their revisions, answers
// and deletions; the other writes on, and the first one reads that. A process ends by a kill or in an orderly way.
func TestStoreDirectory(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		api := testbed.ReserveAddress(t)
		bed := testbed.Start(t, testbed.WithProgram(order.first),
			testbed.WithTables(fmt.Sprintf("[store]\nenabled = true\napi = %q\ndir = %q\n", api, t.TempDir())))
		calls := callStores(bed, api)
		first := store.Change{ID: "first", Set: map[string]json.RawMessage{
			keyPrefix + "first": json.RawMessage(`{"text":"kept"}`),
			deletedKey:          json.RawMessage(`null`),
		}}
		answered := calls.change(first)
		require.True(t, answered.Applied)
		for i := range writtenKeys {
			calls.set(fmt.Sprint("key", i), fmt.Sprintf("%q", strings.Repeat("x", i*100)))
		}
		require.True(t, calls.change(store.Change{ID: "delete", Delete: []string{deletedKey}}).Applied)
		written := calls.read()
		require.Len(t, written, writtenKeys+1)
		bed.Signal(syscall.SIGKILL)
		require.ErrorContains(t, bed.Wait(), "killed")

		replaceProgram(bed, order.second)
		bed.Run()
		calls.requireHeld(written, first, answered)
		condition := map[string]uint64{keyPrefix + "first": answered.Revision}
		conditional := store.Change{ID: "conditional", If: condition, Set: map[string]json.RawMessage{
			keyPrefix + "first": json.RawMessage(`"changed"`),
		}}
		require.True(t, calls.change(conditional).Applied, "the revision still holds")
		conditional.ID = "too late"
		late := calls.change(conditional)
		require.False(t, late.Applied)
		require.Equal(t, []string{keyPrefix + "first"}, late.Failed)
		calls.set("after", "1")
		written = calls.read()
		require.Len(t, written, writtenKeys+2)
		bed.Signal(syscall.SIGTERM)
		require.NoError(t, bed.Wait())

		replaceProgram(bed, order.first)
		bed.Run()
		calls.requireHeld(written, first, answered)
	})
}

// namedLeader returns the member that leads as a store says; empty: it knows of none, or does not answer.
func namedLeader(t *testing.T, api string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+api+"/v1/members", http.NoBody)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }() // it was only read
	var members []store.Member
	if json.NewDecoder(response.Body).Decode(&members) != nil {
		return ""
	}
	leads := slices.IndexFunc(members, func(member store.Member) bool { return member.Leads })
	if leads < 0 {
		return ""
	}
	return members[leads].Name
}

// awaitLeader waits until these members name the same one of them as the leader, and returns it.
func awaitLeader(fleet *testbed.Fleet, names ...string) (leader string) {
	fleet.T.Helper()
	fleet.Beds[names[0]].Eventually(func() bool {
		leader = namedLeader(fleet.T, fleet.API(names[0]))
		for _, name := range names[1:] {
			if namedLeader(fleet.T, fleet.API(name)) != leader {
				return false
			}
		}
		return slices.Contains(names, leader)
	}, fmt.Sprintf("%v know one leader", names))
	return leader
}

// requireReplicated sets a key through each of these members and reads it at all of them, from the leader and from
// what each one holds itself.
func requireReplicated(fleet *testbed.Fleet, what string, names ...string) {
	fleet.T.Helper()
	for _, writer := range names {
		key, value := what+"/"+writer, fmt.Sprintf("%q", what+writer)
		callStores(fleet.Beds[writer], fleet.API(writer)).set(key, value)
		for _, reader := range names {
			bed := fleet.Beds[reader]
			calls := callStores(bed, fleet.API(reader))
			read := string(calls.read()[keyPrefix+key].Value)
			require.Equal(fleet.T, value, read, "%s reads what %s wrote", reader, writer)
			bed.Eventually(func() bool { return holds(calls, keyPrefix+key, value) }, reader+" holds "+key)
		}
	}
}

// holds returns whether the store that is called has a value of a key at hand.
func holds(calls stores, key, value string) bool {
	changes, err := calls.client.Watch(context.Background(), key, 0, 0)
	return err == nil && string(changes.Values[key].Value) == value
}

// without returns the names that are not the excluded one, in the same order.
func without(names []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == excluded })
}

// Three members of mixed builds have one record: a write through any is read on all. The leader is killed or ends, one
// of the others leads, writes go on, and the one that is back holds what was written meanwhile.
func TestMixedStore(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		fleet := testbed.NewStores(t, 64, 3, 0)
		startAlternating(fleet, order)
		leader := awaitLeader(fleet, fleet.Names...)
		requireReplicated(fleet, "begun", fleet.Names...)
		for i, stop := range []func(name string){fleet.Kill, fleet.Terminate} {
			stop(leader)
			others := without(fleet.Names, leader)
			next := awaitLeader(fleet, others...)
			what := fmt.Sprint("stopped ", i)
			requireReplicated(fleet, what, others...)
			fleet.Restart(leader)
			awaitLeader(fleet, fleet.Names...)
			requireReplicated(fleet, fmt.Sprint("all again ", i), fleet.Names...)
			back := callStores(fleet.Beds[leader], fleet.API(leader))
			for _, name := range others {
				key := keyPrefix + what + "/" + name
				fleet.Beds[leader].Eventually(func() bool {
					return holds(back, key, fmt.Sprintf("%q", what+name))
				}, leader+" catches up")
			}
			leader = awaitLeader(fleet, fleet.Names...)
			t.Logf("stop %d: %s led after it, and %s once all ran again", i, next, leader)
		}
	})
}

// Each build leads a member of the other one. Of three members one misses writes while it is down, so that it cannot
// lead after it: with it and one other member alone, that one leads, and has it catch up.
func TestEachBuildLeads(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		fleet := testbed.NewStores(t, 65, 3, 0)
		startAlternating(fleet, order) // n0 and n2 run the first program, n1 the second one
		awaitLeader(fleet, fleet.Names...)
		fleet.Kill("n1")
		awaitLeader(fleet, "n0", "n2")
		requireReplicated(fleet, "missed by n1", "n0", "n2")
		fleet.Kill("n2")
		fleet.Restart("n1")
		require.Equal(t, "n0", awaitLeader(fleet, "n0", "n1"))
		requireReplicated(fleet, "led by n0", "n0", "n1")

		fleet.Kill("n0")
		fleet.Restart("n2") // it has missed what n0 and n1 wrote
		require.Equal(t, "n1", awaitLeader(fleet, "n1", "n2"))
		requireReplicated(fleet, "led by n1", "n1", "n2")
		fleet.Restart("n0")
		awaitLeader(fleet, fleet.Names...)
		requireReplicated(fleet, "all", fleet.Names...)
		held := callStores(fleet.Beds["n0"], fleet.API("n0")).read()
		require.Len(t, held, 2+2+2+3, "what each pair and all three have written")
	})
}
