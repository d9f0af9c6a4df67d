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

// The steps of an exchange: what one lacks is asked for by a summary, the answer has that and a summary of its own, and the
// last has what that lacks.
const (
	ask = iota + 1
	answer
	back
)

func step(m membership.Message) int {
	if m.Summary != nil {
		return ask
	}
	return 0
}

// wire is what goes over memberlist's user messages.
type wire struct {
	Version int
	From    string
	Digest  uint64 // of the sender's view
	Facts   []membership.Fact
	Ends    []membership.End
	Summary map[string]uint64
	Step    int // of an exchange: 0 is news; ask, answer and back are each answered with the next, and go over a stream
}

var handle codec.MsgpackHandle

// send sends a message, a summary or its answer over a stream; mu is held. What is lost is made good by a later summary.
func (g *Gossip) send(name string, w wire) {
	to, there := g.members[name]
	if !there || g.list == nil {
		return
	}
	w.Version, w.From, w.Digest = version, g.name, g.talk.View.Digest()
	var b bytes.Buffer
	if err := codec.NewEncoder(&b, &handle).Encode(w); err != nil {
		g.log.Error().Err(err).Msg("fleet: a message cannot be written")
		return
	}
	list, node, text := g.list, to.node, seal(b.Bytes())
	if w.Step > 0 {
		if !g.stopping {
			g.ended.Go(func() { list.SendReliable(&node, text) }) // a dial may take as long as its time-out
		}
		return
	}
	list.SendBestEffort(&node, text)
}

// seal puts a checksum before a message: the library's streams have none, and a name with one bit turned over would live on as a
// pooler that is not there.
func seal(text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, castagnoli)), text...)
}

// hear takes in a message.
func (g *Gossip) hear(data []byte) {
	if len(data) < 4 || crc32.Checksum(data[4:], castagnoli) != binary.BigEndian.Uint32(data) {
		g.turnDown(&g.count.Garbled, "a message that was made otherwise on its way")
		return
	}
	data = data[4:]
	var w wire
	err := codec.NewDecoder(io.LimitReader(bytes.NewReader(data), messageMost), &handle).Decode(&w)
	if err != nil || w.From == "" {
		g.turnDown(&g.count.Garbled, "a message that cannot be read")
		return
	}
	if w.Version != version {
		g.turnDown(&g.count.Versions, fmt.Sprintf("%q speaks version %d, and this pooler %d", w.From, w.Version, version))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	before := g.talk.Publisher.Incarnation()
	g.talk.Receive(now, membership.Delta{Facts: w.Facts, Ends: w.Ends})
	if g.talk.Publisher.Incarnation() != before {
		g.count.Refuted++
	}
	if g.members[w.From] != nil {
		g.heard.answer(w.From, now)
	}
	g.agreement.tell(now, w.From, w.Digest)
	switch d := (membership.Delta{}); w.Step {
	case ask:
		d = g.talk.Answer(w.Summary)
		g.send(w.From, wire{Facts: d.Facts, Ends: d.Ends, Summary: g.talk.View.Summary(), Step: answer})
	case answer:
		if d = g.talk.Answer(w.Summary); !d.Empty() {
			g.send(w.From, wire{Facts: d.Facts, Ends: d.Ends, Step: back})
		}
	}
}
