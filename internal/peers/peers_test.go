package peers_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/internal/membership"
	"capercove/internal/peers"
	"capercove/routing"
)

// fixture is a core on a simulated clock, with three databases of which some do not answer, and a view that the test
// fills.
type fixture struct {
	now    time.Duration
	core   *core.Core
	peers  *peers.Peers
	view   *membership.View
	silent map[string]bool // databases that do not answer probes
	idle   map[string]int  // idle connections by database, as hinted; nil: no hint
}

func (f *fixture) Subscribe() {}

// Probe answers a probe at once. The database db1 is the primary.
func (f *fixture) Probe(member *core.Member) {
	if f.silent[member.Name] {
		f.core.Probed(member, routing.TimedOut, 250*time.Millisecond, routing.Evidence{})
		return
	}
	role := routing.Replica
	if member.Name == "db1" {
		role = routing.Primary
	}
	f.core.Probed(member, routing.OK, 0, routing.Evidence{Role: role, Position: f.now})
}

// newCore returns a core with the settings of three poolers and no databases.
func (f *fixture) newCore() *core.Core {
	settings := routing.Settings{
		Routers: 3, MaxAttempts: 4, CanProbe: true, DrainGrace: time.Second,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		Classes: []routing.Class{
			{Read: routing.AnyRead, LatencyObjective: 200 * time.Millisecond, Deadline: 5 * time.Second, Weight: 1},
		},
	}
	machine := limits.Machine{MemoryMB: 64, Sockets: 256}
	bounds := limits.For(machine, limits.Timeouts{
		Connect: 250 * time.Millisecond, Keepalive: 15 * time.Second, LongestDeadline: 5 * time.Second,
	}).Request
	return core.New(core.Settings{Settings: settings, Names: []string{"read"}}, 1, bounds, zerolog.Nop(),
		func() time.Duration { return f.now }, func() {}, func() {})
}

// newFixture starts a core with the databases db1 to db3 and connects it with the view as pooler n0.
func newFixture(uses membership.Uses) *fixture {
	fixture := &fixture{
		now: 1_800_000_000 * time.Second, silent: map[string]bool{},
		view: membership.NewView(membership.DefaultBounds()),
	}
	fixture.core = fixture.newCore()
	fixture.core.Attach(fixture, fixture)
	fixture.core.Observe()
	fixture.core.Start()
	var list []core.Member
	for id := routing.NodeID(1); id <= 3; id++ {
		node := routing.Node{ID: id, State: routing.Ready, Group: 1}
		list = append(list, core.Member{Name: fmt.Sprint("db", id), Node: node})
	}
	fixture.core.ReplaceMembers(list)
	fixture.peers = peers.New("n0", uses, peers.Self{Listen: "here", Settings: "a"}, 3, peers.Pooler{
		Core: fixture.core, Log: zerolog.Nop(),
		Do:          func(call func()) { call() },
		Keep:        func(idle map[string]int) { fixture.idle = idle },
		Connections: func() int { return 7 },
	})
	return fixture
}

// passWithoutPeriods lets time pass without calls of Period.
func (f *fixture) passWithoutPeriods(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.tick()
	}
}

// passPeriods lets time pass and calls Period every 200 ms. It returns what was published last.
func (f *fixture) passPeriods(duration time.Duration) (published map[membership.Key][]byte) {
	for end := f.now + duration; f.now < end; {
		f.tick()
		if f.now%(200*time.Millisecond) == 0 {
			published = f.peers.Period(f.now, f.view)
			f.publish("n0", published)
		}
	}
	return published
}

// tick advances the clock by one tick of the core.
func (f *fixture) tick() {
	f.now += 5 * time.Millisecond
	f.core.Tick()
	f.core.Flush()
}

// mergePeer merges what another pooler publishes.
func (f *fixture) mergePeer(name string, observations map[string]membership.Observation) {
	values := map[membership.Key][]byte{{}: []byte(`{"listen":"there"}`)}
	for database, observation := range observations {
		values[databaseKey(database)] = observation.Append(nil)
	}
	f.publish(name, values)
}

// publish merges values of a pooler into the view, as those of a new incarnation.
func (f *fixture) publish(name string, values map[membership.Key][]byte) {
	publisher := membership.NewPublisher(name, uint64(f.now.Milliseconds()), membership.DefaultBounds())
	f.view.Merge(f.now, publisher.Publish(f.now, values))
}

// unresponsiveFrom returns the observation that db3 is unresponsive since the given duration after now.
func (f *fixture) unresponsiveFrom(after time.Duration) map[string]membership.Observation {
	since := (f.now + after).Milliseconds()
	return map[string]membership.Observation{"db3": {State: membership.Unresponsive, Since: since}}
}

func (f *fixture) unavailable() int { return f.core.Figures().Unavailable }

// databaseKey returns the key of a database's observation.
func databaseKey(database string) membership.Key {
	return membership.Key{Kind: membership.KindDatabase, Subject: database}
}

// requirePublishedState requires that db3 is published in a state.
func requirePublishedState(t *testing.T, published map[membership.Key][]byte, want membership.State) {
	t.Helper()
	observation, ok := membership.ParseObservation(published[databaseKey("db3")])
	require.True(t, ok)
	require.Equal(t, want, observation.State)
}

// requirePublishedSelf requires what the pooler publishes of itself.
func requirePublishedSelf(t *testing.T, published map[membership.Key][]byte, want peers.Self) {
	t.Helper()
	var self peers.Self
	require.NoError(t, json.Unmarshal(published[membership.Key{}], &self))
	require.Equal(t, want, self)
}

// A database that two other poolers report as unresponsive is probed, though this pooler has sent it no request.
// Without an answer to the probe it becomes unavailable. A database that answers stays available, whatever other
// poolers report. If suspicion is off, no database is probed.
func TestDatabaseSuspectedByTwoPoolersIsProbed(t *testing.T) {
	for name, testCase := range map[string]struct {
		suspicion, silent bool
		unavailable       int
	}{
		"database does not answer": {suspicion: true, silent: true, unavailable: 1},
		"database answers":         {suspicion: true},
		"suspicion is off":         {silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(membership.Uses{Suspicion: testCase.suspicion})
			fixture.passPeriods(time.Second)
			fixture.silent["db3"] = testCase.silent
			observations := fixture.unresponsiveFrom(time.Millisecond)
			fixture.mergePeer("n1", observations)
			fixture.passPeriods(2 * time.Second)
			require.Zero(t, fixture.unavailable(), "the report of one pooler is not enough")
			fixture.mergePeer("n2", observations)
			fixture.passPeriods(2 * time.Second)
			require.Equal(t, testCase.unavailable, fixture.unavailable())
			if !testCase.suspicion {
				require.Zero(t, fixture.core.Counters().Asked)
			}
			fixture.passPeriods(20 * time.Second)
			require.LessOrEqual(t, fixture.core.Counters().Asked, int64(24),
				"at most twice each 2 s, whatever is reported")
		})
	}
}

// An observation is published and then withdrawn when it ends. The published digest of the settings follows a reload.
func TestObservationsArePublishedAndWithdrawn(t *testing.T) {
	fixture := newFixture(membership.Uses{Suspicion: true})
	observations := fixture.unresponsiveFrom(5 * time.Second)
	fixture.silent["db3"] = true
	fixture.mergePeer("n1", observations)
	fixture.mergePeer("n2", observations)
	requirePublishedState(t, fixture.passPeriods(4*time.Second), membership.Failing) // db3 does not answer probes

	fixture.silent["db3"] = false
	fixture.core.ProbeByName("db3")
	published := fixture.passPeriods(time.Second)
	observation, _ := membership.ParseObservation(published[databaseKey("db3")]) // an absent one is Healthy, too
	require.Equal(t, membership.Healthy, observation.State, "withdrawn")
	requirePublishedSelf(t, published, peers.Self{Listen: "here", Settings: "a", Connections: 7})

	fixture.peers.Configured("b", 5)
	fixture.peers.Stopping()
	requirePublishedSelf(t, fixture.passPeriods(11*time.Second),
		peers.Self{Listen: "here", Settings: "b", Connections: 7, Stopping: true})
}

// If Period is no longer called, the hints expire with their lease and the settings apply again.
func TestHintsExpireWithTheLease(t *testing.T) {
	fixture := newFixture(membership.Uses{Count: true, Connections: 10})
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		fixture.mergePeer(name, nil)
	}
	fixture.passPeriods(time.Second)
	require.Equal(t, 5, fixture.core.Counters().Routers)
	require.Equal(t, map[string]int{"db1": 2, "db2": 2, "db3": 2}, fixture.idle)
	require.False(t, fixture.peers.Status().Lost)
	fixture.passWithoutPeriods(3 * time.Second)
	require.Equal(t, 3, fixture.core.Counters().Routers, "as in the settings")
	require.Nil(t, fixture.idle)
	require.True(t, fixture.peers.Status().Lost)
	fixture.passPeriods(time.Second)
	require.Equal(t, 5, fixture.core.Counters().Routers, "Period is called again")
}

// ProbeByName sends no probe to a database that is unknown, excluded, draining or gone.
func TestProbeByNameSkipsUnknownExcludedDrainingAndGoneDatabases(t *testing.T) {
	fixture := newFixture(membership.Uses{})
	require.True(t, fixture.core.ProbeByName("db1"))
	require.False(t, fixture.core.ProbeByName("odd"))
	fixture.core.Exclude(map[routing.NodeID]time.Duration{1: fixture.now})
	require.False(t, fixture.core.ProbeByName("db1"))
	fixture.core.UpdateMembers([]core.Member{
		{Name: "db2", Node: routing.Node{ID: 2, State: routing.Draining, Group: 1}},
		{Name: "db3", Node: routing.Node{ID: 3, State: routing.Gone, Group: 1}},
	})
	require.False(t, fixture.core.ProbeByName("db2"))
	require.False(t, fixture.core.ProbeByName("db3"))
}
