package admission

import "time"

// flow holds the waiting requests of one client of a tenant, or of the clients with the same hash.
type flow struct {
	start          float64 // start tag of the next request in the tenant's virtual time, while the flow is active
	finish         float64 // finish tag of the last admitted request
	backlog        float64 // cost of the waiting requests
	count          int32   // waiting requests
	first, last    int32   // entries by admitBy
	oldest, newest int32   // entries by arrival
	heapIndex      int32   // index in the heap of active flows; none: no request waits
}

// arrivalList links entries in the order of their arrival.
type arrivalList struct{ first, last int32 }

// subqueue is the part of a fairQueue that belongs to one tenant.
type subqueue struct {
	start, finish      float64 // start and finish tags, like those of a flow, in the queue's virtual time
	virtualTime        float64 // virtual time of the flows
	weight             float64
	backlog            float64 // cost of the waiting requests
	queued             int
	inFlight           int
	flows              [bands * (hashedFlows + heavyFlows)]flow
	active             [bands][]int32 // heaps of the flows that have waiting requests
	heaps              [bands]flowHeap
	retries            [bands]arrivalList // scheduled retries that arrived on time and wait
	consecutiveRetries int                // scheduled retries that were admitted in a row
	heapIndex          int32              // index in the queue's heap of active tenants; none: no request waits
	sketch             sketch
	usedAt             time.Duration // when the last request was offered
	reservedUntil      time.Duration // the share of the throughput for scheduled retries is reserved up to this time
}

// maxChargeAhead bounds how far charges move a flow ahead of its tenant's virtual time, as a multiple of the charge.
const maxChargeAhead = 8

// charge delays the next request of a flow. The delay is bounded: no flow starves.
func (sub *subqueue) charge(flow int32, cost float64) {
	f := &sub.flows[flow]
	if f.heapIndex == none {
		f.finish = min(max(f.finish, sub.virtualTime)+cost, max(f.finish, sub.virtualTime+maxChargeAhead*cost))
		return
	}
	f.start = min(f.start+cost, max(f.start, sub.virtualTime+maxChargeAhead*cost))
	sub.fix(flow)
}

// flowOf adds a cost to the sketch and returns the number of the client's flow: a dedicated one for a heavy client,
// else the one of the client's hash.
func (sub *subqueue) flowOf(c *Controller, client uint64, cost float64, b band) int32 {
	sub.usedAt = c.now
	first := int32(b) * (hashedFlows + heavyFlows)
	if hitter := sub.sketch.add(client, cost); hitter >= 0 {
		return first + int32(hashedFlows+hitter)
	}
	return first + int32(hash(client, c.seed)%hashedFlows)
}

// band divides requests by how long they take, compared with how long other requests in the queue may wait.
type band uint8

const (
	short band = iota
	long
	bands
)

// bandOf returns the band of a flow number.
func bandOf(flow int32) band { return band(flow / (hashedFlows + heavyFlows)) }
