package routing

import (
	"fmt"
	"testing"
	"time"
)

// A probe that was never sent, as the router's own machine lacked something, tells nothing of the node, however
// often; one that found nobody does.
func TestProbesThatWereNeverSentTellNothing(t *testing.T) {
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

// Routers that see little traffic must not probe more than they send: 90 of them, ten requests a second each, stay
// within the share that requests pay for, on sound and on dead nodes. A start or a new list gives no more.
func TestProbesOfAllRoutersTogether(t *testing.T) {
	for _, dead := range []bool{false, true} {
		s := settings()
		s.Routers = 90
		probes, requests := 0, 0
		const nodes, seconds = 20, 60
		for i := range 3 { // every router acts alike but for its seed
			h := &harness{t, New(s, uint64(i)), start}
			var list []Node
			for id := range nodes {
				list = append(list, Node{ID: NodeID(id + 1), State: Ready, Group: id / 5})
			}
			events := []Event{{Kind: ListComplete, Nodes: list}}
			for step := range seconds * 100 {
				var next []Event
				for _, a := range h.r.Step(h.now, events, nil) {
					switch status := OK; a.Kind {
					case Probe:
						probes++
						if dead {
							status = TimedOut
						}
						next = append(next, Event{Kind: ProbeDone, Outcome: Outcome{
							Node: a.Node, Status: status,
							Report: Evidence{Role: Replica, Position: h.now},
						}})
					case Send:
						next = append(next, Event{Kind: AttemptDone, Request: a.Request, Outcome: Outcome{
							Node:   a.Node,
							Status: OK, Duration: 10 * ms, Final: true, Note: Evidence{Role: Replica, Position: h.now},
						}})
					}
				}
				if step%10 == 0 {
					requests++
					next = append(next, Event{Kind: RequestArrived, Request: RequestID(step + 1), Arrival: Arrival{
						Class: classAny, Group: step / 10 % 4, TimeLeft: time.Second,
					}})
				}
				events = append(next, Event{Kind: TimerFired})
				h.now += tickInterval
			}
		}
		if most := (probesPerRequest + probesPerRequestAlone/90) * float64(requests); float64(probes) > most || probes < nodes {
			t.Errorf("dead %v: %d probes for %d requests, most %.0f", dead, probes, requests, most)
		}
	}
}

// Where nodes do not check, a read that no replica is proven fresh for asks one for its report and goes to it as
// soon as that proves it; after maxProbesPerRead reports that do not, the primary takes it.
func TestReadProbesForAProof(t *testing.T) {
	for _, lag := range []time.Duration{50 * ms, time.Second} {
		h := newHarness(t, settings())
		h.now += 2 * time.Second
		events := []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
			Class: classBounded, Session: 7,
			TimeLeft: time.Second,
		}}}
		asked, sent := 0, NodeID(0)
		for range 20 {
			var next []Event
			for _, a := range h.r.Step(h.now, events, nil) {
				switch a.Kind {
				case Send:
					sent = a.Node
				case Probe:
					asked++
					next = append(next, Event{Kind: ProbeDone, Outcome: Outcome{
						Node:   a.Node,
						Report: Evidence{Role: map[bool]Role{true: Primary, false: Replica}[a.Node == 1], Position: h.now - lag},
					}})
				}
			}
			events, h.now = next, h.now+tickInterval
		}
		if fresh := lag < 200*ms; asked == 0 || fresh && sent <= 1 || !fresh && sent != 1 {
			t.Errorf("lag %v: %d probes, sent to node %d", lag, asked, sent)
		}
	}
}

// A group whose ring is empty must not be served by the replica that the search of another group found.
func TestProbeCandidateStaysInItsGroup(t *testing.T) {
	s := settings()
	s.StaleReads, s.CanProbe = StaleRejected, false
	h := newHarness(t, s)
	h.now += 900 * ms
	h.probed(2, Replica, h.now-500*ms)
	h.probed(3, Replica, h.now-500*ms)
	h.step(Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Ready, Group: 1}}},
		Event{Kind: ListUpdated, Nodes: []Node{{ID: 9, State: Gone, Group: 1}}})
	for id := range RequestID(4) { // in turn, so that a search of group 0 precedes each of group 1
		out := h.step(Event{Kind: RequestArrived, Request: id + 1, Arrival: Arrival{
			Class: classBounded,
			Group: int(id % 2), TimeLeft: time.Second,
		}})
		for _, a := range out {
			if a.Kind == Send && (a.Request == 2 || a.Request == 4) {
				t.Fatalf("a read of the empty group was sent to node %d", a.Node)
			}
		}
	}
}

// A replica whose answer has just shown that it lags is not probed again.
func TestNoProbeRightAfterAnAnswer(t *testing.T) {
	h := newHarness(t, settings())
	h.now += 2 * time.Second
	h.probed(2, Replica, h.now-time.Second)
	h.probed(3, Replica, h.now-time.Second)
	probes := 0
	for _, a := range h.r.Step(h.now, []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
		Class:    classBounded,
		TimeLeft: time.Second,
	}}}, nil) {
		if a.Kind == Probe {
			probes++
		}
	}
	if probes != 0 {
		t.Errorf("%d probes of replicas that have just spoken", probes)
	}
}

// Of replicas without proof, a read asks one that followed closely when it last spoke, whatever the ring says: many
// routers that each ask the one far behind learn the same, each at its own price.
func TestReadProbesAReplicaThatFollowed(t *testing.T) {
	for behind := NodeID(2); behind <= 3; behind++ {
		for session := range uint64(8) {
			h := newHarness(t, settings())
			h.now += 10 * time.Second
			for id := NodeID(2); id <= 3; id++ {
				lag := 20 * ms
				if id == behind {
					lag = 2 * time.Second
				}
				h.probed(id, Replica, h.now-lag)
			}
			h.now += 5 * time.Second
			h.r.nextTick = h.now + time.Second // no other probes
			for _, a := range h.r.Step(h.now, []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
				Class: classBounded, Session: session + 1, TimeLeft: time.Second,
			}}}, nil) {
				if a.Kind == Probe && a.Node == behind {
					t.Errorf("session %d: node %d is asked, 2 s behind when it last spoke", session, behind)
				}
			}
		}
	}
}

// A replica far behind is not asked again before part of its lag has passed: it cannot have caught up. Of many
// routers none asks before it may well have: they learn the same, each at its own price.
func TestNoProbeOfAReplicaFarBehind(t *testing.T) {
	for _, c := range []struct {
		routers int
		after   time.Duration
		asks    bool
	}{{3, 200 * ms, false}, {3, 1500 * ms, true}, {80, 1500 * ms, false}, {80, 4 * time.Second, true}} {
		s := settings()
		s.Routers = c.routers
		h := newHarness(t, s)
		h.now += 10 * time.Second
		h.probed(2, Replica, h.now-4*time.Second)
		h.probed(3, Replica, h.now-4*time.Second)
		h.now += c.after
		h.r.nextTick = h.now + time.Second // no other probes
		asked := false
		for _, a := range h.r.Step(h.now, []Event{{Kind: RequestArrived, Request: 7, Arrival: Arrival{
			Class: classBounded, TimeLeft: time.Second,
		}}}, nil) {
			asked = asked || a.Kind == Probe
		}
		if asked != c.asks {
			t.Errorf("%d routers, %v after the report of replicas 4 s behind: probed %v", c.routers, c.after, asked)
		}
	}
}
