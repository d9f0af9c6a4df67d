package contract_test

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"io"
	"math"
	"math/rand/v2"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// Codes of events and of actions on the simulator's wire.
const (
	eventHalt, eventConfigure, eventOrder, eventAbout       = 16, 17, 18, 19
	eventElapsed, eventDone, eventStatusBack, eventDropped  = 20, 21, 22, 23
	eventDefineList, eventTargets, eventUnknown             = 25, 26, 99
	actionAbort, actionDefer, actionTransmit, actionBounce  = 16, 17, 19, 20
	actionKeepInformed, actionProbe, actionAs, actionCancel = 24, 25, 26, 28
)

// Statuses of outcomes on the simulator's wire.
const (
	statusOK, statusMoot, statusMiss, statusCancelled       = 200, 410, 404, 499
	statusError, statusFull, statusTimeout                  = 500, 503, 504
	statusConnectFailed, statusReset                        = 502, 598
	listDelta, listFull, listCached, listFailed       uint8 = 0, 1, 2, 3
	nodeGone, nodeReady, nodeDraining                 uint8 = 0, 1, 2
	rolePrimary, roleReplica                                = 1, 2
)

// site is the settings that one simulated instance starts with.
type site struct {
	text    string
	classes int
	tenants int
	writes  int // the class of writes
	pushed  bool
}

var sites = []site{
	{text: siteAsked, classes: 5, tenants: 2, writes: 4},
	{text: sitePushed, classes: 4, tenants: 1, writes: 3, pushed: true},
	{text: siteStrict, classes: 3, tenants: 1, writes: 2},
}

const siteAsked = `{"balancers": 3, "myNumber": 0, "locality": 0, "membershipMode": "on_request", "overShareWorth": 0.1,
 "zones": ["north", "south", "east"],
 "allowed": {"cancel": true, "connectTimeoutMs": 250.0, "keepaliveMs": 15000.0, "maxRetryAfterMs": 2000.0,
  "probes": true, "retryAfter": true, "secondCopies": true, "sendCap": 10},
 "extra": {"behind": "bounce", "classRead": ["lag_bound", "eventual", "causal", "strong", "mutate"],
  "listRole": "trailing", "maxAgeMs": [500.0, 0.0, 0.0, 0.0, 0.0], "originTimeMs": 1000.5,
  "sessionMarks": "brought", "stamps": true},
 "feedback": {"fields": ["x0", "x1", "backlog"], "source": "answers"},
 "projects": [{"name": "office", "quotaPerS": 60.0, "share": 0.7}, {"name": "shop", "quotaPerS": 8.0, "share": 0.3}],
 "lanes": [
  {"aimMs": 200.0, "credit": 2.0, "deadlineMs": 900.0, "group": "all", "idempotency": "safe", "lateValue": 0.2},
  {"aimMs": 800.0, "credit": 6.0, "deadlineMs": 2500.0, "group": "all", "idempotency": "safe", "lateValue": 0.3,
   "aimStretch": 4.0},
  {"aimMs": 250.0, "credit": 1.0, "deadlineMs": 750.0, "group": "zone", "idempotency": "keyed",
   "dedupWindowMs": 500.0},
  {"aimMs": 250.0, "credit": 1.5, "deadlineMs": 900.0, "group": "cell", "idempotency": "keyed",
   "dedupWindowMs": 600.0},
  {"aimMs": 300.0, "credit": 3.0, "deadlineMs": 1500.0, "group": "all", "idempotency": "unsafe", "lateValue": 0.5}],
 "rules": {"answerSlackMs": 20.0, "askWithinMs": 4000.0, "coldFrom": 0.16, "coldMs": 6000.0, "drainGraceMs": 500.0,
  "fallMs": 1000.0, "tipMultiple": 2.5}}`

const sitePushed = `{"balancers": 3, "myNumber": 1, "locality": 1, "membershipMode": "pushed", "overShareWorth": 0.2,
 "zones": ["north", "south", "east"],
 "allowed": {"cancel": false, "connectTimeoutMs": 250.0, "keepaliveMs": 15000.0, "maxRetryAfterMs": 1000.0,
  "probes": true, "retryAfter": true, "secondCopies": false, "sendCap": 4},
 "extra": {"behind": "none", "classRead": ["lag_bound", "causal", "strong", "mutate"], "listRole": "static",
  "maxAgeMs": [800.0, 0.0, 0.0, 0.0], "originTimeMs": 1000.5, "sessionMarks": "kept", "stamps": true},
 "feedback": {"fields": ["x0", "x1", "utilization"], "source": "probe"}, "projects": [],
 "lanes": [
  {"aimMs": 150.0, "credit": 1.0, "deadlineMs": 600.0, "group": "all", "idempotency": "safe", "lateValue": 0.4},
  {"aimMs": 250.0, "credit": 2.0, "deadlineMs": 1000.0, "group": "all", "idempotency": "keyed",
   "dedupWindowMs": 2000.0},
  {"aimMs": 250.0, "credit": 2.0, "deadlineMs": 1000.0, "group": "all", "idempotency": "safe", "lateValue": 0.1},
  {"aimMs": 400.0, "credit": 4.0, "deadlineMs": 2000.0, "group": "all", "idempotency": "unsafe", "lateValue": 0.5}],
 "rules": {"answerSlackMs": 20.0, "coldFrom": 0.19, "coldMs": 5000.0, "drainGraceMs": 800.0, "drainBindsAlone": true,
  "fallMs": 800.0, "tipMultiple": 3.0}}`

const siteStrict = `{"balancers": 1, "myNumber": 0, "locality": 2, "membershipMode": "on_request",
 "overShareWorth": 0.0, "zones": ["north", "south", "east"],
 "allowed": {"cancel": true, "connectTimeoutMs": 250.0, "keepaliveMs": 15000.0, "maxRetryAfterMs": 0.0,
  "probes": false, "retryAfter": false, "secondCopies": true, "sendCap": 3},
 "extra": {"behind": "await", "classRead": ["eventual", "lag_bound", "mutate"], "listRole": "none",
  "maxAgeMs": [0.0, 300.0, 0.0], "originTimeMs": 1000.5, "sessionMarks": "brought", "stamps": true, "waitMs": 50.0},
 "feedback": {"fields": ["utilization", "backlog", "x0"], "source": "answers"}, "projects": [],
 "lanes": [
  {"aimMs": 100.0, "credit": 1.0, "deadlineMs": 500.0, "group": "all", "idempotency": "safe", "lateValue": 0.0},
  {"aimMs": 100.0, "credit": 5.0, "deadlineMs": 700.0, "group": "all", "idempotency": "safe", "lateValue": 0.6},
  {"aimMs": 200.0, "credit": 3.0, "deadlineMs": 900.0, "group": "cell", "idempotency": "keyed",
   "dedupWindowMs": 400.0}],
 "rules": {"answerSlackMs": 20.0, "coldFrom": 0.5, "coldMs": 3000.0, "drainGraceMs": 300.0, "fallMs": 500.0,
  "tipMultiple": 2.0}}`

// simulator plays databases, clients, discovery and time to the instances of one process, from a fixed seed. Each of
// its events depends on the seed and on the replies before it alone.
type simulator struct {
	t         *testing.T
	random    *rand.Rand
	now       float64 // milliseconds
	round     uint32
	in        io.Writer
	out       io.Reader
	databases []*database
	instances []*instance
	due       queue
	sequence  int
	nextID    uint64
	revision  uint64
	actions   map[uint8]int  // seen, by code
	statuses  map[uint16]int // told, by status
	world     *instance      // has no router: what happens to databases whatever becomes of routers
}

// database is one of the simulated databases and how it behaves just now.
type database struct {
	address [6]byte
	group   uint16
	zone    uint16
	status  uint8
	started float64
	primary bool
	mood    mood
	lag     float64 // milliseconds behind the primary
	busy    int     // attempts that it works on
}

// mood is how a database behaves.
type mood int

const (
	well mood = iota
	slow
	failing
	full
	silent
	down
	unreachable
	resetting
	moods
)

// instance is one router.
type instance struct {
	number  uint32
	site    site
	open    map[uint64]*request
	known   map[uint64]*request // since its start
	life    int                 // counts its starts: what was under way before means nothing
	watches bool
	lists   uint64 // revision of the list that it was told last
}

// request is one of a client's.
type request struct {
	id       uint64
	class    uint16
	expires  float64 // clock at which the client gives up
	attempts []*attempt
	over     bool
}

type attempt struct {
	database  *database
	cancelled bool
	done      bool
}

// dueEvent is something that is to happen at a time; equal times keep their order.
type dueEvent struct {
	at       float64
	sequence int
	instance *instance
	life     int
	record   func() []byte // nil: it has become void
}

type queue []*dueEvent

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(*dueEvent)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Shape of the simulated site.
const (
	simulationSeed  = 20261202
	groups          = 2
	databasesEach   = 5
	simulatedZones  = 3
	requestsPerMs   = 0.12 // of one instance
	roundMs         = 5.0
	simulatedOrigin = 1000.5
)

func newSimulator(t *testing.T) *simulator {
	s := &simulator{t: t, random: rand.New(rand.NewPCG(simulationSeed, 1)), now: 5000, nextID: 1 << 40, revision: 1,
		actions: map[uint8]int{}, statuses: map[uint16]int{}, world: &instance{}}
	for i := range groups * databasesEach {
		s.databases = append(s.databases, &database{
			address: [6]byte{10, 18, byte(i), 7, 0x23, 0x2b},
			group:   uint16(11 + i/databasesEach),
			zone:    uint16(i % simulatedZones),
			status:  nodeReady,
			primary: i%databasesEach == 0,
			lag:     float64(20 * (i % databasesEach)),
		})
	}
	for i, site := range sites {
		s.instances = append(s.instances, &instance{number: uint32(i + 3), site: site})
	}
	return s
}

// start runs the program of the simulator's wire.
func (s *simulator) start() {
	process := exec.Command(program(simulated))
	in, err := process.StdinPipe()
	require.NoError(s.t, err)
	out, err := process.StdoutPipe()
	require.NoError(s.t, err)
	var stderr bytes.Buffer
	process.Stderr = &stderr
	require.NoError(s.t, process.Start())
	s.in, s.out = in, out
	s.t.Cleanup(func() {
		in.Close()
		require.NoError(s.t, process.Wait(), "at the end of its input: %s", &stderr)
	})
}

func record(code uint8, fields ...[]byte) []byte {
	body := bytes.Join(fields, nil)
	return append(binary.BigEndian.AppendUint32([]byte{code}, uint32(len(body))), body...)
}

func u16(v uint16) []byte  { return binary.BigEndian.AppendUint16(nil, v) }
func u32(v uint32) []byte  { return binary.BigEndian.AppendUint32(nil, v) }
func u64(v uint64) []byte  { return binary.BigEndian.AppendUint64(nil, v) }
func f32(v float64) []byte { return u32(math.Float32bits(float32(v))) }
func f64(v float64) []byte { return u64(math.Float64bits(v)) }

// after plans an event for an instance. The record is made when it is due.
func (s *simulator) after(ms float64, i *instance, record func() []byte) {
	s.sequence++
	heap.Push(&s.due, &dueEvent{at: s.now + ms, sequence: s.sequence, instance: i, life: i.life, record: record})
}

// step plays one round and returns the reply's bytes.
func (s *simulator) step() []byte {
	s.now += roundMs
	s.round++
	s.change()
	b := &batch{events: make([][][]byte, len(s.instances))}
	s.starts(b)
	s.fall(b)
	s.news(b)
	s.arrivals(b)
	return s.exchange(b)
}

// batch is the events of a round: the lists that they name, and those of each instance.
type batch struct {
	lists  [][]byte
	events [][][]byte
}

func (b *batch) add(number int, records ...[]byte) {
	b.events[number] = append(b.events[number], records...)
}

// starts lets instances start: all in the first round, and one again now and then.
func (s *simulator) starts(b *batch) {
	for number, i := range s.instances {
		if s.round == 1 || s.chance(0.0006) { // it starts, again if it runs already
			b.add(number, s.configure(i, s.round > 1)...)
			b.lists = append(b.lists, s.list(number, s.databases))
			b.add(number, targets(listCached, s.revision, number))
			i.lists = s.revision
		}
	}
}

// fall hands over what has fallen due.
func (s *simulator) fall(b *batch) {
	for len(s.due) > 0 && s.due[0].at <= s.now {
		e := heap.Pop(&s.due).(*dueEvent)
		if e.life != e.instance.life {
			continue
		}
		number := int(e.instance.number) - 3
		if r := e.record(); r != nil {
			b.add(number, r)
		}
	}
}

// news hands over changed lists to those that watch.
func (s *simulator) news(b *batch) {
	for number, i := range s.instances {
		if i.watches && i.lists != s.revision {
			b.lists = append(b.lists, s.list(number, s.databases))
			kind := listFull
			if s.chance(0.5) {
				kind = listDelta
			}
			b.add(number, targets(kind, s.revision, number))
			i.lists = s.revision
		}
		if i.watches && !i.site.pushed && s.chance(0.002) { // the watch breaks
			i.watches = false
			b.add(number, targets(listFailed, 0, 0))
		}
	}
}

// arrivals lets clients come and go.
func (s *simulator) arrivals(b *batch) {
	for number, i := range s.instances {
		for s.chance(requestsPerMs * roundMs) {
			b.add(number, s.order(i))
		}
		if s.chance(0.01) { // one of a code that is not known, as may be added later
			b.add(number, record(eventUnknown, []byte("later")))
		}
		if len(i.open) > 0 && s.chance(0.03) {
			b.add(number, s.gone(i))
		}
	}
}

func (s *simulator) chance(p float64) bool { return s.random.Float64() < p }

// change lets databases fall ill, recover, drain, restart and swap their roles now and then.
func (s *simulator) change() {
	if s.chance(0.03) {
		d := s.databases[s.random.IntN(len(s.databases))]
		switch {
		case d.mood != well:
			d.mood = well
		case s.chance(0.3):
			d.mood = mood(1 + s.random.IntN(int(moods)-1))
		}
	}
	if s.chance(0.02) {
		s.databases[s.random.IntN(len(s.databases))].lag = 1500 * s.random.Float64() * s.random.Float64()
	}
	if s.chance(0.008) {
		s.revision++
		d := s.databases[s.random.IntN(len(s.databases))]
		switch {
		case d.status == nodeReady && !d.primary:
			d.status = nodeDraining
		case d.status == nodeDraining:
			d.status = nodeGone
		case d.status == nodeGone:
			d.status, d.started, d.mood, d.lag = nodeReady, s.now-100*s.random.Float64(), well, 0
		}
	}
	if s.chance(0.003) { // a whole group is slow, or behind, or well again
		episode := s.random.IntN(3)
		group := s.random.IntN(groups) * databasesEach
		for _, d := range s.databases[group : group+databasesEach] {
			switch {
			case episode == 0:
				d.mood = slow
			case episode == 1 && !d.primary:
				d.lag = 2000 + 3000*s.random.Float64()
			default:
				d.mood, d.lag = well, 0
			}
		}
	}
	if s.chance(0.002) { // another leads a group
		group := s.random.IntN(groups) * databasesEach
		next := s.databases[group+s.random.IntN(databasesEach)]
		if next.status == nodeReady {
			for _, d := range s.databases[group : group+databasesEach] {
				d.primary = d == next
			}
			s.revision++
		}
	}
}

func (s *simulator) configure(i *instance, halt bool) (records [][]byte) {
	if halt {
		records = append(records, record(eventHalt))
	}
	i.life++
	i.open, i.known = map[uint64]*request{}, map[uint64]*request{}
	i.watches = i.site.pushed
	text := []byte(i.site.text)
	return append(records, record(eventConfigure, u64(s.random.Uint64()), u32(uint32(len(text))), text))
}

// list is a numbered list of databases.
func (s *simulator) list(number int, databases []*database) []byte {
	fields := [][]byte{u16(uint16(number)), u32(uint32(len(databases)))}
	for _, d := range databases {
		leader := 0.0
		if d.primary {
			leader = 1
		}
		fields = append(fields, []byte{d.status}, f32(1), f32(leader), d.address[:], []byte{0}, f64(d.started),
			u16(d.zone), u16(d.group))
	}
	return record(eventDefineList, fields...)
}

func targets(kind uint8, revision uint64, list int) []byte {
	return record(eventTargets, []byte{kind}, u64(revision), u16(uint16(list)))
}

// order is a client's request.
func (s *simulator) order(i *instance) []byte {
	s.nextID += 1 + uint64(s.random.IntN(1000))
	class := s.random.IntN(i.site.classes)
	wait := 50 + 700*s.random.Float64()
	r := &request{id: s.nextID, class: uint16(class), expires: s.now + wait}
	i.open[r.id], i.known[r.id] = r, r
	bits, token, session := 0, 0.0, uint64(0)
	if s.chance(0.6) {
		session = 1 + uint64(s.random.IntN(40))
		if s.chance(0.5) {
			token = 400 * s.random.Float64()
		}
	}
	if s.chance(0.5) {
		bits |= 1
	}
	if s.chance(0.2) {
		bits |= 2
	}
	if class == i.site.writes {
		bits |= 4
	}
	s.after(wait, i, func() []byte { return s.expire(i, r) })
	return record(eventOrder, u64(r.id), u16(r.class), u16(uint16(s.random.IntN(i.site.tenants))), u64(session), f64(wait),
		f64(1+20*s.random.Float64()), f32(float64(11+s.random.IntN(groups))), f32(token), []byte{byte(bits)})
}

// expire tells that the final answer is overdue, where it is so after a while.
func (s *simulator) expire(i *instance, r *request) []byte {
	s.after(20, i, func() []byte { // the answer's slack
		if r.over {
			return nil
		}
		s.end(i, r)
		return record(eventDropped, u64(r.id))
	})
	return nil
}

// gone lets a client leave: the oldest of those that wait.
func (s *simulator) gone(i *instance) []byte {
	var first *request
	for _, r := range i.open {
		if first == nil || r.id < first.id {
			first = r
		}
	}
	s.end(i, first)
	return record(eventDropped, u64(first.id))
}

func (s *simulator) end(i *instance, r *request) {
	r.over = true
	delete(i.open, r.id)
}

// exchange sends a batch and takes its reply in.
func (s *simulator) exchange(b *batch) []byte {
	count, body := len(b.lists), bytes.Join(b.lists, nil)
	for number, records := range b.events {
		if len(records) == 0 {
			continue
		}
		count += 1 + len(records)
		body = append(body, record(eventAbout, u32(s.instances[number].number))...)
		body = append(body, bytes.Join(records, nil)...)
	}
	head := bytes.Join([][]byte{u32(uint32(len(body))), f64(s.now), u32(uint32(count)), u32(s.round)}, nil)
	_, err := s.in.Write(append(head, body...))
	require.NoError(s.t, err)
	head = make([]byte, 12)
	_, err = io.ReadFull(s.out, head)
	require.NoError(s.t, err)
	reply := make([]byte, binary.BigEndian.Uint32(head))
	_, err = io.ReadFull(s.out, reply)
	require.NoError(s.t, err)
	require.Equal(s.t, s.round, binary.BigEndian.Uint32(head[8:]), "the batch that is answered")
	s.take(reply, binary.BigEndian.Uint32(head[4:]))
	return append(head, reply...)
}

// take plays what a reply asks for.
func (s *simulator) take(reply []byte, count uint32) {
	var i *instance
	for range count {
		code, size := reply[0], binary.BigEndian.Uint32(reply[1:])
		fields := reply[5 : 5+size]
		reply = reply[5+size:]
		s.actions[code]++
		if code == actionAs {
			i = s.instances[binary.BigEndian.Uint32(fields)-3]
			continue
		}
		s.action(i, code, fields)
	}
	require.Empty(s.t, reply, "bytes behind the records")
}

func (s *simulator) action(i *instance, code uint8, fields []byte) {
	id := func() *request { return i.open[binary.BigEndian.Uint64(fields)] }
	switch code {
	case actionDefer:
		label := fields[8:16]
		wait := math.Float64frombits(binary.BigEndian.Uint64(fields))
		s.after(wait, i, func() []byte { return record(eventElapsed, label) })
	case actionAbort, actionBounce:
		if r := id(); r != nil {
			s.end(i, r)
		}
	case actionTransmit:
		r := id()
		require.NotNil(s.t, r, "round %d: an attempt for a request that is over", s.round)
		s.transmit(i, r, fields[8:14], math.Float64frombits(binary.BigEndian.Uint64(fields[14:])))
	case actionCancel:
		r := i.known[binary.BigEndian.Uint64(fields)]
		require.NotNil(s.t, r, "round %d: an attempt of an unknown request is cancelled", s.round)
		s.cancel(i, r, int(binary.BigEndian.Uint16(fields[8:])))
	case actionProbe:
		s.probe(i, s.find(fields))
	case actionKeepInformed:
		s.watch(i)
	default:
		require.Failf(s.t, "unknown action", "code %d", code)
	}
}

func (s *simulator) find(address []byte) *database {
	for _, d := range s.databases {
		if bytes.Equal(d.address[:], address[:6]) {
			return d
		}
	}
	require.Failf(s.t, "unknown database", "%x", address)
	return nil
}

// watch answers a call of discovery.
func (s *simulator) watch(i *instance) {
	if s.chance(0.3) {
		s.after(50*s.random.Float64(), i, func() []byte { return targets(listFailed, 0, 0) })
		return
	}
	i.watches, i.lists = true, 0
}

// transmit plays an attempt: what its database makes of it, and when that is told.
func (s *simulator) transmit(i *instance, r *request, address []byte, timeout float64) {
	d := s.find(address)
	a := &attempt{database: d}
	hop := len(r.attempts)
	r.attempts = append(r.attempts, a)
	left := r.expires - s.now
	if timeout == 0 || timeout > left {
		timeout = left
	}
	status, took := s.fate(i, r, d)
	if timeout <= 0 {
		status, took = statusMoot, 0
	} else if took > timeout {
		status, took = statusTimeout, timeout
	}
	d.busy++
	s.after(took, s.world, func() []byte {
		d.busy--
		return nil
	})
	s.after(took, i, func() []byte {
		if a.done {
			return nil
		}
		return s.done(i, r, hop, a, uint16(status), took)
	})
}

// fate is what a database makes of an attempt, and after how many milliseconds.
func (s *simulator) fate(i *instance, r *request, d *database) (status int, took float64) {
	work := 2 + 18*s.random.Float64()
	took = work * (1 + 0.3*float64(d.busy))
	if d.status == nodeGone || d.mood == down {
		return statusConnectFailed, 1
	}
	switch d.mood {
	case slow:
		took *= 15
	case failing:
		return statusError, took
	case full:
		return statusFull, 1
	case silent:
		return statusTimeout, 1e6
	case unreachable:
		return statusConnectFailed, 250
	case resetting:
		return statusReset, took
	}
	switch {
	case int(r.class) == i.site.writes && !d.primary, d.lag > 700 && s.chance(0.2):
		return statusMiss, 1
	case s.chance(0.01):
		return statusError, took
	case s.chance(0.01):
		return statusReset, took
	case s.chance(0.005):
		return statusMoot, 0
	}
	return statusOK, took
}

// done tells how an attempt ended.
func (s *simulator) done(i *instance, r *request, hop int, a *attempt, status uint16, took float64) []byte {
	a.done = true
	s.statuses[status]++
	if status == statusOK && !r.over {
		s.end(i, r)
	}
	ended := byte(0)
	if r.over {
		ended = 1
	}
	note := uint32(0)
	reports := []byte{0}
	if status == statusOK || status == statusMiss || status == statusFull || status == statusError {
		note = s.note(a.database)
		reports = s.report(i, a.database)
	}
	return record(eventDone, u64(r.id), u16(uint16(hop)), a.database.address[:], u16(status), f64(took),
		[]byte{ended}, u32(note), reports)
}

// note is position and role as outcomes tell them.
func (s *simulator) note(d *database) uint32 {
	position := s.now - simulatedOrigin
	role := uint32(rolePrimary)
	if !d.primary {
		position -= d.lag
		role = roleReplica
	}
	return uint32(math.Floor(position))*4 + role
}

// report is a load report of three values; which they are depends on the site.
func (s *simulator) report(i *instance, d *database) []byte {
	primary := 0.0
	if d.primary {
		primary = 1
	}
	position := f32((s.now - simulatedOrigin - d.lag) / 1000)
	load := f32(float64(d.busy))
	if i.site.text == siteStrict {
		return bytes.Join([][]byte{{3}, f32(0.4), load, position}, nil)
	}
	return bytes.Join([][]byte{{3}, position, f32(primary), load}, nil)
}

// cancel ends the wait for an attempt, unless its outcome is told already.
func (s *simulator) cancel(i *instance, r *request, hop int) {
	require.Less(s.t, hop, len(r.attempts), "round %d: an attempt that was never made is cancelled", s.round)
	a := r.attempts[hop]
	if a.done || a.cancelled {
		return
	}
	a.cancelled = true
	s.after(1, i, func() []byte {
		if a.done {
			return nil
		}
		return s.done(i, r, hop, a, statusCancelled, 1)
	})
}

// probe tests a database.
func (s *simulator) probe(i *instance, d *database) {
	status, took := statusOK, 1+4*s.random.Float64()
	switch {
	case d.status == nodeGone || d.mood == down:
		status, took = statusConnectFailed, 1
	case d.mood == failing:
		status = statusError
	case d.mood == silent || d.mood == unreachable:
		status, took = statusTimeout, 250
	case d.mood == resetting:
		status = statusReset
	}
	s.after(took, i, func() []byte {
		reports := []byte{0}
		if status == statusOK {
			reports = s.report(i, d)
		}
		return record(eventStatusBack, d.address[:], u16(uint16(status)), f64(took), reports)
	})
}
