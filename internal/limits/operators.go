package limits

import "time"

// Management limits the operators' HTTP server.
type Management struct {
	// MaxConnections is the number of connections.
	MaxConnections int
	// RequestTimeout is the time for a request to arrive.
	RequestTimeout time.Duration
	// CallTimeout is the time for a request that has arrived to be answered.
	CallTimeout time.Duration
	// LogInterval is the least time between two log lines about failed accepts.
	LogInterval time.Duration
	// Retry is the backoff of accepts.
	Retry Retry
}

func management() Management {
	return Management{
		MaxConnections: maxOperatorConnections,
		RequestTimeout: operatorRequestTimeout,
		CallTimeout:    operatorCallTimeout,
		LogInterval:    logInterval,
		Retry:          retry(),
	}
}

// Exclusion limits the set of endpoints that operators exclude, and its files.
type Exclusion struct {
	// MaxEndpoints is the number of excluded endpoints.
	MaxEndpoints int
	// MaxFileBytes is the length of a file, in bytes.
	MaxFileBytes int
	// RefreshInterval is the period of reading the changes of other processes.
	RefreshInterval time.Duration
	// ChangeTimeout answers a change that is not on disk by then. It is in force.
	ChangeTimeout time.Duration
	// LockTimeout ends one attempt to lock the file.
	LockTimeout time.Duration
	// HandOverDelay is how long a change may wait to be on disk before it is handed to the other processes without.
	HandOverDelay time.Duration
	// Retry is the backoff of writing the file.
	Retry Retry
	// LogInterval is the least time between two log lines about failed writes.
	LogInterval time.Duration
}

func exclusion() Exclusion {
	return Exclusion{
		MaxEndpoints:    maxExcludedEndpoints,
		MaxFileBytes:    maxExclusionFileBytes,
		RefreshInterval: exclusionRefreshInterval,
		ChangeTimeout:   exclusionChangeTimeout,
		LockTimeout:     exclusionLockTimeout,
		HandOverDelay:   exclusionHandOverDelay,
		Retry:           Retry{FirstBackoff: exclusionFirstBackoff, MaxBackoff: exclusionMaxBackoff},
		LogInterval:     logInterval,
	}
}

// Traffic limits the writing and replaying of capture files.
type Traffic struct {
	// MaxQueuedChunks is how many chunks of clients' traffic may wait to be written. Further ones are dropped.
	MaxQueuedChunks int
	// MaxReplayedRequests is the number of requests of a replay that are open at once.
	MaxReplayedRequests int
	// MaxReplayedConnections is the number of connections of a file that are followed at once.
	MaxReplayedConnections int
	// MaxMessageBytes is the length of a message in a file, in bytes.
	MaxMessageBytes int
}

func traffic() Traffic {
	return Traffic{
		MaxQueuedChunks:        maxQueuedChunks,
		MaxReplayedRequests:    maxReplayedRequests,
		MaxReplayedConnections: maxReplayedConnections,
		MaxMessageBytes:        maxMessageBytes,
	}
}
