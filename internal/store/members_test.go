package store_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/store"
	"capercove/internal/testbed"
)

// membersCall is the body of a call that changes the members.
type membersCall struct {
	Add    *store.Peer `json:"add,omitempty"`
	Remove string      `json:"remove,omitempty"`
}

// voters are the members that vote, as a store tells.
func voters(api string) []string {
	var members []store.Member
	if !get(api, membersPath, &members) {
		return nil
	}
	var names []string
	for _, member := range members {
		if member.Voter {
			names = append(names, member.Name)
		}
	}
	return names
}

// changeMembers repeats a call at a pooler until these members vote. An answer may come too late; the voters show what
// the call came to.
func changeMembers(fleet *testbed.Fleet, at string, call membersCall, want ...string) {
	fleet.T.Helper()
	fleet.Beds[at].Eventually(func() bool {
		post(fleet.API(at), membersPath, call, new([]store.Member))
		return slices.Equal(voters(fleet.API(at)), want)
	}, fmt.Sprint("the members are ", want))
}

// A member that dies for good is replaced: another is added, which votes once it holds what the others hold, and the
// dead one is removed. After that the record outlives one of the first members. What cannot be done is refused.
func TestReplaceMember(t *testing.T) {
	fleet := testbed.NewStores(t, 40, 3, 2)
	for _, name := range fleet.Names[:3] {
		fleet.Start(name)
	}
	waitForLeader(fleet, fleet.Names[:3]...)
	for i := range 50 {
		set(fleet.Beds["n0"], fleet.API("n0"), fmt.Sprint("k", i), fmt.Sprint(i))
	}
	refused := func(call membersCall) bool {
		return !post(fleet.API("n1"), membersPath, call, new([]store.Member))
	}
	require.True(t, refused(membersCall{}), "no change is named")
	require.True(t, refused(membersCall{Remove: "n9"}), "nobody has the name")

	fleet.Kill("n0")
	waitForLeader(fleet, "n1", "n2")
	fleet.Start("n3")
	added := &store.Peer{Name: "n3", Listen: fleet.Public("n3"), API: fleet.API("n3")}
	changeMembers(fleet, "n1", membersCall{Add: added}, "n0", "n1", "n2", "n3")
	held := readLocal(fleet.API("n3"))
	for i := range 50 {
		require.Equal(t, fmt.Sprint(i), string(held[fmt.Sprint("k", i)]), "it had all before it voted")
	}
	changeMembers(fleet, "n1", membersCall{Remove: "n0"}, "n1", "n2", "n3")

	fleet.Kill("n2")
	waitForLeader(fleet, "n1", "n3") // two of three, one of them new: it forwards calls, and gets some forwarded
	set(fleet.Beds["n3"], fleet.API("n3"), "after", "1")
	fleet.Restart("n2")
	fleet.Beds["n2"].Eventually(func() bool {
		return string(readLocal(fleet.API("n2"))["after"]) == "1"
	}, "it catches up")
	fleet.Kill("n3")
	fleet.Restart("n3")
	waitForLeader(fleet, "n1", "n2", "n3")
}

// leaderOf waits until all poolers of a fleet name the same member as the one that leads, and returns it.
func leaderOf(fleet *testbed.Fleet) (leader string) {
	fleet.T.Helper()
	fleet.Beds[fleet.Names[0]].Eventually(func() bool {
		leaders := map[string]bool{}
		for _, name := range fleet.Names {
			leader = namedLeader(fleet.API(name))
			leaders[leader] = true
		}
		return leader != "" && len(leaders) == 1
	}, "all know one leader")
	return leader
}

// namedLeader is the member that leads as a store tells, none if it knows of none or does not answer.
func namedLeader(api string) string {
	var members []store.Member
	if !get(api, membersPath, &members) {
		return ""
	}
	for _, member := range members {
		if member.Leads {
			return member.Name
		}
	}
	return ""
}

// A member whose disk takes nothing more can store nothing: the others go on without it, it serves requests, and it
// catches up when there is room. A limit on the size of its files stands for the disk. It is the leader, as that is the
// worst case.
func TestDiskFull(t *testing.T) {
	fleet := startStores(t, 41)
	leader := leaderOf(fleet)
	bed := fleet.Beds[leader]
	bed.FileLimit(1)
	others := slices.DeleteFunc(slices.Clone(fleet.Names), func(name string) bool { return name == leader })
	value := `"` + strings.Repeat("x", 10_000) + `"`
	bed.Eventually(func() bool {
		for i := range 20 {
			if put(fleet.API(others[0]), fmt.Sprint("large", i), value) != http.StatusNoContent {
				return false
			}
		}
		return true
	}, "the others go on")
	requireWriteServed(t, bed, testbed.Timeout)
	bed.FileLimit(0)
	bed.Eventually(func() bool { return len(readLocal(fleet.API(leader))["large19"]) > 0 }, "it catches up")
	waitForLeader(fleet, fleet.Names...)
}
