package store_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/store"
	"capercove/internal/testbed"
)

type membersCall struct {
	Add    *store.Peer `json:"add,omitempty"`
	Remove string      `json:"remove,omitempty"`
}

// A member that dies for good is replaced: another is added, which votes once it holds what the others hold, and the dead one is taken
// out. After that the record outlives one of those that were there from the start. What cannot be is turned down.
func TestReplaceMember(t *testing.T) {
	f := testbed.NewStores(t, 40, 3, 2)
	for _, name := range f.Names[:3] {
		f.Start(name)
	}
	led(f, f.Names[:3]...)
	for i := range 50 {
		require.Equal(t, 204, put(f.API("n0"), fmt.Sprint("k", i), fmt.Sprint(i)))
	}
	change := func(c membersCall) bool { return call(f.API("n1"), "/v1/members", c, new([]store.Member)) }
	insist := func(c membersCall, want ...string) {
		t.Helper()
		f.Beds["n1"].Eventually(func() bool {
			change(c) // whose answer may be late: what it comes to shows
			var all []store.Member
			var voters []string
			get(f.API("n1"), "/v1/members", &all)
			for _, m := range all {
				if m.Votes {
					voters = append(voters, m.Name)
				}
			}
			return slices.Equal(voters, want)
		}, fmt.Sprint("the members are ", want))
	}
	require.False(t, change(membersCall{}), "nothing is asked for")
	require.False(t, change(membersCall{Remove: "n9"}), "nobody has the name")
	f.Kill("n0")
	led(f, "n1", "n2")
	f.Start("n3")
	insist(membersCall{Add: &store.Peer{Name: "n3", Listen: f.Public("n3"), API: f.API("n3")}}, "n0", "n1", "n2", "n3")
	require.Equal(t, "49", string(read(f.API("n3"))["k49"]), "it held all before it voted")
	insist(membersCall{Remove: "n0"}, "n1", "n2", "n3")
	f.Kill("n2")
	led(f, "n1", "n3") // two of three, one of them new: also calls that the new one passes on, or gets, come through
	require.Equal(t, 204, put(f.API("n3"), "after", "1"))
	f.Restart("n2")
	f.Beds["n2"].Eventually(func() bool { return string(read(f.API("n2"))["after"]) == "1" }, "it catches up")
	f.Kill("n3")
	f.Restart("n3")
	led(f, "n1", "n2", "n3")
}

// A member whose disk takes nothing more can keep nothing: the others go on without it, it serves requests, and it catches up when there is
// room. A limit on the size of its files stands for the disk.
func TestDiskFull(t *testing.T) {
	f := testbed.NewStores(t, 41, 3, 0)
	f.StartAll()
	led(f, f.Names...)
	one := ""
	for _, name := range f.Names {
		var all []store.Member
		require.True(t, get(f.API(name), "/v1/members", &all))
		for _, m := range all {
			if m.Leads {
				one = m.Name // the one that leads, as that is the worst
			}
		}
	}
	b := f.Beds[one]
	b.FileLimit(1)
	others := slices.DeleteFunc(slices.Clone(f.Names), func(name string) bool { return name == one })
	value := `"` + strings.Repeat("x", 10_000) + `"`
	f.Beds[one].Eventually(func() bool {
		for i := range 20 {
			if put(f.API(others[0]), fmt.Sprint("large", i), value) != 204 {
				return false
			}
		}
		return true
	}, "the others go on")
	require.True(t, b.Client().Ask(b.Statement("write", "a", testbed.Patience)).Complete, "it serves")
	b.FileLimit(0)
	b.Eventually(func() bool { return len(read(f.API(one))["large19"]) > 0 }, "it catches up")
	led(f, f.Names...)
}
