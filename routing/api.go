// Package routing decides, for one router of a replicated database cluster, where each request goes: which
// replica answers a read, where the primary is, when to try again, when to refuse.
//
// This file holds the interface only; the decisions are in the others. A Router is driven by Step alone. It has
// no clock, no goroutine and no I/O, so equal calls give equal actions.
package routing

import (
	"time"

	"capercove/internal/clockoffset"
)

// RequestID names a request. A client's own retry carries a new one.
type RequestID uint64

// NodeID names a data node. It is the same at every router and outlives restarts of the node's process.
type NodeID uint64

// ReadKind tells how recent the data behind a class's answers must be.
type ReadKind uint8

const (
	AnyRead     ReadKind = iota // any member may answer
	BoundedRead                 // data no older than Class.MaxAge when the request is sent
	SessionRead                 // must see what its session has written
	FreshRead                   // must see every commit from before the request arrived
	Write                       // only the primary takes it
)

// Effect tells what a repeat of a request does.
type Effect uint8

const (
	Idempotent    Effect = iota // repeats are harmless
	Deduplicated                // the nodes drop repeats for Class.DedupWindow
	NonIdempotent               // must never run twice
)

// Class is what the operator states about one class of requests.
type Class struct {
	Read             ReadKind
	Effect           Effect
	DedupGroup       DedupGroup
	DedupWindow      time.Duration // counted from the send of the first attempt that may have run
	LatencyObjective time.Duration `json:"Aim"`        // an answer within it earns full worth
	ObjectivePerWork float64       `json:"AimStretch"` // the aim grows by this multiple of the request's own work
	Deadline         time.Duration // after it the client has given up
	Weight           float64       `json:"Worth"`
	LateWeight       float64       `json:"LateWorth"` // share of Worth for an answer after the aim
	MaxAge           time.Duration // for BoundedRead
}

// DedupGroup is the set of nodes that drop each other's repeats of a keyed request.
type DedupGroup uint8

const (
	DedupAll          DedupGroup = iota // every node
	DedupZone                           // nodes of one zone
	DedupReplicaGroup                   // nodes of the request's replica group
)

// StaleReads is what a node does with a read that it is too far behind for.
type StaleReads uint8

const (
	StaleAnswered StaleReads = iota // it answers from what it has: the router alone keeps reads fresh
	StaleRejected                   // it rejects the read untouched, at once or after a short wait
)

// Settings are the facts a router is started with. Field tags keep the names under which settings are stored and compared
// between poolers.
type Settings struct {
	Routers           int // how many routers share the nodes
	Classes           []Class
	Quotas            []float64 // requests a second for each tenant, over all routers; empty without tenants
	OverQuota         float64   // worth of a request over its tenant's quota, as a share of its class's
	StaleReads        StaleReads
	ListHintsRole     bool          `json:"ListRole"` // the list hints at who is primary: late, or as it was when the list began
	KeepSessions      bool          // a session's reads must see its writes answered here; tokens are not carried
	ListIsPolled      bool          `json:"ListOnRequest"` // node lists arrive only when asked for
	ListBindsAfter    time.Duration `json:"ListBinds"`     // what a list has to tell binds so long after it came to be, heard or not; 0: once heard
	MaxAttempts       int
	MaxRetryAfter     time.Duration
	CanCancel         bool
	CanProbe          bool
	CanHedge          bool // two attempts of one request may be out at once
	DrainGrace        time.Duration
	OnlyDrainingBinds bool          `json:"DrainOnly"`    // only a listing as draining binds; a node listed as gone may be tried
	SlowStartShare    float64       `json:"ColdShare"`    // share of its capacity at which a node starts at the least
	SlowStartTime     time.Duration `json:"ColdTime"`     // it is warm after this long at the most
	OverloadMultiple  float64       `json:"FallMultiple"` // sent more than this multiple of its present capacity
	OverloadWindow    time.Duration `json:"FallWindow"`   // for this long, a cold node falls over
}

// Event is one thing that happened. Kind tells which of the other fields are set.
type Event struct {
	Kind    EventKind
	Request RequestID // Arrival, Outcome, ClientGone
	Arrival Arrival
	Outcome Outcome // AttemptDone and ProbeDone; its Attempt, of AnswerBegan
	Nodes   []Node  // ListFull, ListChange

	Exclusions map[NodeID]time.Duration // BansChanged: the whole set, with the clock time of each ban
	Settings   *Settings                // SettingsChanged; it must not change any more
	Clock      clockoffset.Bounds       // ClockOffset: what the nodes' clock shows minus this router's
}

type EventKind uint8

const (
	RequestArrived EventKind = iota
	AttemptDone
	ProbeDone
	ClientGone   // the client has left; nothing is owed for the request
	ListComplete // nodes that are missing are gone
	ListUpdated  // only the nodes that changed
	ListFailed   // a call for the list failed or the subscription broke
	TimerFired
	AnswerStarted     // an attempt answers at length, all others are called off: the deadline no longer binds, its node's work is done
	ExclusionsChanged // by the operators
	SettingsChanged   // requests that arrived before keep their class
	ClockOffset       // the nodes' clock has been found to differ from the router's; until then the two agree
)

// Arrival is a request as its client sent it.
type Arrival struct {
	Class, Tenant, Group int
	Session              uint64        // 0: none
	TimeLeft             time.Duration // from now
	Work                 time.Duration // expected work; 0 if unknown
	LastWrite            time.Duration // the nodes' clock at the session's last commit, as carried; 0: none
}

// Status is how an attempt or a probe ended.
type Status uint8

const (
	OK               Status = iota
	NodeError               // the node failed; the request may have run
	NodeOverloaded          // rejected unseen
	TimedOut                // no answer in time; it may have run
	ConnectFailed           // no connection; it never ran
	ConnectionBroken        // the connection broke; it may have run
	Cancelled               // it may have run
	NotSent                 // never sent: the request was over, or this machine lacked something; tells nothing of the node
	NodeRejected            // a write at a replica or a read too fresh for the node; it never ran
	ConnectRefused          // no connection, as the node's machine says that nothing listens; it never ran
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == NodeOverloaded || s == ConnectFailed || s == ConnectRefused || s == NotSent || s == NodeRejected
}

// Outcome ends an attempt or a probe.
type Outcome struct {
	Node     NodeID
	Attempt  int
	Status   Status
	Duration time.Duration
	Final    bool // the client has its answer or the request is over
	Note     Evidence
	Report   Evidence
}

// Evidence is what a node tells about itself: with an answer as of the answer, in a report as of a while ago.
type Evidence struct {
	Role         Role
	Position     time.Duration // the nodes' clock up to which all commits are applied; of a write, its commit; 0: none
	ReportsQueue bool          // it tells how many requests wait there for others to end
	QueueLength  float64       // ... so many
}

type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Node is an entry of the node list.
type Node struct {
	ID      NodeID
	State   NodeState
	Primary bool          // the list's hint
	Started time.Duration // by the nodes' clock
	Zone    int
	Group   int
}

type NodeState uint8

const (
	Gone NodeState = iota
	Ready
	Draining
)

// Action is one thing for the host to do, in order. Kind tells which of the other fields are set.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Node    NodeID        // Send, Probe
	Attempt int           // Cancel
	Delay   time.Duration // Send: its time-out, 0 for the client's; Refuse: when to retry, 0 for no advice; SetTimer
	WriteBy time.Duration // Send: time of the router's clock after which it must not be written any more; 0: none
}

type ActionKind uint8

const (
	Send ActionKind = iota
	Reject
	Fail
	Cancel
	Probe
	SetTimer
	Subscribe
)
