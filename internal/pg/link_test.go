package pg

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Limits of the links in tests, in bytes.
const (
	linkLimit   = 128
	linkWhole   = 54  // greatest length of a value whose row is not streamed
	linkLongest = 400 // greatest length of a value
)

var (
	authenticated = packet('R', "\x00\x00\x00\x00")
	described     = packet('T', "\x00\x01val\x00"+
		"\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	completed = packet('C', "SELECT 1\x00")
	ready     = packet('Z', "I")
	failed    = packet('E', "SERROR\x00C53300\x00Mfull\x00D40\x00\x00")
	crashed   = packet('E', "SFATAL\x00C57P01\x00Mends\x00\x00")
)

// row returns a DataRow with one column.
func row(value string) string {
	size := len(value)
	return packet('D', "\x00\x01"+string([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})+value)
}

// newTestLink returns a link with small limits. If started, its startup phase is skipped.
func newTestLink(started bool) *Link {
	link := NewLink(linkLimit, linkWhole, linkLongest)
	if started {
		link.SkipStartup()
	}
	return link
}

// A link reads complete and incomplete startup phases. An error or bytes after ReadyForQuery make the reply fatal.
func TestLinkReadsStartup(t *testing.T) {
	cases := map[string]struct {
		input string
		want  Reply
		done  bool
		state linkState
	}{
		"nothing":        {"", Reply{}, false, linkStarting},
		"authentication": {authenticated, Reply{}, false, linkStarting},
		"ready": {
			authenticated + packet('K', "\x00\x00\x00\x01\x00\x00\x00\x02") + ready, Reply{}, true, linkIdle,
		},
		"parameters": {
			authenticated + packet('S', "server_version\x0016.0\x00") + packet('S', "mode\x00rw\x00") +
				packet('S', "wal_time\x001500.75\x00") + packet('S', "stats\x00x1=1\x00") + ready,
			Reply{Mode: "rw", Position: 1500 * time.Millisecond, Stats: "x1=1"},
			true, linkIdle,
		},
		"rejected": {
			packet('E', "SERROR\x00C53300\x00Mfull\x00\x00"),
			Reply{Code: "53300", Message: "full", Fatal: true},
			true,
			linkStarting,
		},
		"bytes after ready": {authenticated + ready + "x", Reply{Fatal: true}, true, linkStarting},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			link := newTestLink(false)
			reply, done, err := link.Feed([]byte(test.input))
			require.NoError(t, err)
			require.Equal(t, test.done, done)
			require.Equal(t, test.want, reply)
			require.Equal(t, test.state, link.state, link.state.String())
		})
	}
}

// answered is the reply with the value "ab".
var answered = Reply{Rows: []byte(described + row("ab") + completed), Complete: true, Value: []byte("ab")}

// with returns a copy of answered to which a change has been applied.
func with(change func(*Reply)) Reply {
	reply := answered
	change(&reply)
	return reply
}

var linkReplies = map[string]struct {
	input string
	want  Reply
}{
	"value": {described + row("ab") + completed + ready, answered},
	"empty value": {described + row("") + completed + ready, with(func(r *Reply) {
		r.Rows, r.Value = []byte(described+row("")+completed), []byte{}
	})},
	"rows at the limit together": {
		described + row(strings.Repeat("x", 54)) + packet('C', strings.Repeat("x", 33)+"\x00") + ready,
		Reply{
			Rows:     []byte(described + row(strings.Repeat("x", 54)) + packet('C', strings.Repeat("x", 33)+"\x00")),
			Complete: true, Value: []byte(strings.Repeat("x", 54)),
		},
	},
	"command without rows": {completed + ready, Reply{Rows: []byte(completed), Complete: true}},
	"empty query":          {packet('I', "") + ready, Reply{Complete: true}},
	"error":                {failed + ready, Reply{Code: "53300", Message: "full", Detail: "40"}},
	"error voids the row": {
		described + row("ab") + failed + ready, Reply{Code: "53300", Message: "full", Detail: "40"},
	},
	"error of unknown fields": {
		packet('E', "C25006\x00P7\x00\x00") + ready, Reply{Code: "25006"},
	},
	"fatal error":             {crashed, Reply{Code: "57P01", Message: "ends", Fatal: true}},
	"fatal error in a result": {described + crashed, Reply{Code: "57P01", Message: "ends", Fatal: true}},
	"panic": {
		packet('E', "SX\x00VPANIC\x00CXX000\x00\x00"), Reply{Code: "XX000", Fatal: true},
	},
	"notices between messages": {
		packet('N', "Mhello\x00\x00") + described + packet('A', "x") + row("ab") + packet('N', "") + completed +
			packet('n', "") + ready,
		answered,
	},
	"parameters in the reply": {
		described + packet('S', "mode\x00ro\x00") + row("ab") + completed + packet('S', "wal_time\x007\x00") + ready,
		with(func(r *Reply) { r.Mode, r.Position = "ro", 7*time.Millisecond }),
	},
	"parameters of an error": {
		failed + packet('S', "mode\x00ro\x00") + ready,
		Reply{Code: "53300", Message: "full", Detail: "40", Mode: "ro"},
	},
	"bytes after the reply": {
		described + row("ab") + completed + ready + "D", with(func(r *Reply) { r.Fatal = true }),
	},
	"a reply after the reply": {
		described + row("ab") + completed + ready + completed + ready, with(func(r *Reply) { r.Fatal = true }),
	},
}

// Feed returns a complete reply with its rows, error and parameters, and whether the connection can be used again.
func TestLinkReturnsCompleteReply(t *testing.T) {
	for name, test := range linkReplies {
		t.Run(name, func(t *testing.T) {
			link := newTestLink(true)
			reply, done, err := link.Feed([]byte(test.input))
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, test.want, reply)
			require.Equal(t, linkIdle, link.state, link.state.String())
			require.Equal(t, Reply{}, link.PartialReply())
			require.Nil(t, link.TakeStreamedBytes())
		})
	}
}

// The replication position is read from wal_time if that is a number within range. Any other text means no position.
func TestLinkIgnoresPositionOutOfRange(t *testing.T) {
	cases := map[string]time.Duration{
		"1":             time.Millisecond,
		"1.9":           time.Millisecond,
		"4398046511103": 4398046511103 * time.Millisecond,
		"4398046511104": 0, // 1 << 42
		"0":             0,
		"-1":            0,
		"NaN":           0,
		"+Inf":          0,
		"":              0,
		"soon":          0,
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			input := packet('S', "wal_time\x00"+text+"\x00") + completed + ready
			reply, done, err := newTestLink(true).Feed([]byte(input))
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, want, reply.Position)
		})
	}
}

const starting, started = false, true

var linkErrors = map[string]struct {
	started bool
	input   string
	want    error
}{
	"result during startup":      {starting, described, ErrUnexpectedMessage},
	"complete during startup":    {starting, completed, ErrUnexpectedMessage},
	"empty query during startup": {starting, packet('I', ""), ErrUnexpectedMessage},
	"long row during startup":    {starting, row(strings.Repeat("x", linkWhole+1)), ErrUnexpectedMessage},
	"authentication requested":   {starting, packet('R', "\x00\x00\x00\x03"), ErrAuthenticationRequested},
	"authentication cut short":   {starting, packet('R', "\x00\x00\x00"), ErrAuthenticationRequested},
	"authentication again":       {started, authenticated, ErrAuthenticationRequested},
	"unknown type":               {started, packet('W', ""), ErrUnexpectedMessage},
	"row without description":    {started, row("a"), ErrUnexpectedMessage},
	"two rows":                   {started, described + row("a") + row("b"), ErrUnexpectedMessage},
	"two descriptions":           {started, described + described, ErrUnexpectedMessage},
	"complete without a row":     {started, described + completed, ErrUnexpectedMessage},
	"complete twice":             {started, completed + completed, ErrUnexpectedMessage},
	"empty query in a result":    {started, described + packet('I', ""), ErrUnexpectedMessage},
	"empty query with a body":    {started, packet('I', "x"), ErrUnexpectedMessage},
	"row after an error":         {started, failed + row("a"), ErrUnexpectedMessage},
	"complete after an error":    {started, failed + completed, ErrUnexpectedMessage},
	"error after an error":       {started, failed + failed, ErrUnexpectedMessage},
	"error after complete":       {started, completed + failed, ErrUnexpectedMessage},
	"error after empty query":    {started, packet('I', "") + failed, ErrUnexpectedMessage},
	"ready without a reply":      {started, ready, ErrMalformedMessage},
	"ready in a result":          {started, described + ready, ErrMalformedMessage},
	"ready before complete":      {started, described + row("a") + ready, ErrMalformedMessage},
	"ready in a transaction":     {started, completed + packet('Z', "T"), ErrMalformedMessage},
	"ready without a status":     {started, completed + packet('Z', ""), ErrMalformedMessage},
	"ready with two":             {started, completed + packet('Z', "II"), ErrMalformedMessage},
	"description of no column":   {started, packet('T', "\x00\x00"), ErrMalformedMessage},
	"description of two columns": {
		started, packet('T', "\x00\x02val\x00"+strings.Repeat("x", 18)), ErrMalformedMessage,
	},
	"description cut short": {
		started, packet('T', "\x00\x01val\x00"+strings.Repeat("x", 17)), ErrMalformedMessage,
	},
	"description without name": {started, packet('T', "\x00\x01val"), ErrMalformedMessage},
	"description without body": {started, packet('T', ""), ErrMalformedMessage},
	"row without body":         {started, described + packet('D', ""), ErrMalformedMessage},
	"row of two columns": {
		started, described + packet('D', "\x00\x02\x00\x00\x00\x01a"), ErrMalformedMessage,
	},
	"row with a null": {
		started, described + packet('D', "\x00\x01\xff\xff\xff\xff"), ErrMalformedMessage,
	},
	"row longer than its value": {
		started, described + packet('D', "\x00\x01\x00\x00\x00\x01ab"), ErrMalformedMessage,
	},
	"tag without an end":         {started, packet('C', "SELECT 1"), ErrMalformedMessage},
	"two tags":                   {started, packet('C', "SELECT 1\x00x\x00"), ErrMalformedMessage},
	"error without body":         {started, packet('E', ""), ErrMalformedMessage},
	"error without an end":       {started, packet('E', "C53300\x00Mx"), ErrMalformedMessage},
	"error without a code":       {started, packet('E', "Mfull\x00\x00"), ErrMalformedMessage},
	"error with bytes behind":    {started, packet('E', "C53300\x00\x00\x00"), ErrMalformedMessage},
	"error field without an end": {started, packet('E', "C53300\x00"), ErrMalformedMessage},
	"parameter without a value":  {started, packet('S', "mode\x00"), ErrMalformedMessage},
	"parameter without an end":   {started, packet('S', "mode\x00ro"), ErrMalformedMessage},
	"parameter with bytes":       {started, packet('S', "mode\x00ro\x00x"), ErrMalformedMessage},
	"too long":                   {started, "S\x00\x00\x00\x81", ErrMessageTooLong},
	"length without itself":      {started, "S\x00\x00\x00\x03", ErrMessageTooLong},
	"rows over the limit together": {
		started, described + row(strings.Repeat("x", 54)) + packet('C', strings.Repeat("x", 34)+"\x00"),
		ErrMessageTooLong,
	},
	"long row without description": {started, row(strings.Repeat("x", linkWhole+1)), ErrUnexpectedMessage},
	"long row after an error":      {started, failed + row(strings.Repeat("x", linkWhole+1)), ErrUnexpectedMessage},
	"long row over the longest": {
		started, described + row(strings.Repeat("x", linkLongest+1)), ErrMessageTooLong,
	},
	"long row of two columns": {
		started, described + "D\x00\x00\x00\x50\x00\x02\x00\x00\x00\x46", ErrMalformedMessage,
	},
	"long row with another length": {
		started, described + "D\x00\x00\x00\x50\x00\x01\x00\x00\x00\x45", ErrMalformedMessage,
	},
}

// Feed returns the error for the fault of a message that is out of order, malformed or too long.
func TestLinkRejectsInvalidMessage(t *testing.T) {
	for name, test := range linkErrors {
		t.Run(name, func(t *testing.T) {
			reply, done, err := newTestLink(test.started).Feed([]byte(test.input))
			require.ErrorIs(t, err, test.want)
			require.False(t, done)
			require.Equal(t, Reply{}, reply)
		})
	}
}

// A link reads consecutive replies, and they do not depend on how their bytes are split.
func TestLinkRepliesDoNotDependOnSplit(t *testing.T) {
	replies := []string{
		authenticated + packet('S', "mode\x00rw\x00") + ready,
		described + row("ab") + completed + ready,
		failed + ready,
		completed + ready,
		crashed,
	}
	want := []Reply{
		{Mode: "rw"},
		{Rows: []byte(described + row("ab") + completed), Complete: true, Value: []byte("ab")},
		{Code: "53300", Message: "full", Detail: "40"},
		{Rows: []byte(completed), Complete: true},
		{Code: "57P01", Message: "ends", Fatal: true},
	}
	for size := 1; size < len(replies[1]); size++ {
		link := newTestLink(false)
		for i, input := range replies {
			for len(input) > size {
				_, done, err := link.Feed([]byte(input[:size]))
				require.NoError(t, err)
				require.False(t, done)
				input = input[size:]
			}
			reply, done, err := link.Feed([]byte(input))
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, want[i], reply, "pieces of %d bytes", size)
		}
	}
}

// PartialReply returns the part of an incomplete reply that has arrived.
func TestPartialReturnsIncompleteReply(t *testing.T) {
	link := newTestLink(true)
	_, done, err := link.Feed([]byte(described + row("ab") + completed))
	require.NoError(t, err)
	require.False(t, done)
	require.Equal(t, Reply{
		Rows: []byte(described + row("ab") + completed), Complete: true, Value: []byte("ab"),
	}, link.PartialReply())
}

// A long row is streamed as it arrives. The first piece begins with the messages before the row, and no piece contains
// the messages after it.
func TestLinkStreamsLongRows(t *testing.T) {
	cases := map[string]struct {
		value    string
		streamed bool
	}{
		"longest that is buffered":  {strings.Repeat("x", linkWhole), false},
		"shortest that is streamed": {strings.Repeat("x", linkWhole+1), true},
		"over the message limit":    {strings.Repeat("x", linkLimit+1), true},
		"longest":                   {strings.Repeat("x", linkLongest), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			input := described + row(test.value) + completed + ready
			rows := described + row(test.value) + completed
			want := Reply{Rows: []byte(rows), Complete: true, Value: []byte(test.value)}
			pieces := ""
			if test.streamed {
				want = Reply{Rows: []byte(completed), Complete: true, Streamed: true}
				pieces = described + row(test.value)
			}
			for size := 1; size <= len(input); size++ {
				reply, got := feedInPieces(t, newTestLink(true), input, size)
				require.Equal(t, want, reply, "pieces of %d bytes", size)
				require.Equal(t, pieces, got, "pieces of %d bytes", size)
			}
		})
	}
}

// feedInPieces feeds a reply in pieces of a size. It returns the reply and all bytes that the link streamed.
func feedInPieces(t *testing.T, link *Link, input string, size int) (Reply, string) {
	t.Helper()
	streamed := ""
	for {
		piece := input[:min(size, len(input))]
		input = input[len(piece):]
		reply, done, err := link.Feed([]byte(piece))
		require.NoError(t, err)
		streamed += string(link.TakeStreamedBytes())
		require.Equal(t, input == "", done)
		if done {
			return reply, streamed
		}
	}
}

// Streaming of a long row begins once the row's header is complete. Piece returns each piece
// once: a second call returns nil.
func TestLinkStreamsFromCompleteRowHeader(t *testing.T) {
	link := newTestLink(true)
	long := row(strings.Repeat("x", linkLimit))
	feed := func(input string) {
		_, done, err := link.Feed([]byte(input))
		require.NoError(t, err)
		require.False(t, done)
	}
	feed(described + long[:10]) // the row's header is not complete
	require.Equal(t, linkDescribed, link.state, link.state.String())
	require.Nil(t, link.TakeStreamedBytes())
	feed(long[10:20])
	require.Equal(t, linkStreaming, link.state, link.state.String())
	require.Equal(t, described+long[:20], string(link.TakeStreamedBytes()))
	require.Equal(t, Reply{Streamed: true}, link.PartialReply())
	feed(long[20:] + completed)
	require.Equal(t, linkComplete, link.state, link.state.String())
	require.Equal(t, long[20:], string(link.TakeStreamedBytes()))
	require.Nil(t, link.TakeStreamedBytes())
}

// Each state accepts exactly the messages that the protocol allows in it.
func TestLinkStatesAcceptAllowedMessagesOnly(t *testing.T) {
	none := linkState(0xff)
	const types = "ZTDCIE"
	cases := map[linkState][len(types)]linkState{
		linkStarting:  {linkIdle, none, none, none, none, linkStarting},
		linkIdle:      {none, linkDescribed, none, linkComplete, linkComplete, linkFailed},
		linkDescribed: {none, none, linkRow, none, none, linkFailed},
		linkStreaming: {none, none, none, none, none, none},
		linkRow:       {none, none, none, linkComplete, none, linkFailed},
		linkComplete:  {linkIdle, none, none, none, none, none},
		linkFailed:    {linkIdle, none, none, none, none, none},
	}
	for state, after := range cases {
		t.Run(state.String(), func(t *testing.T) {
			for i, want := range after {
				next, allowed := state.after(messageType(types[i]))
				require.Equal(t, want != none, allowed, "%s, then %c", state, types[i])
				if allowed {
					require.Equal(t, want, next, "%s, then %c", state, types[i])
				}
			}
			_, allowed := state.after(backendNoticeResponse)
			require.False(t, allowed)
		})
	}
	require.Equal(t, "link state 7", linkState(7).String())
}
