package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const start = time.Hour // clock times of the tests begin here

const (
	classAny = iota
	classBounded
	classSession
	classFresh
	classWrite
	classKeyed
)

func settings() Settings {
	return Settings{
		Routers: 1, MaxAttempts: 6, MaxRetryAfter: time.Second, CanCancel: true,
		CanProbe: true, CanHedge: true, DrainGrace: time.Second, SlowStartShare: 0.2,
		SlowStartTime: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second, OverQuota: 0.1,
		Classes: []Class{
			classAny:     {Read: AnyRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1, LateWeight: 0.2},
			classBounded: {Read: BoundedRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1, MaxAge: 200 * ms},
			classSession: {Read: SessionRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1},
			classFresh:   {Read: FreshRead, LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1},
			classWrite:   {Read: Write, Effect: NonIdempotent, LatencyObjective: 200 * ms, Deadline: 2 * time.Second, Weight: 2},
			classKeyed: {
				Read: Write, Effect: Deduplicated, DedupGroup: DedupReplicaGroup, DedupWindow: 500 * ms, LatencyObjective: 200 * ms,
				Deadline: 2 * time.Second, Weight: 2,
			},
		},
	}
}

// harness drives a router by hand.
type harness struct {
	t   *testing.T
	r   *Router
	now time.Duration
}

// newHarness starts a router with a group of three ready nodes; node 1 has shown that it is the primary, and all
// positions are proven as of now.
func newHarness(t *testing.T, s Settings) *harness {
	h := &harness{t, New(s, 1), start}
	h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	h.refresh()
	return h
}

func (h *harness) step(events ...Event) []Action {
	var out []Action
	for _, a := range h.r.Step(h.now, events, nil) {
		if a.Kind != SetTimer && a.Kind != Probe {
			out = append(out, a)
		}
	}
	return out
}

func (h *harness) list(nodes ...Node) []Action {
	return h.step(Event{Kind: ListComplete, Nodes: nodes})
}

func (h *harness) probed(id NodeID, role Role, at time.Duration) []Action {
	return h.step(Event{Kind: ProbeDone, Outcome: Outcome{Node: id, Report: Evidence{Role: role, Position: at}}})
}

func (h *harness) refresh() {
	h.probed(1, Primary, h.now)
	h.probed(2, Replica, h.now)
	h.probed(3, Replica, h.now)
}

func (h *harness) arrive(id RequestID, class int) []Action {
	return h.step(Event{
		Kind: RequestArrived, Request: id,
		Arrival: Arrival{Class: class, Session: uint64(id), TimeLeft: h.r.settings.Classes[class].Deadline},
	})
}

func (h *harness) done(id RequestID, attempt int, n NodeID, status Status, note Evidence) []Action {
	return h.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
		Node: n, Attempt: attempt, Status: status,
		Final: status == OK, Note: note,
	}})
}

// wait lets time pass in ticks and returns what was done.
func (h *harness) wait(d time.Duration) (out []Action) {
	for end := h.now + d; h.now < end; {
		h.now += tickInterval
		out = append(out, h.step(Event{Kind: TimerFired})...)
	}
	return out
}

func (h *harness) want(what string, got []Action, kinds ...ActionKind) {
	h.t.Helper()
	var have []ActionKind
	for _, a := range got {
		have = append(have, a.Kind)
	}
	if !slices.Equal(have, kinds) {
		h.t.Fatalf("%s: %v, want kinds %v", what, got, kinds)
	}
}

// Rule 2 and rule 1: what may follow each outcome of a write's only attempt.
func TestAfterAWritesOutcome(t *testing.T) {
	for _, c := range []struct {
		status Status
		class  int
		want   []ActionKind
	}{
		{OK, classWrite, nil},
		{NodeError, classWrite, []ActionKind{Fail}},
		{TimedOut, classWrite, []ActionKind{Fail}},
		{ConnectionBroken, classWrite, []ActionKind{Fail}},
		{Cancelled, classWrite, []ActionKind{Fail}},
		{ConnectFailed, classWrite, nil}, // held: it never ran, and the primary is in doubt
		{NodeRejected, classWrite, nil},  // held until a primary is found
		{NodeOverloaded, classWrite, nil},
	} {
		h := newHarness(t, settings())
		h.want("write", h.arrive(7, c.class), Send)
		h.want(fmt.Sprint("after status ", c.status), h.done(7, 0, 1, c.status, Evidence{}), c.want...)
	}
}

// A write that a deposed primary turned away goes to the new one as soon as that is known, once.
func TestHeldWriteGoesToTheNewPrimary(t *testing.T) {
	h := newHarness(t, settings())
	h.want("write", h.arrive(7, classWrite), Send)
	h.want("turned away", h.done(7, 0, 1, NodeRejected, Evidence{Role: Replica, Position: h.now}))
	h.want("no primary known", h.wait(300*ms))
	out := append(h.probed(2, Primary, h.now), h.wait(50*ms)...)
	h.want("new primary known", out, Send)
	if out[0].Node != 2 {
		t.Fatalf("resent to node %d, want the new primary 2", out[0].Node)
	}
}

// A write that no primary is found for is refused, not failed, shortly before its deadline: nothing ran.
func TestHeldWriteIsRefusedInTime(t *testing.T) {
	h := newHarness(t, settings())
	h.probed(1, Replica, h.now+1)
	h.want("write without primary", h.arrive(7, classWrite))
	h.want("until its deadline", h.wait(2*time.Second), Reject)
}

// A keyed write may be repeated inside its window, and only there; a refusal would promise too much.
func TestKeyedWrite(t *testing.T) {
	h := newHarness(t, settings())
	h.want("write", h.arrive(7, classKeyed), Send)
	h.now += 100 * ms
	h.done(7, 0, 1, NodeError, Evidence{})
	h.want("inside the window", h.wait(100*ms), Send)
	h.now += 500 * ms
	h.done(7, 1, 1, NodeError, Evidence{})
	h.want("past the window", h.wait(1500*ms), Fail)
}

// The time-out at the deadline may arrive unfinished: the final answer is still owed, and given once.
func TestDeadline(t *testing.T) {
	h := newHarness(t, settings())
	h.want("read", h.arrive(7, classAny), Send)
	h.now += time.Second
	out := h.done(7, 0, 2, TimedOut, Evidence{})
	h.want("time-out at the deadline", out, Reject)
	h.want("afterwards", h.wait(100*ms))

	h = newHarness(t, settings())
	h.arrive(8, classWrite)
	h.want("no outcome by the deadline", h.wait(2*time.Second), Fail, Cancel)
	h.want("a late outcome", h.done(8, 0, 1, OK, Evidence{Role: Primary, Position: h.now}))
}

// An outcome and the client's leaving may share a batch; nothing is sent for what is over.
func TestGoneInTheSameBatch(t *testing.T) {
	h := newHarness(t, settings())
	h.arrive(7, classAny)
	out := h.step(Event{Kind: AttemptDone, Request: 7, Outcome: Outcome{Node: 2, Status: NodeOverloaded}},
		Event{Kind: ClientGone, Request: 7})
	h.want("outcome and leaving", out)
	h.want("unknown request", h.step(Event{Kind: ClientGone, Request: 99}))
	h.want("unknown attempt", h.done(99, 3, 2, OK, Evidence{}))
}

// Rule 3: a draining replica takes nothing new at once; a draining primary what only it can take, for half the grace.
func TestDrain(t *testing.T) {
	h := newHarness(t, settings())
	h.list(Node{ID: 1, State: Draining}, Node{ID: 2, State: Draining}, Node{ID: 3, State: Ready})
	for id := RequestID(10); id < 30; id++ {
		out := h.arrive(id, classAny)
		if len(out) > 0 && out[0].Kind == Send && out[0].Node == 2 {
			t.Fatalf("sent to the draining replica")
		}
	}
	h.want("write within half the grace", h.arrive(50, classWrite), Send)
	h.now += 600 * ms
	h.want("write after it", h.arrive(51, classWrite))
}

// Rule 4: sends to a cold node within one fall window stay within the budget, for writes to a cold primary too. What it
// answers in the window pays for more of them, and is forgotten with the window: a router that has seen nothing else
// answered, as one just started, would otherwise never send it more than the least.
func TestColdBudget(t *testing.T) {
	cold := func() *harness {
		h := newHarness(t, settings())
		h.list(Node{ID: 1, State: Ready, Started: h.now}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
		h.probed(1, Primary, h.now+1)
		return h
	}
	id := RequestID(10)
	burst := func(h *harness, writes int, answer bool) (sent int) {
		for range writes {
			id++
			for _, a := range h.arrive(id, classWrite) {
				if a.Kind == Send {
					sent++
				}
				if a.Kind == Send && answer {
					h.done(id, 0, 1, OK, Evidence{Role: Primary, Position: h.now})
				}
			}
		}
		return sent
	}
	if sent := burst(cold(), 50, false); sent == 0 || sent > minSlowStartSends {
		t.Fatalf("%d sends to a cold node that answers nothing, want 1 to %v", sent, minSlowStartSends)
	}
	if sent := burst(cold(), 50, true); sent < 40 {
		t.Fatalf("%d sends to a cold node that answers each at once, want 40 and more", sent)
	}
	h := cold()
	answered := burst(h, 8, true)
	most := int(math.Ceil(0.5 * h.r.settings.OverloadMultiple * float64(answered)))
	if all := answered + burst(h, 50, false); answered != 8 || all != most {
		t.Fatalf("%d sends in a window with %d answers, want %d with 8", all, answered, most)
	}
	h.wait(2 * h.r.settings.OverloadWindow) // those held meanwhile are given up
	if sent := burst(h, 50, false); sent > minSlowStartSends {
		t.Fatalf("%d sends a window after the last answer, want %v at the most", sent, minSlowStartSends)
	}
}

// A start that becomes known late: what was sent in the window before counts, and what an earlier process answered tells
// nothing of what the new one can do.
func TestColdBudgetOfAStartToldLate(t *testing.T) {
	h := newHarness(t, settings())
	h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
	sent := func(id RequestID) bool {
		out := h.arrive(id, classWrite)
		return len(out) == 1 && out[0].Kind == Send
	}
	for id := RequestID(10); id < 20; id++ {
		if !sent(id) {
			t.Fatalf("write %d at a warm primary was held", id)
		}
		h.done(id, 0, 1, OK, Evidence{Role: Primary, Position: h.now})
	}
	h.now += 500 * ms
	h.list(Node{ID: 1, State: Ready, Started: h.now - 100*ms}, Node{ID: 2, State: Gone}, Node{ID: 3, State: Gone})
	h.probed(1, Primary, h.now)
	for id := RequestID(30); id < 35; id++ {
		if sent(id) {
			t.Fatalf("write %d was sent to a cold primary beside the ten of the same window", id)
		}
	}
	h.wait(2 * h.r.settings.OverloadWindow) // those held meanwhile are given up
	if !sent(40) {
		t.Fatal("a write was held though a window has passed")
	}
}

// Rule 5 where nodes answer from what they have: only proven positions count.
func TestFreshness(t *testing.T) {
	for _, c := range []struct {
		name            string
		class           int
		position, write time.Duration // of the replicas and of the session's last write, before now
		replica         bool
	}{
		{"any read, stale replicas", classAny, time.Minute, 0, true},
		{"bounded read, just fresh", classBounded, 200 * ms, 0, true},
		{"bounded read, too old", classBounded, 201 * ms, 0, false},
		{"session read, write seen", classSession, 50 * ms, 50 * ms, true},
		{"session read, write not seen", classSession, 51 * ms, 50 * ms, false},
		{"session read, no write", classSession, time.Minute, 0, true},
		{"fresh read", classFresh, 1 * ms, 0, false},
	} {
		h := &harness{t, New(settings(), 1), start}
		h.list(Node{ID: 1, State: Ready}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
		h.probed(1, Primary, h.now)
		h.probed(2, Replica, h.now-c.position)
		h.probed(3, Replica, h.now-c.position)
		a := Arrival{Class: c.class, Session: 5, TimeLeft: time.Second}
		if c.write > 0 {
			a.LastWrite = h.now - c.write
		}
		out := h.step(Event{Kind: RequestArrived, Request: 7, Arrival: a})
		h.want(c.name, out, Send)
		if replica := out[0].Node != 1; replica != c.replica {
			t.Errorf("%s: sent to node %d, want a replica: %v", c.name, out[0].Node, c.replica)
		}
	}
}

// Sessions remembered here: a read must see the write whose answer came before it.
func TestRememberedSession(t *testing.T) {
	s := settings()
	s.KeepSessions = true
	h := newHarness(t, s)
	h.now += 10 * ms
	h.want("write", h.arrive(7, classWrite), Send)
	h.done(7, 0, 1, OK, Evidence{Role: Primary, Position: h.now + 1})
	out := h.step(Event{Kind: RequestArrived, Request: 8, Arrival: Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}})
	h.want("the session's read", out, Send)
	if out[0].Node != 1 {
		t.Fatalf("read sent to node %d, which has not seen the session's write", out[0].Node)
	}
}

// A session's read that comes while a write of it is out, or after the write's answer was lost, must see that write: the node may
// have committed it, and said so. Without a word of the commit the present stands for it.
func TestSessionReadBesideALostAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  Status
		note    Evidence
		replica bool // may answer the read
	}{
		{"lost", ConnectionBroken, Evidence{}, false},
		{"late", TimedOut, Evidence{}, false},
		{"spoilt", NodeError, Evidence{}, false},
		{"without its commit", OK, Evidence{Role: Primary}, false},
		{"whole", OK, Evidence{Role: Primary, Position: start - time.Second}, true},
		{"it never ran", NodeOverloaded, Evidence{}, true},
	} {
		s := settings()
		s.KeepSessions = true
		h := newHarness(t, s)
		read := func(id RequestID) NodeID {
			out := h.step(Event{Kind: RequestArrived, Request: id, Arrival: Arrival{Class: classSession, Session: 7, TimeLeft: time.Second}})
			h.want(c.name, out, Send)
			return out[0].Node
		}
		h.now += 10 * ms
		h.want("write", h.step(Event{Kind: RequestArrived, Request: 1, Arrival: Arrival{Class: classWrite, Session: 7, TimeLeft: time.Second}}), Send)
		h.now += 10 * ms
		if n := read(2); n != 1 {
			t.Errorf("%s: while the write is out, the read went to node %d", c.name, n)
		}
		h.step(Event{Kind: AttemptDone, Request: 1, Outcome: Outcome{Node: 1, Status: c.status, Final: true, Note: c.note}})
		if replica := read(3) != 1; replica != c.replica {
			t.Errorf("%s: the read went to a replica: %v", c.name, replica)
		}
	}
}

// Where nodes check freshness, the most advanced replica is tried before the primary.
func TestMostAdvancedFirst(t *testing.T) {
	s := settings()
	s.StaleReads = StaleRejected
	h := newHarness(t, s)
	h.now += 900 * ms
	h.probed(2, Replica, h.now-400*ms)
	h.probed(3, Replica, h.now-250*ms)
	out := h.arrive(7, classBounded)
	h.want("bounded read, none fresh", out, Send)
	if out[0].Node != 3 {
		t.Fatalf("sent to node %d, want the most advanced replica 3", out[0].Node)
	}
	out = h.done(7, 0, 3, NodeRejected, Evidence{Role: Replica, Position: h.now - 250*ms})
	h.want("turned away", out, Send)
	if out[0].Node == 3 {
		t.Fatal("sent again to the node that just turned it away")
	}
}

// The loop: slow answers shrink the bound, fast ones let it grow to the cap and no further, and a bound that sat at
// the cap comes down at once (anti-windup).
func TestLoop(t *testing.T) {
	h := newHarness(t, settings())
	n := h.r.byID[2]
	feed := func(ratio float64, periods int) {
		for range periods {
			n.ratioSum, n.samples = ratio*minSamples, minSamples
			h.r.controlStep()
		}
	}
	feed(0.3, 200)
	if n.bound != maxBound || n.delta != 0 {
		t.Fatalf("d %v with stored change %v, want the cap %v and 0", n.bound, n.delta, maxBound)
	}
	feed(1.5, 1)
	if n.bound >= maxBound {
		t.Fatal("the first slow period left d at the cap: wound up")
	}
	feed(2, 100)
	if floor := minBoundShare * maxBound; n.bound != floor || n.delta != 0 {
		t.Fatalf("d %v with stored change %v, want the floor %v and 0", n.bound, n.delta, floor)
	}
	n.ratioSum, n.samples = 0.1, minSamples-1
	h.r.controlStep()
	if n.samples != minSamples-1 {
		t.Fatal("too few samples were not carried over")
	}
}

// The ring: a changed bound moves only keys that the changed replica gains or loses.
func TestRingMovesLittle(t *testing.T) {
	h := newHarness(t, settings())
	g := h.r.groups[0]
	owner := func() (of [2000]NodeID) {
		for i := range of {
			key := mix(uint64(i + 1))
			j := slices.IndexFunc(g.ring, func(p ringPoint) bool { return p.hash >= key })
			of[i] = g.ring[max(j, 0)].node.ID
		}
		return of
	}
	before := owner()
	h.r.byID[2].bound /= 2
	h.r.layRings()
	moved := 0
	for i, id := range owner() {
		if id != before[i] {
			moved++
			if before[i] != 2 {
				t.Fatalf("key %d moved from node %d, whose bound did not change", i, before[i])
			}
		}
	}
	if moved == 0 {
		t.Fatal("half the bound kept every key")
	}
}

// Reads go past a replica at its bound, clockwise, and the same session comes back to the same replica.
func TestWalk(t *testing.T) {
	h := newHarness(t, settings())
	out := h.arrive(7, classAny)
	first := out[0].Node
	h.done(7, 0, first, OK, Evidence{Role: Replica, Position: h.now})
	h.step(Event{Kind: RequestArrived, Request: 70, Arrival: Arrival{Class: classAny, Session: 7, TimeLeft: time.Second}})
	if again := h.r.byID[first]; again.inFlight != 1 {
		t.Fatal("the session moved to another replica")
	}
	h.r.byID[first].inFlight = 100
	out = h.step(Event{Kind: RequestArrived, Request: 71, Arrival: Arrival{Class: classAny, Session: 7, TimeLeft: time.Second}})
	if out[0].Node == first || out[0].Node == 1 {
		t.Fatalf("sent to node %d, want the other replica", out[0].Node)
	}
}

// Reads that any data satisfies may hold the log up where they are: long ones stay at one replica, and others stay fresh.
// Those that end within the age that bounded reads bear harm no one, and would only crowd that replica.
func TestLongReadsOfAnyDataKeepTogether(t *testing.T) {
	for aim, replicas := range map[time.Duration]int{200 * ms: 2, 201 * ms: 1} { // classBounded takes 200 ms
		s := settings()
		s.Classes[classAny].LatencyObjective = aim
		h := newHarness(t, s)
		used := map[NodeID]int{}
		for id := RequestID(10); id < 14; id++ {
			used[h.arrive(id, classAny)[0].Node]++
		}
		if len(used) != replicas {
			t.Fatalf("aim %v: sent to %v, want %d replicas", aim, used, replicas)
		}
	}
}

// Nodes that hold as many as they are taken to work on, and report that nobody waits there, are given more; once many
// wait, less again. Without such reports they are given what a small node takes.
func TestSizeFromReports(t *testing.T) {
	for _, tells := range []bool{false, true} {
		h := newHarness(t, settings())
		id := RequestID(10)
		var open []RequestID
		at := map[RequestID]NodeID{}
		round := func(waiting float64) (out int) { // a round of reads, with as many out as are let in
			for range 60 {
				id++
				for _, a := range h.arrive(id, classAny) {
					if a.Kind == Send {
						open, at[id] = append(open, id), a.Node
					}
				}
			}
			out = len(open)
			for _, id := range open {
				h.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
					Node: at[id], Status: OK, Final: true,
					Duration: 150 * ms, Report: Evidence{Role: Replica, Position: h.now, ReportsQueue: tells, QueueLength: waiting},
				}})
			}
			open = nil
			h.now += 20 * ms
			return out
		}
		for range 50 {
			round(1) // neither one nor the other; until the latency is known
		}
		few := round(1)
		for range 300 {
			round(0)
		}
		many := round(0)
		if tells != (many > 2*few) {
			t.Fatalf("reports tell: %v; %d reads out at first, %d when nobody waited", tells, few, many)
		}
		for range 300 {
			round(1000)
		}
		if again := round(1000); again > few {
			t.Fatalf("reports tell: %v; %d reads out at first, %d when many waited", tells, few, again)
		}
	}
}

// Two connections in a row that break take a node out, one does not, nor one with an answer after it.
func TestOneBreakIsNoSign(t *testing.T) {
	h := newHarness(t, settings())
	n := h.r.byID[1]
	for i, status := range []Status{ConnectionBroken, OK, ConnectFailed, ConnectionBroken} {
		h.arrive(RequestID(i+1), classWrite)
		h.done(RequestID(i+1), 0, 1, status, Evidence{Role: Primary, Position: h.now})
		if n.ejected != (i == 3) {
			t.Fatalf("after %d outcomes down is %v", i+1, n.ejected)
		}
		h.wait(100 * ms)
	}
}

// Incident iee1e48: a node whose probes succeed while requests to it go unanswered is taken out all the same.
func TestMuteNode(t *testing.T) {
	h := newHarness(t, settings())
	for id := RequestID(10); id < 16; id++ {
		h.arrive(id, classBounded)
	}
	n := h.r.byID[2]
	for range 60 {
		h.wait(10 * ms)
		h.refresh()
	}
	if !n.ejected || !n.unresponsive {
		t.Fatal("node 2 answers no request and is still in service")
	}
}

// Incident i10e2be: a few client time-outs say nothing of a node that goes on answering.
func TestTimeOutsAreNotFailures(t *testing.T) {
	h := newHarness(t, settings())
	for id := RequestID(10); id < 20; id++ {
		h.arrive(id, classFresh)
		h.now += ms
		h.done(id, 0, 1, TimedOut, Evidence{})
	}
	if h.r.byID[1].ejected {
		t.Fatal("short client time-outs took the primary out of service")
	}
}

// Incident i10e2be: with no replica fresh, the reads that spill to the primary are bounded.
func TestSpillIsBounded(t *testing.T) {
	s := settings()
	s.CanProbe = false
	h := newHarness(t, s)
	h.now += 500 * ms // every position is too old now
	for id := RequestID(10); id < 200; id++ {
		h.arrive(id, classBounded)
	}
	if in := h.r.byID[1].inFlight; in == 0 || float64(in) > writeBoundMultiple*maxBound {
		t.Fatalf("%d spilled reads in flight at the primary, want 1 to %v", in, writeBoundMultiple*maxBound)
	}
}

// Where the list must be asked for, a failed call is repeated, ever later.
func TestSubscribeAgain(t *testing.T) {
	s := settings()
	s.ListIsPolled = true
	h := &harness{t, New(s, 1), start}
	h.want("start", h.list(Node{ID: 1, State: Ready}), Subscribe)
	h.want("unanswered", h.wait(time.Second))
	h.step(Event{Kind: ListFailed})
	h.want("after a failure", h.wait(time.Second), Subscribe)
	h.step(Event{Kind: ListUpdated})
	h.want("subscribed", h.wait(20*time.Second))
}

func BenchmarkRequest(b *testing.B) {
	h := newHarness(&testing.T{}, settings())
	events, out := make([]Event, 1), []Action(nil)
	b.ReportAllocs()
	for i := range b.N {
		h.now += ms
		id := RequestID(i + 1)
		events[0] = Event{Kind: RequestArrived, Request: id, Arrival: Arrival{Session: uint64(id), TimeLeft: time.Second}}
		out = h.r.Step(h.now, events, out[:0])
		for _, a := range out {
			if a.Kind == Send {
				events[0] = Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
					Node: a.Node, Final: true,
					Duration: ms, Note: Evidence{Role: Replica, Position: h.now},
				}}
			}
		}
		out = h.r.Step(h.now, events, out[:0])
	}
}

// Incident i8c46d3: an attempt that much later ones overtook was lost; it must not count as in flight for the
// seconds until its time-out, and a read gets a copy.
func TestLostAttempt(t *testing.T) {
	h := newHarness(t, settings())
	h.want("write", h.arrive(7, classWrite), Send)
	for id := RequestID(10); id < 40; id++ {
		h.now += 20 * ms
		h.arrive(id, classFresh)
		h.step(Event{Kind: AttemptDone, Request: id, Outcome: Outcome{
			Node: 1, Duration: 10 * ms, Final: true,
			Note: Evidence{Role: Primary, Position: h.now},
		}})
		h.step(Event{Kind: TimerFired})
	}
	if in := h.r.byID[1].inFlight; in != 0 {
		t.Fatalf("%d in flight at the primary, want the lost write not counted", in)
	}
	h.done(7, 0, 1, TimedOut, Evidence{})
	if in := h.r.byID[1].inFlight; in != 0 {
		t.Fatalf("%d in flight after the lost write's time-out", in)
	}
}

// Where only draining binds, a node that the list merely lost may be tried; one that was seen draining may not.
func TestGoneIsNotBinding(t *testing.T) {
	for _, drained := range []bool{false, true} {
		s := settings()
		s.OnlyDrainingBinds = true
		h := newHarness(t, s)
		if drained {
			h.list(Node{ID: 1, State: Draining}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
			h.now += s.DrainGrace
		}
		h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 1, State: Gone}}})
		sent := len(h.arrive(7, classWrite)) == 1
		if sent == drained {
			t.Errorf("seen draining: %v, sent: %v", drained, sent)
		}
	}
}

// Positions never go back: an old report does not take a proven position away.
func TestPositionsNeverGoBack(t *testing.T) {
	h := newHarness(t, settings())
	h.probed(2, Replica, h.now-time.Minute)
	if n := h.r.byID[2]; n.position != h.now {
		t.Fatalf("position %v after an old report, want %v", n.position, h.now)
	}
}

// A late list that calls a deposed primary back is not believed over the node's own word.
func TestLateListIsNotBelieved(t *testing.T) {
	s := settings()
	s.ListHintsRole = true
	h := newHarness(t, s)
	h.probed(1, Replica, h.now+1)
	h.now += time.Minute
	h.list(Node{ID: 1, State: Ready, Primary: true}, Node{ID: 2, State: Ready}, Node{ID: 3, State: Ready})
	h.want("write", h.arrive(7, classWrite))
}

// Without probes a lost primary is found by the writes themselves: a member that is none turns them away untouched.
func TestPrimaryFoundWithoutProbes(t *testing.T) {
	s := settings()
	s.CanProbe = false
	h := newHarness(t, s)
	out := h.arrive(7, classWrite)
	h.want("write", out, Send)
	for i := range 2 {
		n := out[0].Node
		out = h.done(7, i, n, NodeRejected, Evidence{Role: Replica, Position: h.now})
		h.want("turned away", out, Send)
	}
	if n := out[0].Node; n == 1 {
		t.Fatal("the write came back to the old primary before the others were tried")
	}
}

// A read that must be current goes to the primary even where nodes check: no replica can be proven to have it all.
func TestFreshReadGoesToThePrimary(t *testing.T) {
	s := settings()
	s.StaleReads = StaleRejected
	h := newHarness(t, s)
	h.now += ms
	out := h.arrive(7, classFresh)
	h.want("fresh read", out, Send)
	if out[0].Node != 1 {
		t.Fatalf("sent to node %d, want the primary", out[0].Node)
	}
}

// Large groups: every member is looked at, past any word size.
func TestWalkOfALargeGroup(t *testing.T) {
	h := &harness{t, New(settings(), 1), start}
	var nodes []Node
	for id := NodeID(1); id <= 70; id++ {
		nodes = append(nodes, Node{ID: id, State: Ready})
	}
	h.list(nodes...)
	for _, n := range h.r.nodes {
		n.ejected = n.ID != 70
	}
	out := h.arrive(7, classAny)
	h.want("read with one node left", out, Send)
}

// The drain rule counts from the first news that a node is going, also if no list had it ready before.
func TestDrainCountsFromTheFirstNews(t *testing.T) {
	h := &harness{t, New(settings(), 1), start}
	h.list(Node{ID: 1, State: Gone}, Node{ID: 2, State: Ready})
	h.now += 3 * time.Second
	h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 1, State: Draining}}})
	h.probed(1, Primary, h.now)
	h.want("write three seconds after the news", h.arrive(7, classWrite))
}

// What has reached no node is let go by half its time, when its client can still act; what one has turned away is
// held to its deadline.
func TestLetGoByHalfItsTime(t *testing.T) {
	h := newHarness(t, settings())
	h.probed(1, Replica, h.now+1)
	h.want("write without primary", h.arrive(7, classWrite))
	h.want("until half its time", h.wait(time.Second), Reject)

	h = newHarness(t, settings())
	h.want("write", h.arrive(8, classWrite), Send)
	h.want("no connection", h.done(8, 0, 1, ConnectFailed, Evidence{}))
	h.want("no primary", h.probed(1, Replica, h.now+1))
	h.want("until half its time", h.wait(time.Second), Reject)

	h = newHarness(t, settings())
	h.want("write", h.arrive(9, classWrite), Send)
	h.want("turned away", h.done(9, 0, 1, NodeRejected, Evidence{Role: Replica, Position: h.now + 1}))
	h.want("half its time", h.wait(time.Second))
	h.want("its deadline", h.wait(time.Second), Reject)
}

// A report that may take seconds does not make its node look hung: with nothing else out there, it is still the
// primary that a write goes to.
func TestLongReportIsNoSilence(t *testing.T) {
	s := settings()
	s.Classes[classAny].LatencyObjective, s.Classes[classAny].Deadline = 5*time.Second, 10*time.Second
	h := newHarness(t, s)
	h.list(Node{ID: 1, State: Ready})
	h.probed(1, Replica, h.now)
	h.want("report", h.arrive(7, classAny), Send)
	h.wait(2 * time.Second)
	h.probed(1, Primary, h.now)
	h.want("write while it runs", h.arrive(8, classWrite), Send)
}

// Incident rude+garble+fleet: a node behind a cut has run on, and takes its share at once when it is back; one whose
// process was not there is taken for cold.
func TestBackFromACut(t *testing.T) {
	for status, cold := range map[Status]bool{ConnectFailed: false, ConnectRefused: true} {
		h := newHarness(t, settings())
		for range 2 {
			h.step(Event{Kind: ProbeDone, Outcome: Outcome{Node: 2, Status: status}})
		}
		behind := h.now
		n := h.r.byID[2]
		if !n.ejected {
			t.Fatal("node 2 is unreachable and in service")
		}
		h.now += 5 * time.Second
		h.probed(2, Replica, behind) // it was cut off from its primary, too
		if n.ejected || (h.r.capacityShare(n) < 1) != cold {
			t.Fatalf("after %v node 2 is down: %v, warmth %v", status, n.ejected, h.r.capacityShare(n))
		}
	}
}

// A node that is gone is remembered for a while, for what it says of itself if it comes back, and then no more: machines that replace
// each other have ever new names. One that still answers, or has a request out, stays.
func TestGoneNodesAreForgotten(t *testing.T) {
	h := newHarness(t, settings())
	h.want("a read", h.arrive(1, classAny), Send)
	busy := h.r.requests[1].attempts[0].node.ID
	next := NodeID(10)
	for range 1000 {
		h.now += time.Minute
		h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: next, State: Gone}, {ID: next + 1, State: Ready}}})
		if !h.r.Knows(next) || !h.r.Knows(next+1) {
			t.Fatal("one that has just gone, or come, is known")
		}
		next++
	}
	if n := len(h.r.nodes); n > 3+1+11 || len(h.r.byID) != n {
		t.Fatalf("%d nodes are remembered, %d by ID", n, len(h.r.byID))
	}
	h.list(Node{ID: next, State: Ready}) // the first three are gone, one of them with a read out
	h.now += time.Hour
	h.list(Node{ID: next, State: Ready})
	if !h.r.Knows(busy) || len(h.r.nodes) != 2 {
		t.Fatalf("%d nodes are remembered, the busy one: %v", len(h.r.nodes), h.r.Knows(busy))
	}
	h.done(1, 0, busy, TimedOut, Evidence{})
	h.list(Node{ID: next, State: Ready})
	if h.r.Knows(busy) {
		t.Fatal("the busy one is remembered for ever")
	}
	h.list(Node{ID: next, State: Ready}, Node{ID: busy, State: Ready, Started: h.now})
	if n := h.r.byID[busy]; n == nil || n.role != RoleUnknown || n.position != 0 || h.r.capacityShare(n) == 1 {
		t.Fatal("one that comes back is as a new one, and cold as it is listed")
	}
}

// A probe that was never sent, as the router's own machine lacked something, tells nothing of the node, however often;
// one that found nobody does.
func TestProbesThatWereNeverSent(t *testing.T) {
	for _, c := range []struct {
		status Status
		want   []ActionKind
	}{{NotSent, []ActionKind{Send}}, {ConnectFailed, nil}} {
		h := newHarness(t, settings())
		for range 8 {
			h.step(Event{Kind: ProbeDone, Outcome: Outcome{Node: 1, Status: c.status}})
		}
		h.want(fmt.Sprint("a write after probes of status ", c.status), h.arrive(7, classWrite), c.want...)
	}
}
