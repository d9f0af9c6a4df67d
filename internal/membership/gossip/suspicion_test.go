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

// A suspicion ends when a message of the pooler arrives. A late suspicion of its previous incarnation ends when it
// joins again. Neither lasts until memberlist probes that pooler again. A damaged message ends no suspicion.
func TestSuspicionEnds(t *testing.T) {
	now, bounds := epoch, membership.DefaultBounds()
	disseminator := membership.NewDisseminator(
		membership.NewView(bounds), membership.NewPublisher("a", 1, bounds),
		membership.DefaultDisseminatorBounds(), rand.New(rand.NewPCG(1, 1)))
	gossip := &Gossip{
		name: "a", timing: DefaultTiming(), log: zerolog.Nop(), clock: func() time.Duration { return now },
		disseminator: disseminator, members: map[string]*peer{}, departed: map[string]*peer{},
		remembered: map[string]address{}, lastLogged: map[string]time.Duration{},
		agreement: newAgreement(time.Second, now), contacts: newContacts(),
	}
	other := &memberlist.Node{Name: "b", Addr: net.IPv4(127, 0, 0, 1), Port: 1}
	suspect := func() {
		t.Helper()
		_, err := memberlistLog{gossip}.Write([]byte("[INFO] memberlist: Suspect b has failed, no acks received"))
		require.NoError(t, err)
		require.Contains(t, gossip.contacts.suspectedSince, "b")
	}
	eventDelegate{gossip}.NotifyJoin(other)
	suspect()
	var text []byte
	sent := message{Version: protocolVersion, From: "b"}
	require.NoError(t, codec.NewEncoderBytes(&text, &msgpackHandle).Encode(sent))
	for i := range 8 * len(text) { // one bit inverted, each in turn
		damaged := withChecksum(text)
		damaged[4+i/8] ^= 1 << (i % 8)
		gossip.receive(damaged)
	}
	require.Equal(t, int64(8*len(text)), gossip.counters.Malformed)
	require.Contains(t, gossip.contacts.suspectedSince, "b")
	gossip.receive(withChecksum(text))
	require.Empty(t, gossip.contacts.suspectedSince, "a message has arrived")
	suspect()
	eventDelegate{gossip}.NotifyLeave(other)
	require.Empty(t, gossip.contacts.suspectedSince)
	suspect() // it arrives late
	eventDelegate{gossip}.NotifyJoin(other)
	require.Empty(t, gossip.contacts.suspectedSince, "a new incarnation")
}
