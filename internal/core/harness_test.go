package core_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/core"
	"capercove/internal/limits"
	"capercove/routing"
)

// Times of the harness's settings.
const (
	drainGrace  = time.Second
	dedupWindow = 800 * time.Millisecond
)

// Classes of the harness's settings.
const (
	classRead = iota
	classKeyed
)

// harness drives a core: it sets the clock, and takes the place of the statements, the databases and the discovery.
type harness struct {
	now       time.Duration
	core      *core.Core
	sent      []*core.Attempt // in order
	cancelled []*core.Attempt
	forgotten []*core.Member
	settings  core.Settings
	// maxPending is how many requests may wait that were not sent.
	maxPending int
}

// Send implements core.Statement: the harness is the statement of each request.
func (h *harness) Send(attempt *core.Attempt) core.Transmission {
	h.sent = append(h.sent, attempt)
	return &transmission{h, attempt}
}

func (h *harness) Subscribe() {}

func (h *harness) Changed(*core.Member)        {}
func (h *harness) Removed(member *core.Member) { h.forgotten = append(h.forgotten, member) }

// transmission is an attempt that was sent.
type transmission struct {
	harness *harness
	attempt *core.Attempt
}

func (sent *transmission) Cancel() {
	sent.harness.cancelled = append(sent.harness.cancelled, sent.attempt)
}

// Probe reports at once that the database has no lag. Database 1 is the primary.
func (h *harness) Probe(member *core.Member) {
	role := routing.Replica
	if member.ID == 1 {
		role = routing.Primary
	}
	h.core.Probed(member, routing.OK, 0, routing.Evidence{Role: role, Position: h.now})
}

// newHarness starts a core with three ready databases.
func newHarness() *harness {
	harness := newStartingHarness(func() {})
	harness.pass(50 * time.Millisecond)
	return harness
}

// newStartingHarness starts a core with three databases, without letting time pass. The core calls ready once it is
// ready.
func newStartingHarness(ready func()) *harness {
	harness := &harness{now: 1_800_000_000 * time.Second}
	settings := routing.Settings{
		Routers: 1, MaxAttempts: 4, CanCancel: true, CanProbe: true, CanHedge: true, DrainGrace: drainGrace,
		SlowStartShare: 0.2, SlowStartTime: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
		Classes: []routing.Class{
			classRead: {
				Read: routing.AnyRead, LatencyObjective: 200 * time.Millisecond, Deadline: 5 * time.Second,
				Weight: 1, LateWeight: 0.2,
			},
			classKeyed: {
				Read: routing.Write, Effect: routing.Deduplicated, DedupWindow: dedupWindow,
				LatencyObjective: 200 * time.Millisecond, Deadline: 5 * time.Second, Weight: 1, LateWeight: 0.2,
			},
		},
	}
	machine := limits.Machine{MemoryMB: 64, Sockets: 256}
	bounds := limits.For(machine, limits.Timeouts{
		Connect: 250 * time.Millisecond, Keepalive: 15 * time.Second, LongestDeadline: 5 * time.Second,
	}).Request
	harness.maxPending = bounds.MaxPending
	named := core.Settings{Settings: settings, Names: []string{"read", "keyed"}}
	harness.settings = named
	harness.core = core.New(named, 1, bounds, zerolog.Nop(),
		func() time.Duration { return harness.now }, func() {}, ready)
	harness.core.Attach(harness, harness, harness)
	harness.core.Start()
	var list []core.Member
	for id := routing.NodeID(1); id <= 3; id++ {
		list = append(list, newMember(id, routing.Ready))
	}
	harness.core.ReplaceMembers(list)
	return harness
}

// newMember returns an entry of the endpoint list.
func newMember(id routing.NodeID, state routing.NodeState) core.Member {
	return core.Member{Node: routing.Node{ID: id, State: state, Group: 1}}
}

// request returns a request for group 1 with 5 s left until its deadline.
func (h *harness) request(name string, client core.Client) *core.Request {
	return &core.Request{
		Front: "test", Name: name, Group: 1, TimeLeft: 5 * time.Second, Statement: h, Client: client,
	}
}

// submit submits a request and lets the router decide on it.
func (h *harness) submit(request *core.Request) {
	h.core.Submit(request)
	h.core.Flush()
}

// submitFirst submits the first request of a test and returns its attempt.
func (h *harness) submitFirst(t *testing.T, request *core.Request) *core.Attempt {
	t.Helper()
	h.submit(request)
	require.Len(t, h.sent, 1)
	return h.sent[0]
}

// pass advances the clock in steps of 5 ms, and ticks and flushes the core after each.
func (h *harness) pass(duration time.Duration) {
	for end := h.now + duration; h.now < end; {
		h.now += 5 * time.Millisecond
		h.core.Tick()
		h.core.Flush()
	}
}

// client records its answers.
type client struct {
	pieces  string
	answers []string
}

func (c *client) Served(answer []byte)   { c.answers = append(c.answers, "served "+string(answer)) }
func (c *client) Rejected(time.Duration) { c.answers = append(c.answers, "rejected") }
func (c *client) Failed(core.Failure)    { c.answers = append(c.answers, "failed") }

func (c *client) Piece(data []byte, _ func()) bool {
	c.pieces += string(data)
	return true
}
