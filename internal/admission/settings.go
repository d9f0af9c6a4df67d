package admission

import "time"

// Settings configure a Controller.
type Settings struct {
	Tenants       []Tenant // the first one is the tenant of requests that match no rule
	Classes       []Class
	Limiter       LimiterKind
	Tolerance     float64       // multiple of the latency floor up to which the limit is not reduced; above 1
	MaxRetryAfter time.Duration // maximum time to retry after; 0: rejected clients get none
	Bounds        Bounds
}

// Tenant is one of the users that share the databases.
type Tenant struct {
	Name         string
	Weight       float64 // a tenant's share of the work is proportional to its weight; above 0
	Floor        float64 // requests a second that are admitted before those of other tenants; 0: none
	Ceiling      float64 // requests a second beyond which all are rejected; 0: none
	FloorShare   float64 // share of a queue's limit below which its requests are admitted before others; 0: none
	CeilingShare float64 // maximum share of a queue's limit that it may use; 0: all
}

// Class is a class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within this time has its full value
	Primary          bool          // only the primary of a group serves the class
}

// Bounds bound the memory of a Controller, and the concurrency limit of each queue.
type Bounds struct {
	MaxWaiting     int // waiting requests, over all queues
	MaxQueues      int // queues; further groups share them
	MaxRetries     int // scheduled retries that are stored
	MinConcurrency float64
	MaxConcurrency float64
}
