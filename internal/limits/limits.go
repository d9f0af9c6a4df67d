// Package limits holds every size, count and time that bounds the program. One Limits is filled at the start and handed
// down to the parts; no other package has bounds of its own. Sizes are in bytes unless a comment says otherwise.
package limits

import "time"

// Limits bounds what the program holds and how long it waits. A comment that begins with "..." continues the one above.
type Limits struct {
	MemoryBytes   int64 // soft limit of the garbage collector
	Clients       int   // client connections; a further one is rejected
	ClientsKept   int   // ... of them that may stay idle without a limit of time
	ClientsCrowd  int   // ... with more started ones than this, idle ones are closed after ClientBrief
	Starting      int   // ... that have not finished their startup; a further one closes the oldest of them
	Leaving       int   // connections beyond Clients that are being rejected
	Accepting     int   // connections that are being accepted
	Operators     int   // connections of operators
	Servers       int   // connections to databases, those that are being dialed included
	IdleEach      int   // idle connections to one database
	Requests      int   // requests open at once; a further one is rejected
	Held          int   // ... that wait and have been forwarded to nobody; the oldest is rejected
	Pipeline      int   // commands of one client connection that wait for their answers
	MessageBytes  int   // longest message that is buffered complete, from a client or a database
	AnswerWhole   int   // a value of a database up to this is buffered complete, a longer one is streamed
	AnswerBytes   int   // longest value accepted from a database
	SocketBytes   int   // kernel buffer of a client's connection, each way; by default it is megabytes
	PieceBytes    int   // a long answer is streamed in chunks of this, and stops while its client has more unread
	InputBytes    int   // a client that sends more than this ahead of its answers is closed
	ClientBytes   int   // input and output buffers of all clients; beyond it the largest connection is closed
	OutputBytes   int   // a client that leaves more of its answers unread is closed
	Members       int   // entries of an endpoint list
	Banned        int   // endpoints that operators may exclude
	BansBytes     int   // one file of exclusions
	ListBytes     int   // one endpoint list, or one watch event
	FlightMessage int   // longest message of a Flight stream
	FlightClients int   // connections of Flight clients
	FlightServers int   // connections to databases over Flight, each with many calls
	FlightCalls   int   // Flight calls at once, each of which may buffer two messages

	DoorQueue    int           // requests queued for admission, over all groups
	DoorLanes    int           // primaries and replica sets with queues of their own; further ones share
	DoorPromises int           // Retry-After times that are remembered
	DoorLeast    int           // lower bound of a concurrency limit, whatever the latency is
	DoorMost     int           // ... and its upper bound
	ShedWithin   time.Duration // a request that the router rejects this soon was rejected for lack of capacity
	DoorShown    int           // tenants that operators are shown

	Shapes     int // bytes of the cache of statement fingerprints
	ShapesTold int // fingerprints that operators are shown in one order

	StoreKeys   int // keys of the replicated store
	StoreValue  int // bytes of one value
	StoreWindow int // changes whose ids are remembered, so that a retried one is applied once
	Replay      int // requests of a capture file that are open at once
	ReplayFlows int // connections of a capture file that are followed at once
	Tap         int // chunks of clients' traffic queued to be written

	Tick           time.Duration // of the timer wheel
	Slots          int           // of the timer wheel
	StoodStill     time.Duration // an event loop that stalls longer than this is logged
	StallLeast     time.Duration // a timer that is late by more than this shows a stalled event loop
	FlightSettle   time.Duration // a Flight call waits this long for what its client has already sent
	StallRead      time.Duration // what is read this soon after a stall may have arrived during it
	Margin         time.Duration // subtracted from a client's deadline, for the way back
	Overdue        time.Duration // a request unanswered this long after its deadline is failed by the core
	ConnectTimeout time.Duration // for a connection to a database
	ProbeTimeout   time.Duration // for a health check
	ServerIdle     time.Duration // connections to databases that are idle this long are closed
	Startup        time.Duration // for the startup of a client's connection
	ClientIdle     time.Duration // a client without a request for this long may be closed in favour of others
	ClientBrief    time.Duration // ... or this long in a crowd
	ClientStarting time.Duration // ... or this long before it has started
	ClientMessage  time.Duration // a client's message is aborted after this long without a byte of it
	ClientSlowest  time.Duration // ... and this long after its first byte
	ClientReads    time.Duration // a client with unread answers is closed after this long without reading
	PieceWait      time.Duration // for the next chunk of a long answer
	AnswerLongest  time.Duration // for the whole of a long answer, from its first bytes
	ClientLeaving  time.Duration // for a rejected client to read why
	WatchAnswer    time.Duration // for the beginning of discovery's response
	WatchSilence   time.Duration // a watch that is silent this long, or does not end an event it has begun, is broken
	AcceptBlocks   time.Duration // an accept on a socket that other processes share blocks in the system call this long
	Linger         time.Duration // after SIGTERM all are served as before for this long
	Stop           time.Duration // after SIGTERM the program ends by then: SIGKILL may come after the longest deadline
	StopLeaving    time.Duration // ... and what is open this long before fails, for its answer to reach the client
	ReadyWait      time.Duration // it is ready by then, even without an endpoint list or with a primary unknown
	Figures        time.Duration // greatest age of the operators' figures
	Bans           time.Duration // another process's change of the exclusions is seen by then
	BansAnswer     time.Duration // a change of the exclusions is answered by then, even if it is not on disk yet
	BansLock       time.Duration // timeout of one attempt at the lock of the exclusions' file
	BansHandOver   time.Duration // a change not on disk by then is left for the other processes without the file
	BansRetry      time.Duration // first pause before a change of the exclusions is written again; it doubles
	BansRetryMost  time.Duration // ... up to this
	Share          time.Duration // period of settling the descriptor quotas of the processes
	OperatorHead   time.Duration // for an operator's request to arrive
	OperatorCall   time.Duration // ... and to be answered
	FleetLeave     time.Duration // for the other poolers to be notified of the end
	StoreEvery     time.Duration // period of storing the state
	StoreWait      time.Duration // for one change of the store
	StoreWatch     time.Duration // longest wait of one watch of the store
	StoreCatchUp   time.Duration // for a new member of the store to hold what the others hold
	LogEvery       time.Duration // least time between two log lines of one kind of bad input
	RetryFirst     time.Duration // first backoff of a network call that failed for a moment
	RetryMost      time.Duration // ... and the longest
	StartRetry     time.Duration // ... and its end at the start
}

// Machine is what the platform grants a pooler.
type Machine struct {
	MemoryMB int  // memory of the process, in MiB
	Sockets  int  // descriptors of the process
	Shared   bool // with a second process of the pooler, during an upgrade
	Flight   bool // the Flight SQL front is on and has its share of the descriptors
}

// For returns the limits of a machine. Connect is the timeout of connections to databases, keepalive the idle time
// after which databases close them, and longest the longest deadline of a class. A dial holds two descriptors for a
// moment, hence the reserve.
//
//nolint:funlen,lll,varnamelen // a table of one line a field, which belongs together
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
