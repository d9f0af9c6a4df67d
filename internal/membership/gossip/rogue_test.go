package gossip_test

import (
	"encoding/binary"
	"hash/crc32"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"capercove/internal/clock"
	"capercove/internal/testbed"
)

// The wire form of messages in protocol version 1, which a faulty pooler or one of another version may send.
type (
	sentFact struct {
		Owner                 string
		Incarnation, Sequence uint64
		At                    time.Duration
		Value                 []byte
	}
	sentEnd struct {
		Owner       string
		Incarnation uint64
		At          time.Duration
	}
	sentMessage struct {
		Version int
		From    string
		Facts   []sentFact
		Ends    []sentEnd
	}
)

// invalidMessages returns messages that must change nothing if n0 is live under the given incarnation.
func invalidMessages(t *testing.T, now time.Duration, incarnation uint64) [][]byte {
	t.Helper()
	empty := []byte("{}")
	factFrom := func(fact sentFact) sentMessage {
		return sentMessage{Version: 1, From: "rogue", Facts: []sentFact{fact}}
	}
	anotherVersion := sentMessage{Version: 9, From: "rogue"}
	withoutSender := sentMessage{Version: 1}
	factOfTheFuture := factFrom(sentFact{"n0", incarnation, 1 << 40, now + time.Hour, empty})
	laterIncarnation := factFrom(sentFact{"n0", 1 << 63, 1, now, empty})
	olderIncarnation := factFrom(sentFact{"n0", incarnation - 1, 1, now, empty})
	tooLong := factFrom(sentFact{"n9", incarnation, 1, now, make([]byte, 1000)})
	endOfLivePooler := sentMessage{Version: 1, From: "rogue", Ends: []sentEnd{{"n0", incarnation, now}}}
	messages := []sentMessage{
		anotherVersion, withoutSender, factOfTheFuture, laterIncarnation, olderIncarnation, tooLong, endOfLivePooler,
	}
	var packets [][]byte
	for _, message := range messages {
		var text []byte
		require.NoError(t, codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).Encode(message))
		checksum := crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli))
		packets = append(packets, append(binary.BigEndian.AppendUint32(nil, checksum), text...))
	}
	return append(packets, []byte("noise"), nil)
}

// joinRogue adds a memberlist member that is not a pooler to the cluster, until the test ends.
func joinRogue(t *testing.T, addresses ...string) *memberlist.Memberlist {
	t.Helper()
	config := memberlist.DefaultLANConfig()
	config.Name, config.Label = "rogue", "c"
	config.BindAddr, config.BindPort, config.AdvertisePort = "127.0.0.1", 0, 0
	config.LogOutput = &testbed.Output{}
	rogue, err := memberlist.Create(config)
	require.NoError(t, err)
	t.Cleanup(func() { _ = rogue.Shutdown() }) // the sockets close in any case
	_, err = rogue.Join(addresses)
	require.NoError(t, err)
	return rogue
}

// Invalid messages of a member change nothing: undecodable ones, and those with another protocol version, a fact in the
// future, an older or a far later incarnation of a pooler, or the end of a live pooler. They are counted, and the live
// pooler refutes its end.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	t.Parallel()
	fleet := testbed.NewFleet(t, 6, 2, []string{"n0"}, fastGossip)
	fleet.StartAll()
	fleet.WaitConverged("joined", fleet.Names...)
	incarnation := fleet.State("n1").Poolers[0].Incarnation
	rogue := joinRogue(t, fleet.Public("n0"), fleet.Public("n1"))
	packets := invalidMessages(t, clock.Monotonic()(), incarnation)
	for _, node := range rogue.Members() {
		for _, packet := range packets {
			if node.Name != "rogue" {
				require.NoError(t, rogue.SendReliable(node, packet))
			}
		}
	}
	bed := fleet.Beds["n1"]
	bed.Eventually(func() bool {
		state := fleet.State("n1")
		return state.WrongVersion >= 1 && state.Malformed >= 2 &&
			state.Future >= 2 && state.Stale >= 1 && state.Invalid >= 1
	}, "n1 counts the messages")
	bed.Eventually(func() bool { return fleet.State("n0").Refutations >= 1 }, "n0 refutes its end")
	fleet.WaitConverged("invalid messages", fleet.Names...)
	fleet.Serve("invalid messages", fleet.Names...)
	require.Empty(t, fleet.Logs("it does not answer"))
}
