package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Poolers of other versions compare digests and parse observations, so hashes and encodings must not change.
func TestWireFormatIsStable(t *testing.T) {
	const incarnation, at = 1_800_000_000_000, 1_800_000_000*time.Second + 5
	factAbout := func(key Key) Fact {
		return Fact{Owner: "n1", Incarnation: incarnation, Sequence: 7, Key: key, At: at, Value: []byte{1, 0, 9}}
	}
	for _, test := range []struct {
		name string
		hash uint64
		want uint64
	}{
		{"fact about a database", factAbout(Key{KindDatabase, "s-1"}).hash(), 0x4d9e9e86d7ebcc91},
		{"fact about a pooler", factAbout(Key{}).hash(), 0x413580f77ec84570},
		{"detected end", End{Owner: "n1", Incarnation: incarnation, At: at}.hash(), 0x3d15082cba46fb66},
		{"announced end", End{Owner: "n1", Incarnation: incarnation, At: at, Left: true}.hash(), 0x3906f7505a6322b8},
	} {
		t.Run(test.name, func(t *testing.T) { require.Equal(t, test.want, test.hash) })
	}
	observation := Observation{
		State: Failing, Cold: true, Primary: true, Since: incarnation, Position: incarnation - 1000,
	}
	encoded := []byte{3, 3, 0x80, 0xa0, 0xf1, 0xc2, 0xb1, 0x34, 0x98, 0x98, 0xf1, 0xc2, 0xb1, 0x34}
	require.Equal(t, encoded, observation.Append(nil))
}
