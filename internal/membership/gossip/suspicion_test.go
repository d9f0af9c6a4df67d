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

// A suspicion ends when the pooler speaks, and one of a former life that comes late ends when it joins again: nobody has to wait
// until it is that pooler's turn to be asked.
func TestSuspicionEnds(t *testing.T) {
	now, b := epoch, membership.DefaultBounds()
	talk := membership.NewDisseminator(membership.NewView(b), membership.NewPublisher("a", 1, b), membership.DefaultDisseminatorBounds(), rand.New(rand.NewPCG(1, 1)))
	g := &Gossip{name: "a", pace: DefaultTiming(), log: zerolog.Nop(), clock: func() time.Duration { return now }, talk: talk, members: map[string]*peer{},
		missing: map[string]*peer{}, remembered: map[string]address{}, logged: map[string]time.Duration{}, agreement: newAgreement(time.Second, now),
		heard: heard{answered: map[string]time.Duration{}, suspected: map[string]time.Duration{}}}
	other := &memberlist.Node{Name: "b", Addr: net.IPv4(127, 0, 0, 1), Port: 1}
	suspect := func() {
		library{g}.Write([]byte("[INFO] memberlist: Suspect b has failed, no acks received"))
		require.Contains(t, g.heard.suspected, "b")
	}
	events{g}.NotifyJoin(other)
	suspect()
	var text []byte
	require.NoError(t, codec.NewEncoderBytes(&text, &handle).Encode(wire{Version: version, From: "b"}))
	for i := range 8 * len(text) { // one bit turned over anywhere
		bad := seal(text)
		bad[4+i/8] ^= 1 << (i % 8)
		g.hear(bad)
	}
	require.Equal(t, int64(8*len(text)), g.count.Garbled)
	require.Contains(t, g.heard.suspected, "b")
	g.hear(seal(text))
	require.Empty(t, g.heard.suspected, "it has spoken")
	suspect()
	events{g}.NotifyLeave(other)
	require.Empty(t, g.heard.suspected)
	suspect() // late
	events{g}.NotifyJoin(other)
	require.Empty(t, g.heard.suspected, "a new life")
}
