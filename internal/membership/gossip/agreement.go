package gossip

import (
	"maps"
	"slices"
	"time"
)

// Values of Pooler.Agrees: whether another pooler's view agrees with this pooler's.
const (
	viewAgrees  = "yes"
	viewDiffers = "no"
	viewUnknown = "?" // no digest has been received, or the views may still converge
)

// agreement compares the digests of the other poolers' views with this pooler's. Views change while a digest is on its
// way. Another view therefore agrees if this pooler's view had the same digest within the tolerance before, or reaches
// it within the tolerance after. It is a deterministic state machine: callers pass the time.
type agreement struct {
	tolerance  time.Duration
	ownDigests []ownDigest // of the time within tolerance, the newest last
	peers      map[string]*peerDigest

	agrees bool          // no peer's view differs
	since  time.Duration // when agrees last changed
}

// ownDigest is a digest that this pooler's view had.
type ownDigest struct {
	digest   uint64
	lastSeen time.Duration // when the view last had it
}

// peerDigest is the last digest of another pooler.
type peerDigest struct {
	digest       uint64
	receivedAt   time.Duration
	known        bool          // a digest has been received
	matched      bool          // this pooler's view had the same digest
	differsSince time.Duration // if not matched: since when the digests have differed
}

func newAgreement(tolerance, now time.Duration) *agreement {
	return &agreement{tolerance: tolerance, peers: map[string]*peerDigest{}, since: now}
}

// receive handles another pooler's digest. It ignores poolers that were not present at the last update.
func (a *agreement) receive(now time.Duration, name string, digest uint64) {
	peer := a.peers[name]
	if peer == nil {
		return
	}
	if peer.known && peer.digest == digest && peer.matched {
		peer.receivedAt = now
		return
	}
	matched := slices.ContainsFunc(a.ownDigests, func(own ownDigest) bool { return own.digest == digest })
	if !matched && (!peer.known || peer.matched) {
		peer.differsSince = now
	}
	peer.digest, peer.receivedAt, peer.known, peer.matched = digest, now, true, matched
}

// update handles this pooler's digest and the names of the other poolers that are present. It reports whether agrees
// changed.
func (a *agreement) update(now time.Duration, digest uint64, present map[string]bool) (changed bool) {
	a.recordOwnDigest(now, digest)
	maps.DeleteFunc(a.peers, func(name string, _ *peerDigest) bool { return !present[name] })
	agrees := true
	for name := range present {
		peer := a.peers[name]
		if peer == nil {
			peer = &peerDigest{}
			a.peers[name] = peer
		}
		peer.matched = peer.matched || peer.known && peer.digest == digest
		agrees = agrees && a.verdict(now, peer) != viewDiffers
	}
	if agrees == a.agrees {
		return false
	}
	a.agrees, a.since = agrees, now
	return true
}

// recordOwnDigest records this pooler's digest, and removes those that were last seen longer than tolerance ago.
func (a *agreement) recordOwnDigest(now time.Duration, digest uint64) {
	if n := len(a.ownDigests); n > 0 && a.ownDigests[n-1].digest == digest {
		a.ownDigests[n-1].lastSeen = now
	} else {
		a.ownDigests = append(a.ownDigests, ownDigest{digest, now})
	}
	a.ownDigests = slices.DeleteFunc(a.ownDigests, func(own ownDigest) bool { return now-own.lastSeen > a.tolerance })
}

// verdict returns viewAgrees, viewDiffers or viewUnknown. A nil peer is unknown.
func (a *agreement) verdict(now time.Duration, peer *peerDigest) string {
	switch {
	case peer == nil || !peer.known:
		return viewUnknown
	case peer.matched:
		return viewAgrees
	case now-peer.differsSince < a.tolerance:
		return viewUnknown
	}
	return viewDiffers
}
