package limits

import "time"

// Discovery limits the watch of the endpoint list.
type Discovery struct {
	// MaxMembers is the number of entries of a list.
	MaxMembers int
	// MaxListBytes is the length of a list, or of one watch event, in bytes.
	MaxListBytes int
	// ResponseTimeout is the time for the beginning of discovery's response.
	ResponseTimeout time.Duration
	// SilenceTimeout breaks a watch from which nothing comes for so long, or which does not end an event that it has
	// begun.
	SilenceTimeout time.Duration
	// LogInterval is the least time between two log lines about failures.
	LogInterval time.Duration
}

func discovery() Discovery {
	return Discovery{
		MaxMembers:      maxMembers,
		MaxListBytes:    maxListBytes,
		ResponseTimeout: listResponseTimeout,
		SilenceTimeout:  watchSilenceTimeout,
		LogInterval:     logInterval,
	}
}

// Membership limits the exchange with the other poolers.
type Membership struct {
	// LeaveTimeout is the time for the other poolers to be notified of the end.
	LeaveTimeout time.Duration
}

func membership() Membership { return Membership{LeaveTimeout: membershipLeaveTimeout} }

// Store limits the replicated store.
type Store struct {
	// MaxKeys is the number of keys.
	MaxKeys int
	// MaxValueBytes is the length of a value, in bytes.
	MaxValueBytes int
	// MaxChangeIDs is the number of changes whose IDs are remembered, so that a retried one is applied once.
	MaxChangeIDs int
	// SaveInterval is the period in which a pooler stores its state, and in which what failed is retried.
	SaveInterval time.Duration
	// CallTimeout ends one change or read.
	CallTimeout time.Duration
	// WatchTimeout ends one watch without a change.
	WatchTimeout time.Duration
	// CatchUpTimeout is the time for a new member to have applied what the others have.
	CatchUpTimeout time.Duration
	// LogInterval is the least time between two log lines about failed accepts.
	LogInterval time.Duration
	// Retry is the backoff of accepts.
	Retry Retry
}

func store() Store {
	return Store{
		MaxKeys:        maxStoreKeys,
		MaxValueBytes:  maxStoreValueBytes,
		MaxChangeIDs:   maxStoreChangeIDs,
		SaveInterval:   storeSaveInterval,
		CallTimeout:    storeCallTimeout,
		WatchTimeout:   storeWatchTimeout,
		CatchUpTimeout: storeCatchUpTimeout,
		LogInterval:    logInterval,
		Retry:          retry(),
	}
}
