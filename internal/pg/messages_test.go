package pg

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// packet returns a typed message. It does not use the functions under test.
func packet(kind byte, body string) string {
	length := binary.BigEndian.AppendUint32(nil, uint32(4+len(body)))
	return string(kind) + string(length) + body
}

// untyped returns a message of the startup phase.
func untyped(body string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(4+len(body)))) + body
}

// unhex decodes hexadecimal digits, which may be separated by spaces.
func unhex(t *testing.T, digits string) string {
	t.Helper()
	text, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
	require.NoError(t, err)
	return string(text)
}

// Each appended message has the bytes that the protocol's documentation specifies.
func TestAppendedMessagesMatchProtocol(t *testing.T) {
	query := Query{Head: "SELECT 1 /* id=a,c=read,d=", Tail: ",cluster=3 */"}
	cases := map[string]struct {
		got  []byte
		want string
	}{
		"ready": {AppendReady(nil), "5a 00000005 49"},
		"error without a detail": {
			AppendError(nil, "ERROR", "42601", "no", ""),
			"45 0000001e 53 4552524f5200 56 4552524f5200 43 343236303100 4d 6e6f00 00",
		},
		"error with a detail": {
			AppendError(nil, "FATAL", "53300", "no", "7"),
			"45 00000021 53 464154414c00 56 464154414c00 43 353333303000 4d 6e6f00 44 3700 00",
		},
		"failure": {
			AppendFailure(nil, "42601", "no"),
			"45 0000001e 53 4552524f5200 56 4552524f5200 43 343236303100 4d 6e6f00 00 5a 00000005 49",
		},
		"rejection": {
			AppendRejection(nil, 1500*time.Microsecond), // rounded up to 2 ms
			"45 00000042 53 4552524f5200 56 4552524f5200 43 353333303000" +
				"4d 726566757365643a206e6f7468696e67207761732072756e2c2074727920616761696e00 44 3200 00 5a 00000005 49",
		},
		"parameter": {AppendParameter(nil, "mode", "ro"), "53 0000000c 6d6f646500 726f00"},
		"value": {
			AppendValue(nil, "ab"),
			"54 0000001c 0001 76616c00 00000000 0000 00000011 ffff ffffffff 0001" +
				"44 0000000c 0001 00000002 6162 43 0000000d 53454c454354203100 5a 00000005 49",
		},
		"complete": {AppendComplete(nil, " set x = 1"), "43 00000008 53455400"},
		"query":    {AppendQuery(nil, "SELECT", " 1"), "51 0000000d 53454c454354203100"},
		"startup": {
			AppendStartup(nil, "u", "d"),
			"0000001b 00030000 7573657200 7500 646174616261736500 6400 00",
		},
		"query with a wait": {query.AppendWithWait(nil, 1999*time.Microsecond), "51 0000002d" +
			hex.EncodeToString([]byte("SELECT 1 /* id=a,c=read,d=1,cluster=3 */")) + "00"},
		"query without time left": {query.AppendWithWait(nil, -time.Second), "51 0000002d" +
			hex.EncodeToString([]byte("SELECT 1 /* id=a,c=read,d=1,cluster=3 */")) + "00"},
		"after other bytes": {AppendQuery([]byte("ab"), "c"), "6162 51 00000006 6300"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, unhex(t, test.want), string(test.got))
		})
	}
}
