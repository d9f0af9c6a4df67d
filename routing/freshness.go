package routing

import "time"

// fresh tells whether the node's proven position is recent enough for the read. Where nodes check, one is
// taken to follow as closely as when it last spoke, be that long ago: a wrong guess costs one attempt.
func (r *Router) fresh(n *nodeRecord, q *openRequest) bool {
	position := n.position
	if r.settings.StaleReads == StaleRejected && q.class.Read != FreshRead {
		position += r.now - n.provenAt
	}
	switch q.class.Read {
	case AnyRead:
		return true
	case BoundedRead:
		return r.latestNow()-position <= q.class.MaxAge
	default:
		return position >= q.minPosition.By(r.offset.Latest)
	}
}

// lag is how far a node was behind when it last spoke.
func (r *Router) lag(n *nodeRecord) time.Duration { return n.provenAt + r.offset.Earliest - n.position }
