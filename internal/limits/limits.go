// Package limits holds every size, count and time that bounds the program. One Limits is filled at start and
// handed down; no other package has bounds of its own.
package limits

import "time"

// Limits bounds what the program holds and how long it waits.
type Limits struct {
	MemoryBytes   int64 // the collector is told to stay under this
	Clients       int   // client connections; a further one is turned away
	ClientsKept   int   // ... of them that may stay idle for as long as they like
	ClientsCrowd  int   // ... with more than this that have started, idle ones are closed after ClientBrief
	Starting      int   // ... of them that have yet to start; a further one closes the first of them
	Leaving       int   // connections beyond them that are being turned away
	Accepting     int   // connections that are being taken in
	Operators     int   // connections of operators
	Servers       int   // connections to databases, dials included
	IdleEach      int   // idle connections kept to one database
	Requests      int   // requests open at once; a further one is refused
	Held          int   // ... that wait and have been sent nowhere; the one that has waited longest is refused
	Pipeline      int   // commands of one client connection that await their answers
	MessageBytes  int   // longest message held whole, from a client or a database
	AnswerWhole   int   // a database's value up to this is held whole, a longer one is passed on in pieces
	AnswerBytes   int   // longest value taken from a database
	SocketBytes   int   // what the system may hold for a client's connection, each way; left to itself it is megabytes
	PieceBytes    int   // a long answer is read in pieces of this, and stops while its client has more unread
	InputBytes    int   // bytes that a client may send ahead of its answers before it is closed
	ClientBytes   int   // what all clients' connections may hold of both; beyond it the one that holds most is closed
	OutputBytes   int   // answers that a client may leave unread before it is closed
	Members       int   // entries of a list
	Banned        int   // databases that operators may keep out
	BansBytes     int   // one file of the bans
	ListBytes     int   // one list, or one line of a watch
	FlightMessage int   // longest message of a Flight stream
	FlightClients int   // connections of Flight clients
	FlightServers int   // connections to databases over Flight, each of which carries many calls
	FlightCalls   int   // Flight calls at once, each of which may hold two messages

	DoorQueue    int           // requests that wait at the door, over all groups
	DoorLanes    int           // primaries, and sets of replicas, that have queues of their own; further ones share
	DoorPromises int           // remembered times to come back
	DoorLeast    int           // requests that may be inside a lane, whatever the latency says
	DoorMost     int           // ... and at the most
	ShedWithin   time.Duration // a request that the router refuses so soon was shed for want of room
	DoorShown    int           // tenants that operators are shown

	Shapes     int // bytes of what is remembered of statements
	ShapesTold int // shapes that operators are shown in one order

	StoreKeys   int // keys of the replicated store
	StoreValue  int // bytes of one value
	StoreWindow int // changes whose ids are remembered, so that a repeated one is applied once
	Replay      int // requests of a pcap file that are open at once
	ReplayFlows int // connections of a pcap file that are followed at once
	Tap         int // chunks of clients' traffic that may wait to be written

	Tick           time.Duration // of the timer wheel
	Slots          int           // of the timer wheel
	StoodStill     time.Duration // between two ticks: logged
	StallLeast     time.Duration // a timer that comes later than this shows that the loop stood still
	FlightSettle   time.Duration // before anything is begun for a Flight client, what it has sent is waited for so long
	StallRead      time.Duration // what is read so soon after may have come while it did
	Margin         time.Duration // taken off a client's deadline, for the way back
	Overdue        time.Duration // a request unanswered this long after its deadline is failed by the core
	ConnectTimeout time.Duration // a database's connection is up by then, or counts as not to be had
	ProbeTimeout   time.Duration
	ServerIdle     time.Duration // connections to databases idle this long are closed
	Startup        time.Duration // a client's connection has started by then
	ClientIdle     time.Duration // a client's connection may be closed for others after this long without a request
	ClientBrief    time.Duration // ... or this long in a crowd
	ClientStarting time.Duration // ... or this long before it has started
	ClientMessage  time.Duration // a client's message goes on after this long without a byte of it
	ClientSlowest  time.Duration // ... and is whole this long after its first byte
	ClientReads    time.Duration // a client that has bytes to read takes some within this
	PieceWait      time.Duration // a database goes on with a long answer within this
	AnswerLongest  time.Duration // a long answer is whole this long after its first bytes
	ClientLeaving  time.Duration // one that is turned away has this long to read why
	WatchAnswer    time.Duration // discovery's answer begins by then
	WatchSilence   time.Duration // a watch that is silent this long, or does not end what it has begun, is broken
	AcceptBlocks   time.Duration // an accept on a socket that others hold, too, waits in the system for so long
	Linger         time.Duration // after SIGTERM all are served as ever for this long
	Stop           time.Duration // after SIGTERM the program ends by then: SIGKILL may come after the longest deadline
	StopLeaving    time.Duration // ... and what is open so long before fails, for its answer to reach the client
	ReadyWait      time.Duration // it is ready by then, also if no list has come or a primary is unknown
	Figures        time.Duration // the operators' figures are this old at most
	Bans           time.Duration // another process's change of the bans is seen by then
	BansAnswer     time.Duration // a change of the bans is answered by then, also if it is not on disk yet
	BansLock       time.Duration // the lock of the bans' file is waited for so long at a time
	BansHandOver   time.Duration // a change that is not on disk by then is left for the other processes without the file
	BansRetry      time.Duration // the first pause before a change of the bans is written again; each is twice the one before
	BansRetryMost  time.Duration // ... up to this
	Share          time.Duration // what processes beside each other may have open is settled this often
	OperatorHead   time.Duration // an operator's call has come by then
	OperatorCall   time.Duration // and is answered by then
	FleetLeave     time.Duration // the other poolers are told of the end by then
	StoreEvery     time.Duration // the state is stored this often
	StoreWait      time.Duration // for one change of the store
	StoreWatch     time.Duration // a watch of the store waits no longer
	StoreCatchUp   time.Duration // a new member of the store holds by then what the others hold
	LogEvery       time.Duration // at most one line a kind of bad input in this time
	RetryFirst     time.Duration // a network call that failed for a moment is made again after this
	RetryMost      time.Duration // ... and after this, if it goes on failing
	StartRetry     time.Duration // ... and at the start for no longer than this
}

// Machine is what the platform grants.
type Machine struct {
	MemoryMB int
	Sockets  int
	Shared   bool // at an upgrade, with a second process of the program
	Flight   bool // the Flight SQL front is on, and has its part of the sockets
}

// For returns the limits on a machine, for databases that take this long to connect and close connections that
// are idle for keepalive, and for clients that wait no longer than this. A dial holds two descriptors for a moment,
// hence the reserve.
func For(m Machine, connect, keepalive, longest time.Duration) Limits {
	stop := min(longest, 3*time.Second) + 500*time.Millisecond
	const leaving = 8
	sockets := max(64, m.Sockets-48-leaving)
	flight := sockets / 20
	if m.Flight {
		sockets -= 2 * flight
	}
	clients, servers := sockets*7/10, sockets*3/10
	memory := int64(m.MemoryMB) << 20 * 6 / 10
	if m.Shared { // Against two processes that together hold more than the machine grants; sockets: package share.
		memory = memory * 3 / 4
	}
	const flightMessage = 4 << 20
	return Limits{
		MemoryBytes:   memory,
		Clients:       clients,
		ClientsKept:   clients / 8,
		ClientsCrowd:  m.Sockets / 4,
		Starting:      clients / 2,
		Leaving:       leaving,
		Accepting:     4,
		Operators:     24,
		Servers:       servers,
		IdleEach:      24,
		Requests:      20000,
		Held:          m.Sockets / 6, // callers hold a third at most, each busy with one request
		Pipeline:      8,
		MessageBytes:  256 << 10,
		AnswerWhole:   64 << 10,
		AnswerBytes:   16 << 20,
		PieceBytes:    64 << 10,
		SocketBytes:   128 << 10,
		InputBytes:    2 << 20,
		ClientBytes:   int(memory / 3),
		OutputBytes:   1 << 20,
		Members:       4096,
		Banned:        4096,
		BansBytes:     4 << 20,
		ListBytes:     4 << 20,
		FlightMessage: flightMessage,
		FlightClients: flight,
		FlightServers: flight,
		FlightCalls:   max(8, int(memory/4/flightMessage)),

		DoorQueue:    4096,
		DoorLanes:    64,
		DoorPromises: 8192,
		DoorLeast:    2,
		DoorMost:     2000,
		ShedWithin:   20 * time.Millisecond,
		DoorShown:    8,

		Shapes:     1 << 20,
		ShapesTold: 20,

		StoreKeys:   1024,
		StoreValue:  256 << 10,
		StoreWindow: 4096,
		Replay:      64,
		ReplayFlows: 4096,
		Tap:         1024,

		Tick:           5 * time.Millisecond,
		Slots:          1024,
		StoodStill:     150 * time.Millisecond,
		StallLeast:     40 * time.Millisecond,
		FlightSettle:   50 * time.Millisecond,
		StallRead:      100 * time.Millisecond,
		Margin:         5 * time.Millisecond,
		Overdue:        20 * time.Millisecond,
		ConnectTimeout: connect,
		ProbeTimeout:   connect,
		ServerIdle:     keepalive * 3 / 4,
		Startup:        2500 * time.Millisecond, // a slow one takes 2 s
		ClientIdle:     2 * time.Second,
		ClientBrief:    250 * time.Millisecond,
		ClientStarting: 250 * time.Millisecond,
		ClientMessage:  2500 * time.Millisecond,
		ClientSlowest:  30 * time.Second,
		ClientReads:    10 * time.Second,
		PieceWait:      10 * time.Second,
		AnswerLongest:  time.Minute,
		ClientLeaving:  250 * time.Millisecond,
		WatchAnswer:    2500 * time.Millisecond,
		WatchSilence:   2800 * time.Millisecond, // a line comes every 2 s; what a silent watch misses binds 6 s later
		AcceptBlocks:   10 * time.Millisecond,
		Linger:         max(400*time.Millisecond, stop-1500*time.Millisecond), // for so long a front goes on to send new connections
		Stop:           stop,
		StopLeaving:    100 * time.Millisecond,
		ReadyWait:      time.Second,
		Figures:        100 * time.Millisecond,
		Bans:           100 * time.Millisecond,
		BansAnswer:     450 * time.Millisecond,
		BansLock:       50 * time.Millisecond,
		BansHandOver:   100 * time.Millisecond,
		BansRetry:      50 * time.Millisecond,
		BansRetryMost:  time.Second,
		OperatorHead:   time.Second,
		OperatorCall:   900 * time.Millisecond,
		Share:          50 * time.Millisecond,
		FleetLeave:     300 * time.Millisecond,
		StoreEvery:     2 * time.Second,
		StoreWait:      2 * time.Second,
		StoreWatch:     30 * time.Second,
		StoreCatchUp:   10 * time.Second,
		LogEvery:       time.Second,
		RetryFirst:     5 * time.Millisecond,
		RetryMost:      80 * time.Millisecond,
		StartRetry:     time.Second,
	}
}
