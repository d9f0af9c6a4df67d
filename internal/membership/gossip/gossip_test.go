package gossip_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/clock"
	"capercove/internal/faults"
	"capercove/internal/membership"
	"capercove/internal/membership/gossip"
	"capercove/internal/testbed"
)

// convergenceTimeout is the longest time in which members converge on a busy machine.
const convergenceTimeout = 60 * time.Second

// pollInterval is how often a condition is checked.
const pollInterval = 5 * time.Millisecond

// fastTiming is for members on one machine.
var fastTiming = gossip.Timing{
	Period: 20 * time.Millisecond, ProbeInterval: 200 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond,
	RejoinInterval: 200 * time.Millisecond, BindRetry: 10 * time.Millisecond, AgreementDelay: time.Second,
	LogInterval: time.Second,
}

// publishing returns an Observe that always publishes the same values.
func publishing(values map[membership.Key][]byte) gossip.Observe {
	return func(time.Duration, *membership.View) map[membership.Key][]byte { return values }
}

// members runs the gossip of several poolers in this process, each behind a relay that injects faults.
type members struct {
	t       *testing.T
	network *faults.Net
	names   []string
	public  map[string]string // address of the relay in front of a member
	own     map[string]string // address that a member listens on
	log     *testbed.Output
	running map[string]*gossip.Gossip
}

func newMembers(t *testing.T, seed uint64, n int) *members {
	t.Helper()
	created := &members{
		t: t, network: faults.New(seed), public: map[string]string{}, own: map[string]string{},
		log: &testbed.Output{}, running: map[string]*gossip.Gossip{},
	}
	for i := range n {
		name := fmt.Sprint("n", i)
		own := netip.AddrFrom4([4]byte{127, 78, byte(seed), byte(i + 1)})
		public := netip.AddrFrom4([4]byte{127, 79, byte(seed), byte(i + 1)})
		listen, relay, err := created.network.Place(name, own, public)
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		created.names = append(created.names, name)
		created.public[name], created.own[name] = relay.Addr(), listen
	}
	t.Cleanup(func() {
		for _, member := range created.running {
			member.Stop(time.Millisecond)
		}
		if t.Failed() {
			t.Log(created.network.Course())
			t.Log(created.log.String())
		}
	})
	return created
}

func (m *members) start(name, cluster string, seeds ...string) {
	m.t.Helper()
	config := gossip.Config{Enabled: true, Cluster: cluster, Listen: m.own[name], Advertise: m.public[name]}
	for _, seed := range seeds {
		config.Seeds = append(config.Seeds, m.public[seed])
	}
	require.NoError(m.t, config.Check())
	log := zerolog.New(m.log).With().Str("at", name).Logger()
	observe := publishing(map[membership.Key][]byte{{}: []byte(name)})
	started, err := gossip.Start(name, config, fastTiming, log, clock.Monotonic(), observe)
	require.NoError(m.t, err)
	m.running[name] = started
}

// sees reports whether a pooler sees another one in a state.
func sees(observer *gossip.Gossip, name, state string) bool {
	return slices.ContainsFunc(observer.State().Poolers, func(pooler gossip.Pooler) bool {
		return pooler.Name == name && pooler.State == state
	})
}

// requireConverged waits until the named members have equal digests and see exactly each other as live.
func (m *members) requireConverged(names ...string) {
	m.t.Helper()
	slices.Sort(names)
	require.Eventually(m.t, func() bool {
		first := m.running[names[0]].State()
		for _, name := range names {
			state := m.running[name].State()
			if state.Digest != first.Digest || !slices.Equal(state.Live, names) {
				return false
			}
		}
		return true
	}, convergenceTimeout, pollInterval, "%v converge", names)
	m.network.Note("%v have converged", names)
}

// Five members join at once through a seed that starts last. Two end without an announcement and restart without a
// view. One leaves.
func TestJoinCrashRestartLeave(t *testing.T) {
	members := newMembers(t, 1, 5)
	for _, name := range members.names[1:] {
		members.start(name, "c", "n0")
	}
	members.start("n0", "c")
	members.requireConverged(members.names...)
	for _, name := range []string{"n1", "n2"} {
		members.network.Both(name, "n0", faults.Link{Cut: true})
		members.network.Both(name, "n3", faults.Link{Cut: true})
		members.network.Both(name, "n4", faults.Link{Cut: true})
		members.running[name].Stop(time.Millisecond)
	}
	members.requireConverged("n0", "n3", "n4")
	members.network.Heal()
	members.start("n2", "c", "n1", "n4")
	members.start("n1", "c", "n4")
	members.requireConverged(members.names...)
	members.running["n3"].Stop(time.Second)
	delete(members.running, "n3")
	members.requireConverged("n0", "n1", "n2", "n4")
	// Its own announcement takes precedence over detection by others, whichever arrives first.
	for _, name := range []string{"n0", "n1", "n2", "n4"} {
		require.Eventually(t, func() bool {
			return sees(members.running[name], "n3", "left")
		}, convergenceTimeout, pollInterval, "%s knows that n3 left", name)
	}
}

// Two halves of a fleet have each converged before they can reach the seed that connects them. Then all members
// converge.
func TestSeparateHalvesMerge(t *testing.T) {
	members := newMembers(t, 5, 4)
	members.start("n3", "c", "n2")
	members.start("n1", "c", "n0")
	members.network.Partition([]string{"n0", "n1"}, []string{"n2", "n3"})
	members.start("n0", "c")
	members.start("n2", "c", "n0")
	members.requireConverged("n0", "n1")
	members.requireConverged("n2", "n3")
	members.network.Heal()
	members.requireConverged(members.names...)
}

// In a network partition each side converges. Both converge with each other once it is over, although neither has a
// seed on the other side, and also if another partition begins at once. A link that is cut in one direction makes no
// member fail permanently.
func TestPartitionHeals(t *testing.T) {
	members := newMembers(t, 2, 5)
	members.start("n0", "c")
	for i, name := range members.names[1:] {
		members.start(name, "c", members.names[i])
	}
	members.requireConverged(members.names...)
	left, right := []string{"n0", "n1"}, []string{"n2", "n3", "n4"}
	members.network.Partition(left, right)
	members.requireConverged(left...)
	members.requireConverged(right...)
	members.network.Heal()
	members.network.Partition(right[:1], slices.Concat(left, right[1:]))
	members.requireConverged(right[0])
	members.network.Heal()
	members.requireConverged(members.names...)
	members.network.Set("n1", "n4", faults.Link{Cut: true})
	members.network.Set("n3", "n0", faults.Link{Cut: true})
	members.requireConverged(members.names...)
	members.network.Heal()
	members.requireConverged(members.names...)
}

// Members converge while packets between all of them are lost, duplicated, damaged and delayed.
func TestMembersConvergeOverUnreliableLinks(t *testing.T) {
	members := newMembers(t, 3, 4)
	impairAllLinks(members.network, members.names, faults.Link{
		Loss: 0.1, Twice: 0.1, Late: 0.1, Jitter: 5 * time.Millisecond, Flip: 0.02,
	})
	members.start("n0", "c")
	for _, name := range members.names[1:] {
		members.start(name, "c", "n0")
	}
	members.requireConverged(members.names...)
}

// Members of another cluster and a second member of the same name are rejected. The others are not affected.
func TestOtherClustersAndDuplicateNamesAreRejected(t *testing.T) {
	members := newMembers(t, 4, 4)
	members.start("n0", "c")
	members.start("n1", "c", "n0")
	members.start("n2", "other", "n0", "n1")
	members.requireConverged("n0", "n1")
	members.requireConverged("n2")
	members.own["n1'"], members.public["n1'"] = members.own["n3"], members.public["n3"]
	config := gossip.Config{
		Enabled: true, Cluster: "c", Listen: members.own["n3"], Advertise: members.public["n3"],
		Seeds: []string{members.public["n0"]},
	}
	duplicate, err := gossip.Start("n1", config, fastTiming, zerolog.Nop(), clock.Monotonic(), publishing(nil))
	require.NoError(t, err)
	defer duplicate.Stop(time.Millisecond)
	hasConflict := func() bool { return members.running["n0"].State().Conflicts > 0 }
	require.Eventually(t, hasConflict, convergenceTimeout, pollInterval)
	members.requireConverged("n0", "n1") // the first member of that name, and not the duplicate
}

// A pooler that ends before memberlist has found it is known only by its facts. It is marked as failed.
func TestPoolerKnownByFactsAloneFails(t *testing.T) {
	members := newMembers(t, 6, 2)
	merged := false
	config := gossip.Config{Enabled: true, Cluster: "c", Listen: members.own["n0"], Advertise: members.public["n0"]}
	observe := func(now time.Duration, view *membership.View) map[membership.Key][]byte {
		if !merged {
			ghost := membership.Fact{Owner: "ghost", Incarnation: uint64(now.Milliseconds()), Sequence: 1, At: now}
			view.Merge(now, membership.Delta{Facts: []membership.Fact{ghost}})
		}
		merged = true
		return map[membership.Key][]byte{{}: []byte("n0")}
	}
	started, err := gossip.Start("n0", config, fastTiming, zerolog.Nop(), clock.Monotonic(), observe)
	require.NoError(t, err)
	members.running["n0"] = started
	members.start("n1", "c", "n0")
	members.requireConverged("n0", "n1") // n1 learns of the ghost from n0's answers, or from its end
	for _, name := range []string{"n0", "n1"} {
		require.True(t, sees(members.running[name], "ghost", "gone"))
	}
}

// The error for a configuration with an invalid value names the key.
func TestConfigErrorNamesInvalidKey(t *testing.T) {
	good := gossip.Config{Enabled: true, Cluster: "c", Listen: "127.0.0.1:7946", Seeds: []string{"db.example:1"}}
	require.NoError(t, good.Check())
	require.NoError(t, gossip.Config{Listen: "odd"}.Check(), "not enabled")
	for key, change := range map[string]func(*gossip.Config){
		"cluster":   func(config *gossip.Config) { config.Cluster = "" },
		"listen":    func(config *gossip.Config) { config.Listen = "nowhere" },
		"advertise": func(config *gossip.Config) { config.Advertise = "nowhere" },
		"seeds[0]":  func(config *gossip.Config) { config.Seeds = []string{"nowhere"} },
	} {
		t.Run(key, func(t *testing.T) {
			config := good
			change(&config)
			require.ErrorContains(t, config.Check(), key)
		})
	}
}
