package gossip_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/fleet/gossip"
	"capercove/internal/rig"
	"capercove/internal/testbed"
)

// Four poolers of the shipped program, with relays between them: they join by a seed that is not up yet, one is killed, one
// is stopped for as long as it takes to be found gone, a cut leaves one alone, and each time those that can reach each
// other come to hold the same. Their databases and clients know nothing of it: each serves all the while.
func TestPoolersOfTheProgram(t *testing.T) {
	n := rig.New(1)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(n.Course())
		}
	})
	names := []string{"n0", "n1", "n2", "n3"}
	own, public, beds := map[string]string{}, map[string]string{}, map[string]*testbed.Bed{}
	for i, name := range names {
		addr := netip.AddrFrom4([4]byte{127, 78, 9, byte(i + 1)})
		l, u, err := rig.Listen(netip.AddrPortFrom(addr, 0))
		require.NoError(t, err)
		at := l.Addr().(*net.TCPAddr).AddrPort()
		l.Close()
		u.Close()
		n.Register(name, addr)
		r, err := n.Stand(name, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 79, 9, byte(i + 1)}), 0), at)
		require.NoError(t, err)
		t.Cleanup(r.Close)
		own[name], public[name] = at.String(), r.Addr()
	}
	state := func(name string) (s gossip.State) {
		code, body := beds[name].Call("GET", "/fleet")
		require.Equal(t, 200, code, body)
		require.NoError(t, json.Unmarshal([]byte(body), &s))
		return s
	}
	settled := func(what string, names ...string) {
		require.Eventually(t, func() bool {
			first := state(names[0])
			for _, name := range names {
				if s := state(name); s.Digest != first.Digest || !slices.Equal(s.Live, names) || len(s.Says) != len(names) {
					return false
				}
			}
			return true
		}, 90*time.Second, 20*time.Millisecond, what)
		n.Note("%s: %v have settled", what, names)
		for _, name := range names {
			b := beds[name]
			require.True(t, b.Client().Ask(b.Statement("write", "a", testbed.Patience)).Complete, "%s: %s serves", what, name)
		}
	}
	for _, name := range []string{"n1", "n2", "n3", "n0"} {
		beds[name] = testbed.Start(t, testbed.WithName(name), testbed.WithTables(fmt.Sprintf(
			"[fleet]\nenabled = true\ncluster = \"c\"\nlisten = %q\nadvertise = %q\nseeds = [%q]\n", own[name], public[name], public["n0"])))
	}
	settled("joined", names...)

	n.Note("n1 is killed")
	require.NoError(t, beds["n1"].Process().Kill())
	beds["n1"].Wait()
	settled("n1 killed", "n0", "n2", "n3")
	beds["n1"].Run()
	settled("n1 back, with nothing in mind", names...)

	n.Note("n2 is stopped")
	beds["n2"].Signal(syscall.SIGSTOP)
	settled("n2 stopped", "n0", "n1", "n3")
	beds["n2"].Signal(syscall.SIGCONT)
	settled("n2 goes on", names...)

	n.Partition([]string{"n3"}, []string{"n0", "n1", "n2"})
	settled("cut", "n0", "n1", "n2")
	settled("alone", "n3")
	n.Heal()
	settled("healed", names...)

	beds["n0"].Signal(syscall.SIGTERM)
	require.NoError(t, beds["n0"].Wait())
	settled("n0 left", "n1", "n2", "n3")
	require.NotContains(t, state("n1").Gone, "n0", "it left, and is not tried again")
	code, _ := testbed.Start(t).Call("GET", "/fleet")
	require.Equal(t, 404, code, "off")
}
