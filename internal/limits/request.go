package limits

import "time"

// Request limits the table of requests, the endpoints that they are routed to, and the timers.
type Request struct {
	// MaxOpen is the number of open requests. A further one is rejected.
	MaxOpen int
	// MaxPending is how many of them may be forwarded to no database yet. Beyond it the oldest is rejected.
	MaxPending int
	// MaxMembers is the number of endpoints.
	MaxMembers int

	// DeadlineMargin is subtracted from the deadline that a client gives, for the way back to it.
	DeadlineMargin time.Duration
	// MaxToldAge is how old the time that a database was told may be when the statement is written whole.
	MaxToldAge time.Duration
	// OverdueTimeout fails a request that has no answer so long after its deadline.
	OverdueTimeout time.Duration
	// ChunkTimeout is the time for the next chunk of a streamed answer.
	ChunkTimeout time.Duration
	// StreamTimeout is the time in all for which the client may hold up a streamed answer.
	StreamTimeout time.Duration

	// TimerTick is the resolution of timers.
	TimerTick time.Duration
	// TimerSlots is the number of slots of the timer wheel.
	TimerSlots int
	// StallThreshold is how late a timer has to be to show that the event loop stalled.
	StallThreshold time.Duration
	// StallReadWindow is how long after a stall a read may return what arrived during it.
	StallReadWindow time.Duration

	// ReadyTimeout makes the core ready even without an endpoint list or with a primary unknown.
	ReadyTimeout time.Duration
	// FiguresInterval is the greatest age of the figures that operators are given.
	FiguresInterval time.Duration
	// LogInterval is the least time between two log lines of one kind.
	LogInterval time.Duration
}

func request(granted shares) Request {
	return Request{
		MaxOpen:         maxOpenRequests,
		MaxPending:      granted.descriptors / pendingDivisor,
		MaxMembers:      maxMembers,
		DeadlineMargin:  deadlineMargin,
		MaxToldAge:      maxToldAge,
		OverdueTimeout:  overdueTimeout,
		ChunkTimeout:    chunkTimeout,
		StreamTimeout:   streamTimeout,
		TimerTick:       timerTick,
		TimerSlots:      timerSlots,
		StallThreshold:  stallThreshold,
		StallReadWindow: stallReadWindow,
		ReadyTimeout:    readyTimeout,
		FiguresInterval: figuresInterval,
		LogInterval:     logInterval,
	}
}

// Admission limits the admission controller.
type Admission struct {
	// MaxQueued is the number of queued requests, over all queues.
	MaxQueued int
	// MaxQueues is the number of primaries and replica sets that have queues of their own. Further ones share one.
	MaxQueues int
	// MaxRetryAfter is the number of remembered Retry-After times.
	MaxRetryAfter int
	// MinConcurrency is the lower bound of a concurrency limit, in requests, whatever the latency is.
	MinConcurrency int
	// MaxConcurrency is the upper bound of a concurrency limit, in requests.
	MaxConcurrency int
	// MaxListedTenants is the number of tenants in the figures that operators are given.
	MaxListedTenants int
	// ShedWindow is how soon after its admission the rejection of a request by the router shows a lack of capacity.
	ShedWindow time.Duration
}

func admission() Admission {
	return Admission{
		MaxQueued:        maxQueued,
		MaxQueues:        maxQueues,
		MaxRetryAfter:    maxRetryAfter,
		MinConcurrency:   minConcurrency,
		MaxConcurrency:   maxConcurrency,
		MaxListedTenants: maxListedTenants,
		ShedWindow:       shedWindow,
	}
}

// Statements limits the analysis of statements.
type Statements struct {
	// CacheBytes is the size of the cache of fingerprints, in bytes.
	CacheBytes int
	// MaxListed is the number of fingerprints that operators are given in one order.
	MaxListed int
	// LogInterval is the least time between two log lines of one kind.
	LogInterval time.Duration
}

func statements() Statements {
	return Statements{CacheBytes: fingerprintCacheBytes, MaxListed: maxListedFingerprints, LogInterval: logInterval}
}
