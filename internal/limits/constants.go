package limits

import "time"

// Values that are the same on all machines. Where the comment begins with "Guard", the value is a bound against harm,
// far from ordinary use. The pages of the protocol are the source of the others unless the comment names a measurement.

// Lengths and sizes, in bytes.
const (
	// maxMessageBytes is a guard. Statements are a few KiB.
	maxMessageBytes = 256 << 10
	// maxBufferedValueBytes is the protocol's length of an ordinary answer.
	maxBufferedValueBytes = 64 << 10
	// maxValueBytes is a guard.
	maxValueBytes = 16 << 20
	// streamChunkBytes is a guard: the length of an ordinary answer.
	streamChunkBytes = 64 << 10
	// readBytes is a guard: reads of many connections alternate.
	readBytes = 32 << 10
	// socketBufferBytes is a guard: two ordinary answers.
	socketBufferBytes = 128 << 10
	// maxInputBytes is a guard: maxPipelined of the longest messages.
	maxInputBytes = 2 << 20
	// maxListBytes is a guard: 1 KiB for each of maxMembers.
	maxListBytes = 4 << 20
	// maxFlightMessageBytes is a guard. It is gRPC's default for messages that are received.
	maxFlightMessageBytes = 4 << 20
	// maxFlightRequestBytes is a guard: twice the longest statement of the other protocol, for tickets that escape it.
	maxFlightRequestBytes = 2 * maxMessageBytes
	// maxFlightHeaderBytes is a guard. A call has some ten fields.
	maxFlightHeaderBytes = 16 << 10
	// flightWindowBytes is the least that gRPC keeps to.
	flightWindowBytes = 64 << 10
	// maxExclusionFileBytes is a guard: 1 KiB for each of maxExcludedEndpoints.
	maxExclusionFileBytes = 4 << 20
	// maxStoreValueBytes is a guard.
	maxStoreValueBytes = 256 << 10
	// fingerprintCacheBytes is a guard.
	fingerprintCacheBytes = 1 << 20
)

// Counts.
const (
	// maxRejecting is a guard. Its descriptors are set apart, see shares.
	maxRejecting = 8
	// maxAccepting is a guard, as each accept holds three descriptors.
	maxAccepting = 4
	// maxOperatorConnections is a guard.
	maxOperatorConnections = 24
	// maxIdlePerDatabase was measured with databases of three cores. For more cores in a closed loop it is too few:
	// connections above it are dialed anew.
	maxIdlePerDatabase = 24
	// maxOpenRequests is a guard.
	maxOpenRequests = 20_000
	// maxPipelined is a guard.
	maxPipelined = 8
	// maxMembers is a guard.
	maxMembers = 4096
	// maxExcludedEndpoints lets all endpoints be excluded.
	maxExcludedEndpoints = maxMembers
	// timerSlots makes one turn of the wheel last about 5 s.
	timerSlots = 1024

	// maxQueued is a guard.
	maxQueued = 4096
	// maxQueues is a guard.
	maxQueues = 64
	// maxRetryAfter is a guard.
	maxRetryAfter = 8192
	// minConcurrency is a guard.
	minConcurrency = 2
	// maxConcurrency is a guard.
	maxConcurrency = 2000
	// maxListedTenants is a guard.
	maxListedTenants = 8
	// maxListedFingerprints is a guard.
	maxListedFingerprints = 20

	// maxStoreKeys is a guard.
	maxStoreKeys = 1024
	// maxStoreChangeIDs is a guard.
	maxStoreChangeIDs = 4096
	// maxReplayedRequests is a guard.
	maxReplayedRequests = 64
	// maxReplayedConnections is a guard.
	maxReplayedConnections = 4096
	// maxQueuedChunks is a guard.
	maxQueuedChunks = 1024
)

// Times of clients' connections.
const (
	// startupTimeout is above the 2 s that a slow startup takes.
	startupTimeout = 2500 * time.Millisecond
	// clientIdleTimeout is the protocol's.
	clientIdleTimeout = 2 * time.Second
	// highWaterIdleTimeout was measured at one site, with twelve poolers and clients that send one request for each
	// connection.
	highWaterIdleTimeout = 250 * time.Millisecond
	// startingIdleTimeout was measured with highWaterIdleTimeout.
	startingIdleTimeout = 250 * time.Millisecond
	// receiveTimeout is above the 2 s that a client may pause.
	receiveTimeout = 2500 * time.Millisecond
	// messageTimeout is a guard.
	messageTimeout = 30 * time.Second
	// sendTimeout is a guard.
	sendTimeout = 10 * time.Second
	// rejectionTimeout is a guard.
	rejectionTimeout = 250 * time.Millisecond
	// lingerTimeout is that of a client that reads nothing.
	lingerTimeout = sendTimeout
	// flightIdleTimeout is a guard: clients connect again by themselves.
	flightIdleTimeout = 10 * time.Second
	// flightSettleTimeout is a guard.
	flightSettleTimeout = 50 * time.Millisecond
	// maxToldAge is under the 150 ms by which an attempt may tell its database more than the client has left.
	maxToldAge = 100 * time.Millisecond
	// writeRecheckTicks is in timer ticks.
	writeRecheckTicks = 2
)

// Times of requests and of the event loop. The slack of times is 50 ms in the protocol.
const (
	// timerTick is a tenth of that.
	timerTick = 5 * time.Millisecond
	// deadlineMargin is a tenth of that.
	deadlineMargin = 5 * time.Millisecond
	// overdueTimeout is within that, and four ticks long.
	overdueTimeout = 20 * time.Millisecond
	// shedWindow is a guard.
	shedWindow = 20 * time.Millisecond
	// stallThreshold is within that.
	stallThreshold = 40 * time.Millisecond
	// stallReadWindow is a guard.
	stallReadWindow = 100 * time.Millisecond
	// stallLogThreshold is three times that.
	stallLogThreshold = 150 * time.Millisecond
	// chunkTimeout is a guard.
	chunkTimeout = 10 * time.Second
	// streamTimeout is a guard.
	streamTimeout = time.Minute
	// acceptTimeout is a guard.
	acceptTimeout = 10 * time.Millisecond
	// firstBackoff is a guard.
	firstBackoff = 5 * time.Millisecond
	// maxBackoff is a guard.
	maxBackoff = 80 * time.Millisecond
)

// Times of the start, of the end and of what the pooler shares with others.
const (
	// startTimeout is well within the 6 s in which a pooler has to be ready.
	startTimeout = time.Second
	// readyTimeout is well within the 6 s in which a pooler has to be ready.
	readyTimeout = time.Second
	// listResponseTimeout is above the 2 s that discovery may take.
	listResponseTimeout = 2500 * time.Millisecond
	// watchSilenceTimeout is above the 2 s between two lines of a watch; what a silent watch misses binds 6 s later.
	watchSilenceTimeout = 2800 * time.Millisecond
	// longestDrain is the protocol's: the platform waits for the longest deadline after SIGTERM, but no longer than
	// this.
	longestDrain = 3 * time.Second
	// shutdownGrace ends the process 200 ms before the platform may kill it.
	shutdownGrace = 500 * time.Millisecond
	// drainTime is what is left of the shutdown after DrainDelay.
	drainTime = 1500 * time.Millisecond
	// minDrainDelay is how long a front goes on to send new connections.
	minDrainDelay = 400 * time.Millisecond
	// answerMargin is a guard.
	answerMargin = 100 * time.Millisecond
	// membershipLeaveTimeout is a guard, within shutdownGrace.
	membershipLeaveTimeout = 300 * time.Millisecond
	// quotaInterval is the protocol's slack of times.
	quotaInterval = 50 * time.Millisecond
	// storeSaveInterval is a guard.
	storeSaveInterval = 2 * time.Second
	// storeCallTimeout is a guard.
	storeCallTimeout = 2 * time.Second
	// storeWatchTimeout is a guard.
	storeWatchTimeout = 30 * time.Second
	// storeCatchUpTimeout is a guard.
	storeCatchUpTimeout = 10 * time.Second
)

// Times of operators' requests. One is to be answered within 1 s, and an exclusion to be seen by all processes.
const (
	// operatorRequestTimeout is a guard.
	operatorRequestTimeout = time.Second
	// operatorCallTimeout is under 1 s.
	operatorCallTimeout = 900 * time.Millisecond
	// exclusionChangeTimeout is half of operatorCallTimeout, as the event loop has to answer, too.
	exclusionChangeTimeout = 450 * time.Millisecond
	// exclusionRefreshInterval is a tenth of 1 s.
	exclusionRefreshInterval = 100 * time.Millisecond
	// exclusionLockTimeout is a guard.
	exclusionLockTimeout = 50 * time.Millisecond
	// exclusionHandOverDelay is a guard.
	exclusionHandOverDelay = 100 * time.Millisecond
	// exclusionFirstBackoff is a guard.
	exclusionFirstBackoff = 50 * time.Millisecond
	// exclusionMaxBackoff is a guard.
	exclusionMaxBackoff = time.Second
	// figuresInterval is a guard.
	figuresInterval = 100 * time.Millisecond
	// logInterval is a guard.
	logInterval = time.Second
)
