package routing

import "time"

// fresh reports whether the node's last reported position is recent enough for the read. If nodes reject stale reads
// themselves, a node's replication lag is assumed to be unchanged since its last report, however old that is: a wrong
// assumption costs one attempt.
func (r *Router) fresh(node *nodeRecord, request *openRequest) bool {
	position := node.position
	if r.settings.StaleReads == StaleRejected && request.class.Read != FreshRead {
		position += r.now - node.positionReportedAt
	}
	switch request.class.Read {
	case AnyRead:
		return true
	case BoundedRead:
		return r.latestNow()-position <= request.class.MaxAge
	default:
		return position >= request.minPosition.OnDatabaseClock(r.offset.Latest)
	}
}

// lag returns the replication lag of a node at its last report.
func (r *Router) lag(node *nodeRecord) time.Duration {
	return node.positionReportedAt + r.offset.Earliest - node.position
}

// freshUntil returns the router's time from which a read must not be written to the node, or 0 if there is no limit.
// While a connection is opened, the data of the node may become too old for the read.
func (r *Router) freshUntil(node *nodeRecord, request *openRequest) time.Duration {
	if request.class.Read != BoundedRead || node.role == Primary || r.settings.StaleReads != StaleAnswered {
		return 0
	}
	return node.position + request.class.MaxAge - r.offset.Latest
}
