package testbed

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
)

// recordStores is how many poolers of NewMaintenanceFleet have a store, at most.
const recordStores = 3

// fleets counts the fleets of this test process.
var fleets atomic.Int32

// NewFleet prepares n poolers with gossip, none of which is started. Seeds are the names of those whose addresses the
// others are configured with; more are further lines of the table [fleet].
func NewFleet(t *testing.T, seed uint64, n int, seeds []string, more string, options ...Option) *Fleet {
	t.Helper()
	fleet := newFleet(t, seed, n, options)
	fleet.table = func(name string) string {
		var others []string
		for _, other := range seeds {
			if other != name {
				others = append(others, fleet.public[other])
			}
		}
		return fleet.gossipTable(name, others, more)
	}
	return fleet
}

// gossipTable returns the table [fleet] of a pooler's operators' file.
func (f *Fleet) gossipTable(name string, seeds []string, more string) string {
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	return fmt.Sprintf("[fleet]\nenabled = true\ncluster = \"c\"\nlisten = %q\nadvertise = %q\nseeds = [%s]\n%s\n",
		f.own[name], f.public[name], strings.Join(quoted, ", "), more)
}

// NewStores prepares n poolers with a replicated store, and some that may join it later; none is started. API returns
// the address of a store.
func NewStores(t *testing.T, seed uint64, n, joiners int) *Fleet {
	t.Helper()
	fleet := newFleet(t, seed, n+joiners, nil)
	for _, name := range fleet.Names {
		fleet.apis[name] = ReserveAddress(t)
	}
	var peers strings.Builder
	for _, name := range fleet.Names[:n] {
		peers.WriteString(fleet.peerTable(name, fleet.public[name]))
	}
	fleet.table = func(name string) string {
		text := fmt.Sprintf("[store]\nenabled = true\nlisten = %q\nbind = %q\napi = %q\ndir = %q\n",
			fleet.public[name], fleet.own[name], fleet.apis[name], t.TempDir())
		if slices.Index(fleet.Names, name) >= n {
			return text + "join = true\n" + peers.String() + fleet.peerTable(name, fleet.public[name])
		}
		return text + peers.String()
	}
	return fleet
}

// peerTable returns the entry of a store in the others' [[store.peers]].
func (f *Fleet) peerTable(name, listen string) string {
	return fmt.Sprintf("[[store.peers]]\nname = %q\nlisten = %q\napi = %q\n", name, listen, f.apis[name])
}

// NewMaintenanceFleet prepares n poolers with gossip and maintenance, none of which is started; the first three, or
// all, have a store with the record of maintenance. More are further lines of the table [works]. The links that gossip,
// the stores and their APIs use between two poolers are impaired together.
func NewMaintenanceFleet(t *testing.T, seed uint64, n int, more string, options ...Option) *Fleet {
	t.Helper()
	fleet := newFleet(t, seed, n, options)
	var peers, record strings.Builder
	storeLines := map[string]string{}
	for _, name := range fleet.Names[:min(n, recordStores)] {
		listen, public := fleet.place(name)
		apiListen, apiPublic := fleet.place(name)
		fleet.apis[name] = apiPublic
		storeLines[name] = fmt.Sprintf("listen = %q\nbind = %q\napi = %q\napi_bind = %q\ndir = %q\n",
			public, listen, apiPublic, apiListen, t.TempDir())
		peers.WriteString(fleet.peerTable(name, public))
		fmt.Fprintf(&record, "%q, ", apiPublic)
	}
	fleet.table = func(name string) string {
		seeds := []string{fleet.public[fleet.Names[0]]}
		text := fleet.gossipTable(name, seeds, fmt.Sprintf("zone = %q\nslower = 0.25", "z"+name))
		text += fmt.Sprintf("[works]\nenabled = true\n%s\n", more)
		if storeLines[name] == "" {
			return text + fmt.Sprintf("record = [%s]\n", record.String())
		}
		return text + "[store]\nenabled = true\n" + storeLines[name] + peers.String()
	}
	return fleet
}

// newFleet prepares n poolers, each with one address behind a relay. Each fleet of a test process has a loopback
// network of its own, since relays tell poolers apart by the IPs that they send from.
func newFleet(t *testing.T, seed uint64, n int, options []Option) *Fleet {
	t.Helper()
	fleet := &Fleet{
		T: t, Net: faults.New(seed), Beds: map[string]*Bed{}, own: map[string]string{}, public: map[string]string{},
		apis: map[string]string{}, options: options, paused: map[string]bool{}, down: map[string]bool{},
	}
	network, subnet := byte(fleets.Add(1))%60, byte(os.Getpid()%250)
	for i := range n {
		name := fmt.Sprint("n", i)
		host := byte(1 + i)
		own := netip.AddrFrom4([4]byte{127, 130 + network, subnet, host})
		public := netip.AddrFrom4([4]byte{127, 190 + network, subnet, host})
		fleet.Names = append(fleet.Names, name)
		fleet.own[name], fleet.public[name] = fleet.placeAt(name, own, public)
	}
	t.Cleanup(func() { t.Log(fleet.Net.Course()) }) // printed if the test fails, or with -v
	return fleet
}

// place puts one more address of a pooler behind a relay.
func (f *Fleet) place(name string) (listen, public string) {
	f.T.Helper()
	own, err := netip.ParseAddrPort(f.own[name])
	require.NoError(f.T, err)
	relay, err := netip.ParseAddrPort(f.public[name])
	require.NoError(f.T, err)
	return f.placeAt(name, own.Addr(), relay.Addr())
}

// placeAt puts an address of a pooler behind a relay, both at given IPs, until the test ends.
func (f *Fleet) placeAt(name string, own, public netip.Addr) (listen, relayed string) {
	f.T.Helper()
	listen, relay, err := f.Net.Place(name, own, public)
	require.NoError(f.T, err)
	f.T.Cleanup(relay.Close)
	return listen, relay.Addr()
}
