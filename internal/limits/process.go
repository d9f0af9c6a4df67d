package limits

import "time"

// Process limits the process as a whole.
type Process struct {
	// MemoryBytes is the grant of the platform, in bytes.
	MemoryBytes int64
	// SoftMemoryBytes is the largest soft limit of the garbage collector, in bytes; see SoftMemory.
	SoftMemoryBytes int64
	// QuotaInterval is the period of settling the descriptor quotas of the pooler's processes.
	QuotaInterval time.Duration
}

func process(granted shares) Process {
	return Process{
		MemoryBytes: granted.grantBytes, SoftMemoryBytes: granted.heapBytes, QuotaInterval: quotaInterval,
	}
}

// SoftMemory returns the soft limit of the garbage collector, in bytes, for a process of whose resident memory so many
// bytes are pages of files. The garbage collector does not see those.
func (bounds Process) SoftMemory(filePages uint64) int64 {
	left := bounds.MemoryBytes - int64(filePages) - unseenBytes
	return max(min(bounds.SoftMemoryBytes, left), minSoftBytes)
}

// Listen limits the opening of a listener at the start.
type Listen struct {
	// Timeout is how long it is retried.
	Timeout time.Duration
	// Retry is its backoff.
	Retry Retry
}

func listen() Listen { return Listen{Timeout: startTimeout, Retry: retry()} }

// Retry is the exponential backoff of an operation that failed for a moment.
type Retry struct {
	// FirstBackoff is the wait after the first failure.
	FirstBackoff time.Duration
	// MaxBackoff is the longest wait.
	MaxBackoff time.Duration
}

func retry() Retry { return Retry{FirstBackoff: firstBackoff, MaxBackoff: maxBackoff} }

// Shutdown limits the graceful shutdown. Its times count from SIGTERM.
type Shutdown struct {
	// DrainDelay is how long all is served as before, as a front still sends new connections.
	DrainDelay time.Duration
	// Timeout ends the process, whatever is open.
	Timeout time.Duration
	// AnswerMargin is how long before Timeout what is still open is failed, for the answer to reach the client.
	AnswerMargin time.Duration
	// TimerTick is the resolution of timers.
	TimerTick time.Duration
}
