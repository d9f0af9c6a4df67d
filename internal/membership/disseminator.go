package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// DisseminatorBounds limit the messages of a pooler.
type DisseminatorBounds struct {
	Fanout          int           // peers that receive updates in one period
	UpdateBytes     int           // size of the updates to one peer: they fit into a datagram
	AnswerBytes     int           // size of the facts in the answer to one summary, sent over a stream
	SummaryInterval time.Duration // interval at which a summary is sent to one peer
	PendingUpdates  int           // length of the queue; beyond it, the most-sent updates are left to anti-entropy
}

// DefaultDisseminatorBounds returns bounds for some 300 poolers and gossip periods of 200 ms.
func DefaultDisseminatorBounds() DisseminatorBounds {
	return DisseminatorBounds{
		Fanout:          3,
		UpdateBytes:     1200,
		AnswerBytes:     256 << 10,
		SummaryInterval: 2 * time.Second,
		PendingUpdates:  4096,
	}
}

// Message is sent by one pooler to another.
type Message struct {
	To      string // name of the receiver
	Updates Delta
	Summary map[string]uint64 // requests the entries that the sender lacks; nil: no request
}

// pendingUpdate is one fact or end that is still to be sent to peers.
type pendingUpdate struct {
	delta         Delta
	size          int // in bytes, approximately
	transmissions int // so far
}

// Disseminator decides which messages a pooler sends to which peers. It sends each update to a few random peers in each
// period, for as many periods as an epidemic protocol needs to reach all poolers. At every SummaryInterval it also
// sends a summary to one random peer (anti-entropy), which repairs losses and merges both sides' views after a network
// partition. It is a deterministic state machine: callers pass the time, the peers and the source of randomness. It is
// not safe for concurrent use.
type Disseminator struct {
	View      *View
	Publisher *Publisher

	bounds       DisseminatorBounds
	random       *rand.Rand
	pending      []pendingUpdate
	lastSummary  time.Duration // when a summary was last sent
	answerOffset int           // index of the fact with which the next answer begins
	left         bool          // Leave has been called
}

// NewDisseminator returns a disseminator with an empty queue.
func NewDisseminator(
	view *View, publisher *Publisher, bounds DisseminatorBounds, random *rand.Rand,
) *Disseminator {
	return &Disseminator{View: view, Publisher: publisher, bounds: bounds, random: random}
}

// Receive merges a delta from a peer and queues its new entries for other peers. Wrong entries about this pooler itself
// are refuted in the next period.
func (d *Disseminator) Receive(now time.Duration, delta Delta) {
	d.enqueue(d.View.Merge(now, delta))
	if !d.left {
		d.Publisher.Refute(now, delta)
	}
}

// Leave returns the announcement that this pooler leaves. The caller sends it to all reachable peers at once. Nothing
// is published after it.
func (d *Disseminator) Leave(now time.Duration) Delta {
	d.left = true
	delta := d.Publisher.Leave(now)
	d.enqueue(d.View.Merge(now, delta))
	return delta
}

func (d *Disseminator) enqueue(delta Delta) {
	for _, fact := range delta.Facts {
		d.pending = append(d.pending, pendingUpdate{delta: Delta{Facts: []Fact{fact}}, size: fact.size()})
	}
	for _, end := range delta.Ends {
		d.pending = append(d.pending, pendingUpdate{delta: Delta{Ends: []End{end}}, size: end.size()})
	}
}

// MarkFailed records that this pooler has detected the failure of a peer's current incarnation. An unknown or ended
// peer is ignored.
func (d *Disseminator) MarkFailed(now time.Duration, name string) {
	if incarnation, gone := d.View.Incarnation(name); incarnation > 0 && !gone {
		d.enqueue(d.View.Merge(now, Delta{Ends: []End{{Owner: name, Incarnation: incarnation, At: now}}}))
	}
}

// NextMessages returns the messages of one period. Values are the pooler's current values, which it publishes; peers
// are the names of the reachable poolers.
func (d *Disseminator) NextMessages(now time.Duration, values map[Key][]byte, peers []string) (messages []Message) {
	if !d.left {
		d.enqueue(d.View.Merge(now, d.Publisher.Publish(now, values)))
	}
	if len(peers) == 0 {
		return nil
	}
	// The least-sent updates go first, because most poolers have the others already.
	slices.SortStableFunc(d.pending, func(a, b pendingUpdate) int {
		return cmp.Compare(a.transmissions, b.transmissions)
	})
	d.pending = d.pending[:min(len(d.pending), d.bounds.PendingUpdates)]
	for _, i := range d.random.Perm(len(peers))[:min(d.bounds.Fanout, len(peers))] {
		if updates := d.collectUpdates(); !updates.Empty() {
			messages = append(messages, Message{To: peers[i], Updates: updates})
		}
	}
	limit := transmissionLimit(len(peers))
	d.pending = slices.DeleteFunc(d.pending, func(update pendingUpdate) bool { return update.transmissions >= limit })
	if now-d.lastSummary >= d.bounds.SummaryInterval {
		d.lastSummary = now
		messages = append(messages, Message{To: peers[d.random.IntN(len(peers))], Summary: d.View.Summary()})
	}
	return messages
}

// collectUpdates returns as many pending updates as fit into one message and counts their transmissions.
func (d *Disseminator) collectUpdates() (updates Delta) {
	remaining := d.bounds.UpdateBytes
	for i := range d.pending {
		update := &d.pending[i]
		if update.size > remaining {
			continue
		}
		remaining -= update.size
		update.transmissions++
		updates.Facts = append(updates.Facts, update.delta.Facts...)
		updates.Ends = append(updates.Ends, update.delta.Ends...)
	}
	return updates
}

// transmissionLimit returns how often each pooler sends an update. In an epidemic protocol, a small multiple of the
// logarithm of the number of peers reaches nearly all of them.
func transmissionLimit(peers int) int { return 2 * bits.Len(uint(peers)) }

// Answer returns the entries of all owners whose entries differ from those in the summary: all ends, and facts up to
// AnswerBytes. Successive answers begin with different facts: a pooler receives all of them by repeated requests.
func (d *Disseminator) Answer(summary map[string]uint64) (answer Delta) {
	missing := d.View.Missing(summary)
	answer.Ends = missing.Ends
	remaining := d.bounds.AnswerBytes
	for range len(missing.Facts) {
		fact := missing.Facts[d.answerOffset%len(missing.Facts)]
		if remaining -= fact.size(); remaining < 0 {
			break
		}
		d.answerOffset++
		answer.Facts = append(answer.Facts, fact)
	}
	return answer
}
