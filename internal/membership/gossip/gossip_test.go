package gossip_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/membership"
	"capercove/internal/membership/gossip"
)

const patience = 60 * time.Second

// quick is for members on one machine.
var quick = gossip.Timing{
	Period: 20 * time.Millisecond, ProbeInterval: 200 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond,
	RejoinInterval: 200 * time.Millisecond, BindRetry: 10 * time.Millisecond, AgreementDelay: time.Second,
	LogInterval: time.Second,
}

func saying(values map[membership.Key][]byte) func(time.Duration, *membership.View) map[membership.Key][]byte {
	return func(time.Duration, *membership.View) map[membership.Key][]byte { return values }
}

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// members are some with a relay before each.
type members struct {
	t      *testing.T
	net    *faults.Net
	names  []string
	public map[string]string
	own    map[string]string
	log    *lines
	up     map[string]*gossip.Gossip
}

type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newMembers(t *testing.T, seed uint64, n int) *members {
	m := &members{
		t: t, net: faults.New(seed), public: map[string]string{}, own: map[string]string{}, log: &lines{},
		up: map[string]*gossip.Gossip{},
	}
	for i := range n {
		name := fmt.Sprint("n", i)
		own := netip.AddrFrom4([4]byte{127, 78, byte(seed), byte(i + 1)})
		listen, r, err := m.net.Place(name, own, netip.AddrFrom4([4]byte{127, 79, byte(seed), byte(i + 1)}))
		require.NoError(t, err)
		t.Cleanup(r.Close)
		m.names = append(m.names, name)
		m.public[name], m.own[name] = r.Addr(), listen
	}
	t.Cleanup(func() {
		for _, g := range m.up {
			g.Stop(time.Millisecond)
		}
		if t.Failed() {
			t.Log(m.net.Course())
			t.Log(m.log.String())
		}
	})
	return m
}

func (m *members) start(name, cluster string, seeds ...string) {
	c := gossip.Config{Enabled: true, Cluster: cluster, Listen: m.own[name], Advertise: m.public[name]}
	for _, s := range seeds {
		c.Seeds = append(c.Seeds, m.public[s])
	}
	require.NoError(m.t, c.Check())
	log := zerolog.New(m.log).With().Str("at", name).Logger()
	g, err := gossip.Start(name, c, quick, log, clock, saying(map[membership.Key][]byte{{}: []byte(name)}))
	require.NoError(m.t, err)
	m.up[name] = g
}

// knows tells whether a pooler sees another in a state.
func knows(g *gossip.Gossip, name, state string) bool {
	return slices.ContainsFunc(g.State().Poolers, func(p gossip.Pooler) bool { return p.Name == name && p.State == state })
}

// settled waits until the members named hold equal digests and hold each other, and nobody else, for live.
func (m *members) settled(names ...string) {
	m.t.Helper()
	slices.Sort(names)
	require.Eventually(m.t, func() bool {
		first := m.up[names[0]].State()
		for _, name := range names {
			s := m.up[name].State()
			if s.Digest != first.Digest || !slices.Equal(s.Live, names) {
				return false
			}
		}
		return true
	}, patience, 5*time.Millisecond, "%v settle", names)
	m.net.Note("%v have settled", names)
}

// Five join at once by a seed that is not up yet; two end without a word; they come back with nothing in mind; one
// leaves.
func TestJoinCrashRestartLeave(t *testing.T) {
	m := newMembers(t, 1, 5)
	for _, name := range m.names[1:] {
		m.start(name, "c", "n0")
	}
	m.start("n0", "c")
	m.settled(m.names...)
	for _, name := range []string{"n1", "n2"} {
		m.net.Both(name, "n0", faults.Link{Cut: true})
		m.net.Both(name, "n3", faults.Link{Cut: true})
		m.net.Both(name, "n4", faults.Link{Cut: true})
		m.up[name].Stop(time.Millisecond)
	}
	m.settled("n0", "n3", "n4")
	m.net.Heal()
	m.start("n2", "c", "n1", "n4")
	m.start("n1", "c", "n4")
	m.settled(m.names...)
	m.up["n3"].Stop(time.Second)
	delete(m.up, "n3")
	m.settled("n0", "n1", "n2", "n4")
	// Its own announcement takes precedence over detection by others, whichever came first.
	for _, name := range []string{"n0", "n1", "n2", "n4"} {
		require.Eventually(t, func() bool {
			return knows(m.up[name], "n3", "left")
		}, patience, 5*time.Millisecond, "%s knows that n3 left", name)
	}
}

// Two halves that each found their own before the seed between them was up find each other.
func TestHalvesMeet(t *testing.T) {
	m := newMembers(t, 5, 4)
	m.start("n3", "c", "n2")
	m.start("n1", "c", "n0")
	m.net.Partition([]string{"n0", "n1"}, []string{"n2", "n3"})
	m.start("n0", "c")
	m.start("n2", "c", "n0")
	m.settled("n0", "n1")
	m.settled("n2", "n3")
	m.net.Heal()
	m.settled(m.names...)
}

// A cut in two: each side settles by itself, and both together when it is over, though neither has a seed of the
// other; and again before that has come to rest. A cut one way only condemns nobody for good.
func TestPartition(t *testing.T) {
	m := newMembers(t, 2, 5)
	m.start("n0", "c")
	for i, name := range m.names[1:] {
		m.start(name, "c", m.names[i])
	}
	m.settled(m.names...)
	left, right := []string{"n0", "n1"}, []string{"n2", "n3", "n4"}
	m.net.Partition(left, right)
	m.settled(left...)
	m.settled(right...)
	m.net.Heal()
	m.net.Partition(right[:1], slices.Concat(left, right[1:]))
	m.settled(right[0])
	m.net.Heal()
	m.settled(m.names...)
	m.net.Set("n1", "n4", faults.Link{Cut: true})
	m.net.Set("n3", "n0", faults.Link{Cut: true})
	m.settled(m.names...)
	m.net.Heal()
	m.settled(m.names...)
}

// Loss, doubles, garbled and late datagrams between all: they settle all the same, and what cannot be read is counted.
func TestBadLinks(t *testing.T) {
	m := newMembers(t, 3, 4)
	for _, a := range m.names {
		for _, b := range m.names {
			if a != b {
				m.net.Set(a, b, faults.Link{Loss: 0.1, Twice: 0.1, Late: 0.1, Jitter: 5 * time.Millisecond, Flip: 0.02})
			}
		}
	}
	m.start("n0", "c")
	for _, name := range m.names[1:] {
		m.start(name, "c", "n0")
	}
	m.settled(m.names...)
}

// Another cluster's members and a second one of a name are not let in, and the others go on.
func TestStrangers(t *testing.T) {
	m := newMembers(t, 4, 4)
	m.start("n0", "c")
	m.start("n1", "c", "n0")
	m.start("n2", "other", "n0", "n1")
	m.settled("n0", "n1")
	m.settled("n2")
	m.own["n1'"], m.public["n1'"] = m.own["n3"], m.public["n3"]
	c := gossip.Config{
		Enabled: true, Cluster: "c", Listen: m.own["n3"], Advertise: m.public["n3"], Seeds: []string{m.public["n0"]},
	}
	twin, err := gossip.Start("n1", c, quick, zerolog.Nop(), clock, saying(nil))
	require.NoError(t, err)
	defer twin.Stop(time.Millisecond)
	require.Eventually(t, func() bool { return m.up["n0"].State().Conflicts > 0 }, patience, 5*time.Millisecond)
	m.settled("n0", "n1") // the first of the name is heard, and nobody else
}

// Poolers hear of one that ends before any of them has found it: its words alone do not keep it there.
func TestHeardOfAndNeverFound(t *testing.T) {
	m := newMembers(t, 6, 2)
	told := false
	c := gossip.Config{Enabled: true, Cluster: "c", Listen: m.own["n0"], Advertise: m.public["n0"]}
	observe := func(now time.Duration, v *membership.View) map[membership.Key][]byte {
		if !told {
			ghost := membership.Fact{Owner: "ghost", Incarnation: uint64(now.Milliseconds()), Sequence: 1, At: now}
			v.Merge(now, membership.Delta{Facts: []membership.Fact{ghost}})
		}
		told = true
		return map[membership.Key][]byte{{}: []byte("n0")}
	}
	g, err := gossip.Start("n0", c, quick, zerolog.Nop(), clock, observe)
	require.NoError(t, err)
	m.up["n0"] = g
	m.start("n1", "c", "n0")
	m.settled("n0", "n1") // n1 hears of it by n0's answers to its summaries, or by the word that it is gone
	for _, name := range []string{"n0", "n1"} {
		require.True(t, knows(m.up[name], "ghost", "gone"))
	}
}

func TestCheck(t *testing.T) {
	good := gossip.Config{Enabled: true, Cluster: "c", Listen: "127.0.0.1:7946", Seeds: []string{"db.example:1"}}
	require.NoError(t, good.Check())
	require.NoError(t, gossip.Config{Listen: "odd"}.Check(), "off")
	for key, change := range map[string]func(*gossip.Config){
		"cluster":   func(c *gossip.Config) { c.Cluster = "" },
		"listen":    func(c *gossip.Config) { c.Listen = "nowhere" },
		"advertise": func(c *gossip.Config) { c.Advertise = "nowhere" },
		"seeds[0]":  func(c *gossip.Config) { c.Seeds = []string{"nowhere"} },
	} {
		c := good
		change(&c)
		require.ErrorContains(t, c.Check(), key)
	}
}
