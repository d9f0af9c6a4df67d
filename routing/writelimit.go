package routing

import "time"

// WriteCondition is a condition on which an attempt was decided, and which may have ceased to hold when the attempt is
// written.
type WriteCondition uint8

// The conditions that end at a known time.
const (
	Unlimited    WriteCondition = iota // none of them
	DeadlineLeft                       // the client still waits for the answer
	ProvenFresh                        // the node's data is fresh enough for the read
	Repeatable                         // the nodes still discard a repeat of the write
	writeConditionCount
)

// String returns the name of the condition.
func (condition WriteCondition) String() string {
	return [writeConditionCount]string{"unlimited", "deadline left", "proven fresh", "repeatable"}[condition]
}

// WriteLimit is the time before which an attempt must be written, and the condition that ends then. The zero value is
// no limit.
type WriteLimit struct {
	Until     time.Duration // on the router's clock; 0: no limit
	Condition WriteCondition
}

// Allows reports whether an attempt may be written now.
func (limit WriteLimit) Allows(now time.Duration) bool { return limit.Until == 0 || now < limit.Until }

// And returns the limit of an attempt to which both limits apply: the earlier one.
func (limit WriteLimit) And(other WriteLimit) WriteLimit {
	if other.Until == 0 || limit.Until != 0 && limit.Until <= other.Until {
		return limit
	}
	return other
}

// writeLimit returns the limit of an attempt of the request at the node that is decided now. The attempt may wait for a
// connection, and what it was decided on may change meanwhile.
func (r *Router) writeLimit(request *openRequest, node *nodeRecord) (limit WriteLimit) {
	limit = limit.And(WriteLimit{r.freshUntil(node, request), ProvenFresh})
	limit = limit.And(WriteLimit{request.repeatableUntil(), Repeatable})
	if r.mayHedge(request) && request.class.Effect == Deduplicated {
		// A later attempt may run while this one waits.
		limit = limit.And(WriteLimit{r.now + request.class.DedupWindow, Repeatable})
	}
	return limit
}

// repeatableUntil returns the router's time from which a repeat of the request would be executed again, or 0 if there
// is no such time.
func (request *openRequest) repeatableUntil() time.Duration {
	first := request.firstUncertain()
	if request.class.Effect != Deduplicated || first == nil {
		return 0
	}
	return first.sentAt + request.class.DedupWindow
}
