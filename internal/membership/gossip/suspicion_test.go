package gossip

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/membership"
)

// A suspicion ends when the pooler speaks, and one of a former life that comes late ends when it joins again: nobody
// has to wait until it is that pooler's turn to be asked.
func TestSuspicionEnds(t *testing.T) {
	now, b := epoch, membership.DefaultBounds()
	disseminator := membership.NewDisseminator(membership.NewView(b), membership.NewPublisher("a", 1, b),
		membership.DefaultDisseminatorBounds(), rand.New(rand.NewPCG(1, 1)))
	g := &Gossip{
		name: "a", timing: DefaultTiming(), log: zerolog.Nop(), clock: func() time.Duration { return now },
		disseminator: disseminator, members: map[string]*peer{}, departed: map[string]*peer{},
		remembered: map[string]address{}, lastLogged: map[string]time.Duration{},
		agreement: newAgreement(time.Second, now), contacts: newContacts(),
	}
	other := &memberlist.Node{Name: "b", Addr: net.IPv4(127, 0, 0, 1), Port: 1}
	suspect := func() {
		_, err := memberlistLog{g}.Write([]byte("[INFO] memberlist: Suspect b has failed, no acks received"))
		require.NoError(t, err)
		require.Contains(t, g.contacts.suspectedSince, "b")
	}
	eventDelegate{g}.NotifyJoin(other)
	suspect()
	var text []byte
	require.NoError(t, codec.NewEncoderBytes(&text, &msgpackHandle).Encode(message{Version: protocolVersion, From: "b"}))
	for i := range 8 * len(text) { // one bit turned over anywhere
		bad := withChecksum(text)
		bad[4+i/8] ^= 1 << (i % 8)
		g.receive(bad)
	}
	require.Equal(t, int64(8*len(text)), g.counters.Malformed)
	require.Contains(t, g.contacts.suspectedSince, "b")
	g.receive(withChecksum(text))
	require.Empty(t, g.contacts.suspectedSince, "it has spoken")
	suspect()
	eventDelegate{g}.NotifyLeave(other)
	require.Empty(t, g.contacts.suspectedSince)
	suspect() // late
	eventDelegate{g}.NotifyJoin(other)
	require.Empty(t, g.contacts.suspectedSince, "a new life")
}
