package routing

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// The rules as far as they show at the interface, checked on random events under random settings. The events follow
// no model of a server: outcomes, lists and losses come at random.

type sent struct {
	node    NodeID
	at      time.Duration
	pending bool
}

type tracked struct {
	class    Class
	deadline time.Duration
	need     time.Duration
	tries    []sent
	mayRun   bool // an ended attempt without proof that it never ran
	over     bool
	gone     time.Duration // when the client left
}

type world struct {
	t             *testing.T
	s             Settings
	rng           *rand.Rand
	now           time.Duration
	next          RequestID
	requests      map[RequestID]*tracked
	open          []RequestID
	position      map[NodeID]time.Duration // last proven
	replica       map[NodeID]time.Duration // when an answer last said so, unless it has been primary since
	drainingSince map[NodeID]time.Duration
	probes        []NodeID
}

func (w *world) nodes() []Node {
	var list []Node
	for id := NodeID(1); id <= 8; id++ {
		n := Node{ID: id, Group: int(id) % 2, State: Ready, Primary: id <= 2, Zone: int(id) % 3}
		switch w.rng.IntN(12) {
		case 0:
			n.State = Draining
		case 1:
			n.State = Gone
		case 2:
			n.Started = w.now - time.Duration(w.rng.Int64N(int64(20*time.Second)))
		}
		list = append(list, n)
	}
	return list
}

func (w *world) told(nodes []Node) {
	for _, n := range nodes {
		if n.State == Ready {
			delete(w.drainingSince, n.ID)
		} else if _, known := w.drainingSince[n.ID]; !known {
			w.drainingSince[n.ID] = w.now
		}
	}
}

func (w *world) evidence(id NodeID) Evidence {
	e := Evidence{Role: Role(w.rng.IntN(3))}
	if w.rng.IntN(4) > 0 {
		e.Position = w.now - time.Duration(w.rng.Int64N(int64(3*time.Second)))
	}
	w.position[id] = max(w.position[id], e.Position)
	return e
}

// batch makes the next events and books what they tell.
func (w *world) batch() []Event {
	var events []Event
	if w.rng.IntN(40) == 0 {
		w.now += time.Duration(w.rng.Int64N(int64(3 * time.Second))) // a clock jump
	} else {
		w.now += time.Duration(w.rng.Int64N(int64(12 * ms)))
	}
	if w.rng.IntN(60) == 0 {
		nodes := w.nodes()
		w.told(nodes)
		kind := ListUpdated
		if w.rng.IntN(2) == 0 {
			kind = ListComplete
		}
		events = append(events, Event{Kind: kind, Nodes: nodes})
	}
	if w.rng.IntN(80) == 0 {
		events = append(events, Event{Kind: ListFailed})
	}
	for _, id := range w.probes {
		if w.rng.IntN(3) == 0 {
			events = append(events, Event{Kind: ProbeDone, Outcome: Outcome{Node: id, Status: TimedOut}})
			continue
		}
		e := w.evidence(id)
		if e.Role == Primary && e.Position >= w.replica[id] {
			delete(w.replica, id)
		}
		events = append(events, Event{Kind: ProbeDone, Outcome: Outcome{
			Node:   id,
			Status: OK, Report: e,
		}})
	}
	w.probes = w.probes[:0]
	var open []RequestID
	for _, id := range w.open {
		q := w.requests[id]
		for i := range q.tries {
			try := &q.tries[i]
			due := w.now >= q.deadline
			if !try.pending || !due && w.rng.IntN(5) > 0 {
				continue
			}
			o := Outcome{
				Node: try.node, Attempt: i, Duration: w.now - try.at, Note: w.evidence(try.node),
				Status: Status(w.rng.IntN(int(NodeRejected) + 1)),
			}
			if due {
				o.Status = TimedOut
			}
			try.pending = false
			q.mayRun = q.mayRun || !o.Status.NeverRan()
			o.Final = q.over || o.Status == OK
			q.over = o.Final
			switch o.Note.Role {
			case Primary:
				delete(w.replica, try.node)
			case Replica:
				w.replica[try.node] = w.now
			}
			events = append(events, Event{Kind: AttemptDone, Request: id, Outcome: o})
		}
		if !q.over && w.rng.IntN(200) == 0 {
			q.over, q.gone = true, w.now
			events = append(events, Event{Kind: ClientGone, Request: id})
		}
		pending := false
		for _, try := range q.tries {
			pending = pending || try.pending
		}
		if !q.over || pending {
			open = append(open, id)
		}
	}
	w.open = open
	for range w.rng.IntN(3) {
		w.next++
		class := w.rng.IntN(len(w.s.Classes))
		a := Arrival{
			Class: class, Group: w.rng.IntN(2), Session: uint64(w.rng.IntN(20)),
			TimeLeft: time.Duration(50+w.rng.IntN(1500)) * ms,
		}
		q := &tracked{class: w.s.Classes[class], deadline: w.now + a.TimeLeft}
		if q.class.Read == SessionRead && w.rng.IntN(2) == 0 {
			a.LastWrite = w.now - time.Duration(w.rng.Int64N(int64(time.Second)))
			q.need = a.LastWrite
		}
		if q.class.Read == FreshRead {
			q.need = w.now
		}
		w.requests[w.next] = q
		w.open = append(w.open, w.next)
		events = append(events, Event{Kind: RequestArrived, Request: w.next, Arrival: a})
	}
	if w.rng.IntN(50) == 0 { // about something the router no longer holds, or never did
		events = append(events, Event{Kind: AttemptDone, Request: w.next + 1000, Outcome: Outcome{Node: 99, Attempt: 3}},
			Event{Kind: ClientGone, Request: w.next + 1000})
	}
	return append(events, Event{Kind: TimerFired})
}

func (w *world) check(a Action) {
	switch a.Kind {
	case Probe:
		w.probes = append(w.probes, a.Node)
		return
	case Send, Reject, Fail, Cancel:
	default:
		return
	}
	q := w.requests[a.Request]
	if q == nil {
		w.t.Fatalf("%v: for a request never given", a)
	}
	if a.Kind == Cancel {
		if a.Attempt >= len(q.tries) {
			w.t.Fatalf("%v: of an attempt never made", a)
		}
		return
	}
	pending := 0
	for _, try := range q.tries {
		if try.pending {
			pending++
		}
	}
	if a.Kind != Send && q.gone == w.now {
		return // an answer from before the client left in the same batch is passed over
	}
	if q.over {
		w.t.Fatalf("%v: for a request that is over", a)
	}
	if a.Kind != Send {
		q.over = true
		if a.Kind == Reject && q.class.Effect != Idempotent && (q.mayRun || pending > 0) {
			w.t.Fatalf("%v: rejected though it may have run", a)
		}
		return
	}
	if q.class.Effect == NonIdempotent && (q.mayRun || pending > 0) {
		w.t.Fatalf("%v: an unsafe request that may have run is sent again", a)
	}
	if pending > 0 && !w.s.CanHedge || len(q.tries) >= w.s.MaxAttempts {
		w.t.Fatalf("%v: one attempt too many", a)
	}
	if off, told := w.drainingSince[a.Node]; told && w.now > off+w.s.DrainGrace {
		w.t.Fatalf("%v: %v after the node was listed as draining", a, w.now-off)
	}
	if _, replica := w.replica[a.Node]; replica && w.s.StaleReads == StaleAnswered {
		switch position := w.position[a.Node]; {
		case q.class.Read == BoundedRead && w.now-position > q.class.MaxAge,
			(q.class.Read == SessionRead || q.class.Read == FreshRead) && position < q.need:
			w.t.Fatalf("%v: a read of kind %d at a replica not proven fresh", a, q.class.Read)
		}
	}
	q.tries = append(q.tries, sent{a.Node, w.now, true})
}

func TestRulesOnRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := settings()
		s.Routers, s.MaxAttempts = 1+rng.IntN(4), 1+rng.IntN(6)
		s.StaleReads = StaleReads(rng.IntN(2))
		s.ListHintsRole = rng.IntN(2) == 0
		s.KeepSessions, s.ListIsPolled = rng.IntN(2) == 0, rng.IntN(2) == 0
		s.CanHedge, s.CanCancel, s.CanProbe = rng.IntN(3) > 0, rng.IntN(3) > 0, rng.IntN(4) > 0
		if rng.IntN(2) == 0 {
			s.Quotas = []float64{5}
		}
		w := &world{
			t: t, s: s, rng: rng, now: start, requests: map[RequestID]*tracked{},
			position: map[NodeID]time.Duration{}, replica: map[NodeID]time.Duration{},
			drainingSince: map[NodeID]time.Duration{},
		}
		r, twin := New(s, seed), New(s, seed)
		nodes := w.nodes()
		w.told(nodes)
		first := []Event{{Kind: ListComplete, Nodes: nodes}}
		for round := range 1500 {
			events := first
			if round > 0 {
				events = w.batch()
			}
			out := r.Step(w.now, events, nil)
			if again := twin.Step(w.now, events, nil); !reflect.DeepEqual(out, again) {
				t.Fatalf("seed %d: equal events, %v and %v", seed, out, again)
			}
			for _, a := range out {
				w.check(a)
			}
			for _, id := range w.open {
				if q := w.requests[id]; !q.over && w.now >= q.deadline {
					t.Fatalf("seed %d: request %d has no final answer at its deadline", seed, id)
				}
			}
		}
	}
}
