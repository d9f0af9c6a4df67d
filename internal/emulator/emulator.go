// Package emulator is a fleet of database families on a sim.Loop: cores and queues, a log that is shipped late and applied
// by one thread, cold starts, elections, and the faults of a scenario at their times. It knows no wire: package standin puts
// it on sockets, package model into virtual time. A Ledger checks the rules by itself.
package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"capercove/internal/scenario"
	"capercove/internal/sim"
)

// State of a database as the list tells it.
type State uint8

const (
	Serving State = iota
	Draining
	Gone
)

// Event is something that happened to the fleet, for reports.
type Event struct {
	At   time.Duration // after the beginning
	What string
}

// Fleet is all families.
type Fleet struct {
	World    *scenario.Scenario
	Loop     sim.Loop
	Ledger   *Ledger
	Families []*Family
	Members  []*Member
	Events   []Event
	Start    time.Duration
	Revision uint64

	// Edges are told of what they must carry out; each may be nil.
	Changed func(*Member)          // its state in the list, its start, or whether its process runs
	Pooler  func(f scenario.Fault) // a fault of a pooler
	Listing func(f scenario.Fault) // a fault of the list

	rng *rand.Rand
	cut map[string]bool // zones
}

// Family is a primary and its replicas.
type Family struct {
	scenario.Family
	fleet   *Fleet
	Members []*Member
	leader  *Member // nil: there is none
	turn    uint64  // of elections; one that was overtaken has no effect
}

// Member is one database.
type Member struct {
	Name, Zone string
	Family     *Family
	State      State
	Started    time.Duration // 0: long ago

	fleet   *Fleet
	running bool // its process
	hung    bool
	usurps  bool // it takes itself for the primary and is not
	slow    float64
	lag     float64
	Spoil   float64 // share of its answers that are spoilt
	Reset   int     // its connections break after so many bytes of an answer; 0: they do not
	life    uint64  // counts its starts; what a former life began has no effect

	busy    int
	waiting []*Job
	working map[*Job]struct{}
	blocked int // requests in work that hold the log up
	sent    []load
	Conns   int

	backlog  []time.Duration
	applying bool
	position time.Duration // frozen, while it does not follow
	frozen   bool
	report   Report
	reported time.Duration
}

type load struct {
	at   time.Duration
	work float64
}

// Job is a request at a database.
type Job struct {
	Request string
	Pooler  string
	Class   *scenario.Class
	Write   bool
	Done    func(Answer) // called once, on the loop; never if the database dies or hangs first, or the job is dropped

	dropped bool
	started bool
}

// Writes tells whether a statement writes, whatever its label.
func Writes(class *scenario.Class, sql string) bool {
	return class.Kind == "write" || strings.Contains(sql, "nextval(")
}

// Outcome of a job.
type Outcome uint8

const (
	Row  Outcome = iota
	Miss         // a write, and this is no primary
	Full
	Error
)

// Answer of a database.
type Answer struct {
	Outcome  Outcome
	Primary  bool
	Position time.Duration // up to which all commits are applied; of a write, its commit
	Value    string
}

// Report is what a database tells of itself when probed.
type Report struct {
	Position time.Duration
	Primary  bool
	Util     float64
}

// New returns a fleet that is warm and led by the first member of each family.
func New(w *scenario.Scenario, loop sim.Loop) *Fleet {
	f := &Fleet{World: w, Loop: loop, Start: loop.Now(), Revision: 1, rng: rand.New(rand.NewPCG(w.Seed, 0x666c656574)), cut: map[string]bool{}}
	f.Ledger = newLedger(f.Start)
	for _, described := range w.Families {
		family := &Family{Family: described, fleet: f}
		for i := range described.Members {
			m := &Member{Name: scenario.DatabaseName(described.Group, i), Zone: described.Zone(i), Family: family, fleet: f, running: true,
				slow: 1, lag: 1, working: map[*Job]struct{}{}}
			family.Members = append(family.Members, m)
			f.Members = append(f.Members, m)
		}
		family.leader = family.Members[0]
		f.Families = append(f.Families, family)
	}
	return f
}

// Begin begins the experiment: from now on its faults come at their times.
func (f *Fleet) Begin() {
	f.Start = f.Loop.Now()
	f.Ledger.start = f.Start
	for _, fault := range f.World.Faults {
		f.Loop.At(f.Start+scenario.Seconds(fault.At), func() { f.fault(fault) })
	}
}

// Member returns a database by name, nil if there is none; primary-G is the one that leads group G now, or led last.
func (f *Fleet) Member(name string) *Member {
	for _, family := range f.Families {
		if name == fmt.Sprintf("primary-%d", family.Group) {
			return cmp.Or(family.leader, family.Members[0])
		}
	}
	for _, m := range f.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (f *Fleet) note(format string, a ...any) {
	f.Events = append(f.Events, Event{f.Loop.Now() - f.Start, fmt.Sprintf(format, a...)})
}

func (f *Fleet) draw(r scenario.Range) float64 { return r[0] + (r[1]-r[0])*f.rng.Float64() }

func (f *Fleet) after(seconds float64, call func()) {
	f.Loop.At(f.Loop.Now()+scenario.Seconds(seconds), call)
}

// Parted tells whether two zones cannot reach each other.
func (f *Fleet) Parted(a, b string) bool { return a != b && (f.cut[a] || f.cut[b]) }

// ---- Faults

func (f *Fleet) fault(x scenario.Fault) {
	m := f.Member(x.Target)
	note := func(what string) {
		name := x.Target
		if m != nil {
			name = m.Name
		}
		f.note("%s: %s", name, what)
	}
	again := func(what string, call func()) {
		if x.For > 0 {
			f.after(x.For, func() {
				note(what)
				call()
			})
		}
	}
	switch x.Kind {
	case "crash":
		if !m.running {
			note("crash: it is down already")
			return
		}
		note("crash")
		m.crash()
		again("back", m.start)
	case "hang":
		if !m.running || m.hung {
			note("hang: it is down already")
			return
		}
		note("hang")
		m.hung = true
		m.lost()
		m.changed()
		again("goes on", func() {
			m.hung = false
			m.serve()
			m.changed()
		})
	case "slow":
		note("slow")
		m.slow = 1 / x.Factor
		again("fast again", func() { m.slow = 1 })
	case "lag":
		note("applies slowly")
		m.lag = x.Factor
		again("applies as ever", func() { m.lag = 1 })
	case "spoil":
		note("spoils answers")
		m.Spoil = x.Factor
		again("answers well", func() { m.Spoil = 0 })
	case "reset":
		note("resets connections")
		m.Reset = max(1, x.Bytes)
		again("resets none", func() { m.Reset = 0 })
	case "drain":
		note("drains")
		m.drain()
		again("serves again", func() {
			m.crash()
			m.start()
		})
	case "usurp":
		note("takes itself for the primary")
		m.usurps = true
		again("knows its place", func() { m.usurps = false })
	case "cut":
		note("is cut off")
		f.part(x.Target, true)
		again("is reached again", func() { f.part(x.Target, false) })
	case "discovery":
		note("fails")
		if f.Listing != nil {
			f.Listing(x)
		}
	default:
		note(x.Kind)
		if f.Pooler != nil {
			f.Pooler(x)
		}
	}
}

// part cuts a zone off, or joins it again.
func (f *Fleet) part(zone string, on bool) {
	now := f.Loop.Now()
	for _, m := range f.Members { // what they have stays as it was
		m.position = m.Position()
	}
	f.cut[zone] = on
	for _, family := range f.Families {
		for _, m := range family.Members {
			if m != family.leader {
				m.follow(now)
			}
		}
		if l := family.leader; on && l != nil && l.Zone == zone && slices.ContainsFunc(family.Members, func(m *Member) bool { return m.Zone != zone }) {
			l.lost()
		}
	}
	for _, m := range f.Members {
		m.changed()
	}
}

// ---- Life

func (m *Member) changed() {
	m.fleet.Revision++
	if m.fleet.Changed != nil {
		m.fleet.Changed(m)
	}
}

// Running tells whether the process runs; if it hangs, it does.
func (m *Member) Running() bool { return m.running }

// Silent tells whether nothing comes from the database to somebody in a zone.
func (m *Member) Silent(zone string) bool { return m.hung || m.fleet.Parted(m.Zone, zone) }

func (m *Member) crash() {
	m.position = m.Position()
	m.running, m.hung, m.State = false, false, Gone
	m.life++
	for _, j := range m.waiting {
		m.gone(j)
	}
	for j := range m.working {
		m.gone(j)
	}
	clear(m.working)
	m.waiting, m.busy, m.blocked, m.sent, m.Conns, m.backlog, m.applying = nil, 0, 0, nil, 0, nil, false
	m.lost()
	m.changed()
}

// gone forgets a request that died with the process.
func (m *Member) gone(j *Job) {
	if !j.dropped {
		j.dropped = true
		m.fleet.Ledger.Over(j.Request)
	}
}

// start begins a new life, cold, from where the last one stood.
func (m *Member) start() {
	if m.running {
		return
	}
	m.running, m.State, m.Started = true, Serving, m.fleet.Loop.Now()
	m.life++
	m.follow(m.Started)
	m.changed()
}

// follow makes a replica follow its leader from now on, if it can, or stand still.
func (m *Member) follow(now time.Duration) {
	l := m.Family.leader
	m.frozen = !m.running || m.hung || l == nil || !l.running || l.hung || l != m && m.fleet.Parted(m.Zone, l.Zone)
}

// lost is called when a leader has died, hangs or is cut off: it is given up after a while, and a replica takes over later.
func (m *Member) lost() {
	f := m.Family
	if f.leader != m {
		return
	}
	for _, r := range f.Members {
		if r != m {
			r.position, r.frozen = r.Position(), true
		}
	}
	f.turn++
	turn := f.turn
	s := &m.fleet.World.Server
	m.fleet.after(m.fleet.draw(s.GiveUp), func() {
		if f.turn != turn || f.leader != m || m.running && !m.hung && !m.cutOff() {
			if f.turn == turn && f.leader == m { // it is back in time
				for _, r := range f.Members {
					r.follow(m.fleet.Loop.Now())
				}
			}
			return
		}
		m.fleet.note("%s: given up", m.Name)
		m.position = m.Position()
		f.leader = nil
		f.elect(turn, m.fleet.draw(s.TakeOver))
	})
}

func (m *Member) cutOff() bool {
	return m.fleet.cut[m.Zone] && slices.ContainsFunc(m.Family.Members, func(o *Member) bool { return o.Zone != m.Zone })
}

// elect makes the member that has most of the log the leader after a time.
func (f *Family) elect(turn uint64, seconds float64) {
	f.fleet.after(seconds, func() {
		if f.turn != turn {
			return
		}
		var best *Member
		for _, m := range f.Members {
			if m.running && !m.hung && m.State == Serving && !m.cutOff() && (best == nil || m.Position() > best.Position()) {
				best = m
			}
		}
		if best == nil { // nobody can: they try again
			f.elect(turn, 0.2)
			return
		}
		f.leader = best
		best.usurps, best.backlog = false, nil
		f.fleet.note("%s: leads group %d", best.Name, f.Group)
		for _, m := range f.Members {
			if m != best {
				m.backlog = nil
				m.follow(f.fleet.Loop.Now())
			}
		}
	})
}

// drain lets a database finish what it has; a leader hands over.
func (m *Member) drain() {
	m.State = Draining
	if f := m.Family; f.leader == m {
		for _, r := range f.Members {
			r.position, r.frozen = r.Position(), true
		}
		f.leader = nil
		f.turn++
		f.elect(f.turn, m.fleet.draw(m.fleet.World.Server.HandOver))
	}
	m.changed()
}

// ---- The log

// Leads tells whether the database is its family's primary.
func (m *Member) Leads() bool { return m.Family.leader == m }

// Claims tells whether it says so.
func (m *Member) Claims() bool { return m.Leads() || m.usurps }

// Position is the time up to which all commits are applied.
func (m *Member) Position() time.Duration {
	now := m.fleet.Loop.Now()
	switch {
	case m.Leads() && m.running && !m.hung:
		return now
	case m.frozen || m.Leads():
		return m.position
	case len(m.backlog) > 0:
		m.position = max(m.position, m.backlog[0]-time.Millisecond)
	default:
		m.position = max(m.position, now-scenario.Millis(m.fleet.World.Server.ShipMS[1]))
	}
	return m.position
}

// commit ships a commit to the replicas.
func (f *Family) commit(at time.Duration) {
	w := f.fleet.World
	for _, m := range f.Members {
		if m == f.leader || m.frozen {
			continue
		}
		life, turn := m.life, f.turn
		f.fleet.Loop.At(at+scenario.Millis(f.fleet.draw(w.Server.ShipMS)), func() {
			if m.life == life && f.turn == turn && !m.frozen {
				m.backlog = append(m.backlog, at)
				m.apply()
			}
		})
	}
}

// apply applies one commit after the other, unless a request holds it up.
func (m *Member) apply() {
	if m.applying || len(m.backlog) == 0 || m.blocked > 0 || m.frozen {
		return
	}
	m.applying = true
	life := m.life
	takes := m.fleet.World.Server.ApplyMS / 1000 * m.lag / m.speed()
	m.fleet.after(takes, func() {
		if m.life != life {
			return
		}
		m.applying = false
		if len(m.backlog) > 0 {
			m.position = max(m.position, m.backlog[0])
			m.backlog = m.backlog[1:]
		}
		m.apply()
	})
}

// ---- Work

// warmth is the share of its speed that the database has.
func (m *Member) warmth() float64 {
	s := &m.fleet.World.Server
	age := (m.fleet.Loop.Now() - m.Started).Seconds()
	if m.Started == 0 || age >= s.ColdTime {
		return 1
	}
	return s.ColdShare + (1-s.ColdShare)*age/s.ColdTime
}

func (m *Member) speed() float64 {
	s := &m.fleet.World.Server
	full := float64(len(m.waiting)) / float64(max(1, s.Queue))
	return m.slow * m.warmth() * (1 - s.Thrash*min(1, full))
}

// work of a request in seconds: the same at each database and in each run.
func (m *Member) work(j *Job) float64 {
	r := j.Class.WorkMS
	share := float64(xxh3.HashString(j.Request)>>11) / (1 << 53)
	return (r[0] + (r[1]-r[0])*share) / 1000
}

// Submit takes a request whose last byte has come.
func (m *Member) Submit(j *Job) {
	now := m.fleet.Loop.Now()
	m.fleet.Ledger.Arrived(now, j.Request, j.Pooler, m, j.Write, j.Class)
	if !m.running {
		return
	}
	if !m.hung { // one that hangs takes it in and does nothing
		switch {
		case j.Write && !m.Claims():
			m.answer(j, Answer{Outcome: Miss})
			return
		case len(m.waiting) >= m.fleet.World.Server.Queue || m.State == Draining && len(m.waiting) > 0 && !j.Write:
			m.answer(j, Answer{Outcome: Full})
			return
		}
	}
	if m.warmth() < 1 {
		m.push(now, m.work(j))
	}
	m.waiting = append(m.waiting, j)
	m.serve()
}

// push notes work that is sent to a cold database, which falls over if it is too much.
func (m *Member) push(now time.Duration, work float64) {
	s := &m.fleet.World.Server
	m.sent = append(m.sent, load{now, work})
	for len(m.sent) > 0 && now-m.sent[0].at > scenario.Seconds(s.FallTime) {
		m.sent = m.sent[1:]
	}
	sum := 0.0
	for _, l := range m.sent {
		sum += l.work
	}
	if sum > s.FallOver*m.warmth()*float64(s.Cores)*s.FallTime {
		m.fleet.note("%s: pushed over", m.Name)
		m.fleet.Ledger.breach(now, PushedOver, "", m.Name)
		m.crash()
	}
}

// Drop gives a request up: what waits is dropped, what runs goes on unseen.
func (m *Member) Drop(j *Job) {
	if j.dropped {
		return
	}
	j.dropped = true
	m.fleet.Ledger.Over(j.Request)
	if !j.started {
		if i := slices.Index(m.waiting, j); i >= 0 {
			m.waiting = slices.Delete(m.waiting, i, i+1)
		}
	}
}

// Handshake takes the work of a new connection, and returns false if there are too many.
func (m *Member) Handshake() bool {
	if m.Conns >= m.fleet.World.Server.Connections {
		return false
	}
	m.Conns++
	m.spend(m.fleet.World.Server.HandshakeMS)
	return true
}

// spend takes a core for a while, if one is free.
func (m *Member) spend(ms float64) {
	if m.busy >= m.fleet.World.Server.Cores || ms <= 0 {
		return
	}
	m.busy++
	life := m.life
	m.fleet.after(ms/1000/m.speed(), func() {
		if m.life == life {
			m.busy--
			m.serve()
		}
	})
}

func (m *Member) serve() {
	for !m.hung && m.running && m.busy < m.fleet.World.Server.Cores && len(m.waiting) > 0 {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.begin(j)
	}
}

func (m *Member) begin(j *Job) {
	j.started = true
	m.busy++
	m.working[j] = struct{}{}
	blocks := j.Class.Blocks && !m.Leads()
	if blocks {
		m.blocked++
	}
	life := m.life
	m.fleet.after(m.work(j)/m.speed(), func() { m.end(j, life, blocks) })
}

func (m *Member) end(j *Job, life uint64, blocks bool) {
	if m.life != life {
		return
	}
	if m.hung { // its work is done when it goes on
		m.fleet.after(0.05, func() { m.end(j, life, blocks) })
		return
	}
	m.busy--
	delete(m.working, j)
	if blocks {
		m.blocked--
		m.apply()
	}
	now := m.fleet.Loop.Now()
	if j.Write && !m.Claims() { // it was deposed meanwhile
		m.answer(j, Answer{Outcome: Error})
	} else {
		m.fleet.Ledger.Executed(now, j.Request, m, j.Write)
		if j.Write && m.Leads() {
			m.Family.commit(now)
		}
		m.answer(j, Answer{Outcome: Row, Value: j.Request + " from " + m.Name})
	}
	m.serve()
}

// answer hands an answer to whoever waits for it.
func (m *Member) answer(j *Job, a Answer) {
	if j.dropped {
		return
	}
	j.dropped = true
	m.fleet.Ledger.Over(j.Request)
	a.Primary, a.Position = m.Claims(), m.Position()
	if m.usurps {
		a.Position = m.fleet.Loop.Now()
	}
	j.Done(a)
}

// Probe returns the database's report, as old as reports are, and costs it work.
func (m *Member) Probe() Report {
	now := m.fleet.Loop.Now()
	m.spend(m.fleet.World.Server.ProbeMS)
	if m.reported == 0 || now-m.reported > scenario.Millis(m.fleet.World.Server.ReportMS) {
		m.reported = now
		m.report = Report{m.Position(), m.Claims(), float64(m.busy) / float64(m.fleet.World.Server.Cores)}
	}
	return m.report
}
