package gossip

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"capercove/internal/membership"
)

// Steps of an anti-entropy exchange. A request carries the requester's summary. An answer carries the entries that the
// requester lacks, and the answering pooler's summary. A return carries the entries that the answering pooler lacks.
// The values are part of the wire format.
const (
	stepRequest = iota + 1
	stepAnswer
	stepReturn
)

// message is sent as a user message of memberlist: a checksum, followed by the message in MessagePack. The field names
// are part of the wire format.
type message struct {
	Version int
	From    string
	Digest  uint64 // of the sender's view
	Facts   []membership.Fact
	Ends    []membership.End
	Summary map[string]uint64
	Step    int // of an exchange, sent over a stream; 0: updates, sent in a datagram
}

var msgpackHandle codec.MsgpackHandle

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// messageOf returns the wire form of a disseminator's message.
func messageOf(sent membership.Message) message {
	converted := message{Facts: sent.Updates.Facts, Ends: sent.Updates.Ends, Summary: sent.Summary}
	if sent.Summary != nil {
		converted.Step = stepRequest
	}
	return converted
}

// send sends a message to a member: updates in a datagram, the steps of an exchange over a stream. A later summary
// repairs losses. The caller holds mu.
func (g *Gossip) send(name string, outgoing message) {
	receiver, found := g.members[name]
	if !found || g.list == nil {
		return
	}
	outgoing.Version, outgoing.From, outgoing.Digest = protocolVersion, g.name, g.disseminator.View.Digest()
	var encoded bytes.Buffer
	if err := codec.NewEncoder(&encoded, &msgpackHandle).Encode(outgoing); err != nil {
		g.log.Error().Err(err).Msg("membership: message not encoded")
		return
	}
	list, node, data := g.list, receiver.node, withChecksum(encoded.Bytes())
	if outgoing.Step == 0 {
		_ = list.SendBestEffort(&node, data) // repaired by a later summary
		return
	}
	if g.stopping {
		return
	}
	g.goroutines.Go(func() { // A dial may block until its timeout.
		_ = list.SendReliable(&node, data) // repaired by a later summary
	})
}

// withChecksum prepends a checksum to an encoded message. Memberlist's streams have none, and a single flipped bit in a
// name would add a pooler that does not exist to all views.
func withChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli)), data...)
}

// withoutChecksum removes the checksum from the data, and reports whether it matches the encoded message.
func withoutChecksum(data []byte) (encoded []byte, ok bool) {
	if len(data) < crc32.Size {
		return nil, false
	}
	encoded = data[crc32.Size:]
	return encoded, crc32.Checksum(encoded, castagnoli) == binary.BigEndian.Uint32(data)
}

// receive handles a message from another pooler.
func (g *Gossip) receive(data []byte) {
	encoded, ok := withoutChecksum(data)
	if !ok {
		g.reject(&g.counters.Malformed, "a message with a wrong checksum")
		return
	}
	var received message
	limited := io.LimitReader(bytes.NewReader(encoded), maxMessageBytes)
	if err := codec.NewDecoder(limited, &msgpackHandle).Decode(&received); err != nil || received.From == "" {
		g.reject(&g.counters.Malformed, "a message that cannot be decoded or names no sender")
		return
	}
	if received.Version != protocolVersion {
		g.reject(&g.counters.WrongVersion, fmt.Sprintf("%q uses protocol version %d, this pooler uses %d",
			received.From, received.Version, protocolVersion))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(received)
	g.reply(received)
}

// merge merges the entries of a message into the view, and records the sender's response and digest. It counts a
// refutation if the message made this pooler change its incarnation. The caller holds mu.
func (g *Gossip) merge(received message) {
	now := g.clock()
	before := g.disseminator.Publisher.Incarnation()
	g.disseminator.Receive(now, membership.Delta{Facts: received.Facts, Ends: received.Ends})
	if g.disseminator.Publisher.Incarnation() != before {
		g.counters.Refutations++
	}
	if g.members[received.From] != nil {
		g.contacts.recordAnswer(received.From, now)
	}
	g.agreement.receive(now, received.From, received.Digest)
}

// reply sends the next step of an exchange. The caller holds mu.
func (g *Gossip) reply(received message) {
	switch received.Step {
	case stepRequest:
		delta := g.disseminator.Answer(received.Summary)
		g.send(received.From, message{
			Facts: delta.Facts, Ends: delta.Ends, Summary: g.disseminator.View.Summary(), Step: stepAnswer,
		})
	case stepAnswer:
		if delta := g.disseminator.Answer(received.Summary); !delta.Empty() {
			g.send(received.From, message{Facts: delta.Facts, Ends: delta.Ends, Step: stepReturn})
		}
	}
}
