package pg

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Messages and replies of sessions, with the bytes that the protocol's documentation specifies.
var (
	startupMessage = untyped("\x00\x03\x00\x00user\x00ann\x00database\x00shop\x00application_name\x00cart\x00\x00")
	sslRequest     = untyped("\x04\xd2\x16\x2f")
	gssRequest     = untyped("\x04\xd2\x16\x30")
	cancelRequest  = untyped("\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02")

	readyReply   = packet('Z', "I")
	startupReply = packet('R', "\x00\x00\x00\x00") +
		packet('S', "server_version\x0016.0\x00") +
		packet('S', "client_encoding\x00UTF8\x00") +
		packet('S', "standard_conforming_strings\x00on\x00") + readyReply
)

const sessionLimit = 64 // maximum length of a message, in bytes

// errorReply returns an ErrorResponse. It does not use the functions under test.
func errorReply(severity, code, text string) string {
	return packet('E', "S"+severity+"\x00V"+severity+"\x00C"+code+"\x00M"+text+"\x00\x00")
}

// fatal returns the command of a session that ends with an error.
func fatal(code, text string) Command {
	return Command{Reply: []byte(errorReply("FATAL", code, text)), Close: true, RejectReason: text}
}

// answer returns a command that is answered without a database.
func answer(reply string) Command { return Command{Reply: []byte(reply)} }

// commands returns all commands that a session has ready.
func commands(session *Session) []Command {
	var all []Command
	for {
		command, ok := session.Next()
		if !ok {
			return all
		}
		all = append(all, command)
	}
}

var sessionStartups = map[string]struct {
	input string
	want  []Command
	state sessionState
}{
	"nothing":         {"", nil, sessionStarting},
	"startup message": {startupMessage, []Command{answer(startupReply)}, sessionReady},
	"startup without parameters": {
		untyped("\x00\x03\x00\x00\x00"), []Command{answer(startupReply)}, sessionReady,
	},
	"later minor version": {
		untyped("\x00\x03\x00\x02\x00"), []Command{answer(startupReply)}, sessionReady,
	},
	"SSL, then startup": {
		sslRequest + startupMessage, []Command{answer("N"), answer(startupReply)}, sessionReady,
	},
	"GSS, then SSL": {gssRequest + sslRequest, []Command{answer("N"), answer("N")}, sessionStarting},
	"cancel":        {cancelRequest, []Command{{Close: true}}, sessionClosedAtStartup},
	"cancel, then startup": {
		cancelRequest + startupMessage, []Command{{Close: true}}, sessionClosedAtStartup,
	},
	"part of the length":  {startupMessage[:3], nil, sessionStarting},
	"part of the message": {startupMessage[:len(startupMessage)-1], nil, sessionStarting},
	"older version": {
		untyped("\x00\x02\x00\x00\x00"),
		[]Command{fatal("0A000", "protocol version not supported")},
		sessionClosedAtStartup,
	},
	"body without a code": {
		untyped("\x00\x03\x00"), []Command{fatal("08P01", "startup message too short")}, sessionClosedAtStartup,
	},
	"body without parameters or an end": {
		untyped("\x00\x03\x00\x00"), []Command{fatal("08P01", "malformed startup message")}, sessionClosedAtStartup,
	},
	"parameters without an end": {
		untyped("\x00\x03\x00\x00user\x00ann"),
		[]Command{fatal("08P01", "malformed startup message")},
		sessionClosedAtStartup,
	},
	"longest message": {
		untyped("\x00\x03\x00\x00" + strings.Repeat("\x00", sessionLimit-8)),
		[]Command{answer(startupReply)},
		sessionReady,
	},
	"too long": {
		"\x00\x00\x00\x41", []Command{fatal("54000", "message too long")}, sessionClosedAtStartup,
	},
	"length without itself": {
		"\x00\x00\x00\x03", []Command{fatal("54000", "message too long")}, sessionClosedAtStartup,
	},
	"length over 31 bits": {
		"\xff\xff\xff\xff", []Command{fatal("54000", "message too long")}, sessionClosedAtStartup,
	},
}

// A session answers each message of the startup phase or ends with an error, and reaches the expected state.
func TestSessionAnswersStartup(t *testing.T) {
	for name, test := range sessionStartups {
		t.Run(name, func(t *testing.T) {
			session := NewSession(sessionLimit)
			session.Feed([]byte(test.input))
			require.Equal(t, test.want, commands(session))
			require.Equal(t, test.state, session.state, session.state.String())
			require.Equal(t, test.state == sessionReady, session.Started())
		})
	}
}

// A session stores the user, database and application of the startup message, each truncated to the length of a name.
func TestSessionStoresStartupParameters(t *testing.T) {
	long := strings.Repeat("n", 64)
	cases := map[string]struct {
		parameters                  string
		user, database, application string
	}{
		"all": {
			"user\x00ann\x00database\x00shop\x00application_name\x00cart\x00\x00", "ann", "shop", "cart",
		},
		"unknown skipped":       {"options\x00-c x\x00user\x00ann\x00\x00", "ann", "", ""},
		"last one counts":       {"user\x00ann\x00user\x00bea\x00\x00", "bea", "", ""},
		"empty value":           {"user\x00\x00database\x00shop\x00\x00", "", "shop", ""},
		"empty name ends":       {"user\x00ann\x00\x00database\x00shop\x00\x00", "ann", "", ""},
		"longest name":          {"user\x00" + long[:63] + "\x00\x00", long[:63], "", ""},
		"truncated to 63 bytes": {"user\x00" + long + "\x00database\x00shop\x00\x00", long[:63], "shop", ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			session := NewSession(1 << 10)
			session.Feed([]byte(untyped("\x00\x03\x00\x00" + test.parameters)))
			require.Equal(t, []Command{answer(startupReply)}, commands(session))
			require.Equal(t, test.user, session.User)
			require.Equal(t, test.database, session.Database)
			require.Equal(t, test.application, session.Application)
		})
	}
}

const notSupported = "the extended query protocol is not supported"

var (
	extended = Command{Reply: []byte(errorReply("ERROR", "0A000", notSupported)), RejectReason: notSupported}
	call     = Command{
		Reply:        []byte(errorReply("ERROR", "0A000", "function calls are not supported") + readyReply),
		RejectReason: "function calls are not supported",
	}

	query = packet('Q', "SELECT 1\x00")
	sync  = packet('S', "")
	parse = packet('P', "\x00SELECT 1\x00\x00\x00")
)

var sessionMessages = map[string]struct {
	input string
	want  []Command
	state sessionState
}{
	"query":       {query, []Command{{Query: "SELECT 1"}}, sessionReady},
	"two queries": {query + query, []Command{{Query: "SELECT 1"}, {Query: "SELECT 1"}}, sessionReady},
	"empty query": {
		packet('Q', " \t\r\n;;\x00"), []Command{answer(packet('I', "") + readyReply)}, sessionReady,
	},
	"sync alone": {sync, []Command{answer(readyReply)}, sessionReady},
	"flush and copying": {
		packet('H', "") + packet('d', "x") + packet('c', "") + packet('f', "x\x00"), nil, sessionReady,
	},
	"function call": {packet('F', "x") + query, []Command{call, {Query: "SELECT 1"}}, sessionReady},
	"terminate":     {packet('X', "") + query, []Command{{Close: true}}, sessionClosed},
	"parse":         {parse, []Command{extended}, sessionSkipping},
	"bind":          {packet('B', ""), []Command{extended}, sessionSkipping},
	"describe":      {packet('D', "S\x00"), []Command{extended}, sessionSkipping},
	"execute":       {packet('E', "\x00\x00\x00\x00\x00"), []Command{extended}, sessionSkipping},
	"close":         {packet('C', "S\x00"), []Command{extended}, sessionSkipping},
	"one error for an extended query": {
		parse + packet('B', "") + packet('D', "") + packet('E', ""), []Command{extended}, sessionSkipping,
	},
	"query before Sync": {parse + query, []Command{extended}, sessionSkipping},
	"query after Sync": {
		parse + query + sync + query, []Command{extended, answer(readyReply), {Query: "SELECT 1"}}, sessionReady,
	},
	"extended query again after Sync": {
		parse + sync + parse, []Command{extended, answer(readyReply), extended}, sessionSkipping,
	},
	"function call before Sync": {parse + packet('F', ""), []Command{extended, call}, sessionSkipping},
	"terminate before Sync":     {parse + packet('X', ""), []Command{extended, {Close: true}}, sessionClosed},
	"unknown type": {
		packet('p', "secret\x00") + query, []Command{fatal("08P01", "unknown message type")}, sessionClosed,
	},
	"query without an end": {
		packet('Q', "SELECT 1"), []Command{fatal("08P01", "malformed query message")}, sessionClosed,
	},
	"query of two texts": {
		packet('Q', "a\x00b\x00"), []Command{fatal("08P01", "malformed query message")}, sessionClosed,
	},
	"query without a body": {
		packet('Q', ""), []Command{fatal("08P01", "malformed query message")}, sessionClosed,
	},
	"longest query": {
		packet('Q', strings.Repeat("x", sessionLimit-5)+"\x00"),
		[]Command{{Query: strings.Repeat("x", sessionLimit-5)}},
		sessionReady,
	},
	"too long":              {"Q\x00\x00\x00\x41", []Command{fatal("54000", "message too long")}, sessionClosed},
	"length without itself": {"Q\x00\x00\x00\x03", []Command{fatal("54000", "message too long")}, sessionClosed},
	"part of the header":    {"Q\x00\x00\x00", nil, sessionReady},
}

// After startup a session returns the commands of the simple query protocol and rejects the extended query protocol,
// function calls and invalid messages.
func TestSessionAcceptsSimpleQueriesOnly(t *testing.T) {
	for name, test := range sessionMessages {
		t.Run(name, func(t *testing.T) {
			session := NewSession(sessionLimit)
			session.SkipStartup()
			session.Feed([]byte(test.input))
			require.Equal(t, test.want, commands(session))
			require.Equal(t, test.state, session.state, session.state.String())
			require.True(t, session.Started())
		})
	}
}

// The commands of pipelined messages do not depend on how the bytes are split.
func TestSessionCommandsDoNotDependOnSplit(t *testing.T) {
	input := sslRequest + startupMessage + packet('Q', "SELECT 1\x00") + packet('P', "") + packet('Q', "SELECT 2\x00") +
		packet('S', "") + packet('Q', ";\x00") + packet('Q', "SELECT 3\x00") + packet('X', "")
	whole := NewSession(sessionLimit)
	whole.Feed([]byte(input))
	want := commands(whole)
	require.Len(t, want, 8)
	require.Equal(t, Command{Query: "SELECT 3"}, want[6])
	for size := 1; size < len(input); size++ {
		session := NewSession(sessionLimit)
		var got []Command
		for rest := input; rest != ""; {
			piece := rest[:min(size, len(rest))]
			rest = rest[len(piece):]
			session.Feed([]byte(piece))
			got = append(got, commands(session)...)
		}
		require.Equal(t, want, got, "pieces of %d bytes", size)
	}
}

// Buffered counts the bytes that Next has not read yet. Fatal drops them, and Next returns no command after it.
func TestFatalDropsBufferedBytes(t *testing.T) {
	session := NewSession(sessionLimit)
	require.Zero(t, session.Buffered())
	session.Feed([]byte(startupMessage + "Q\x00"))
	require.Equal(t, len(startupMessage)+2, session.Buffered())
	_, ok := session.Next()
	require.True(t, ok)
	require.Equal(t, 2, session.Buffered())
	require.Equal(t, fatal("57P01", "ends"), session.Fatal("57P01", "ends"))
	require.Zero(t, session.Buffered())
	require.True(t, session.Started())
	session.Feed([]byte(packet('Q', "SELECT 1\x00")))
	_, ok = session.Next()
	require.False(t, ok)
}

// Each transition leads from each state to the listed state, and no transition leaves a closed state.
func TestSessionStateTransitions(t *testing.T) {
	cases := map[sessionState]struct {
		start, skip, sync, end sessionState
	}{
		sessionStarting: {sessionReady, sessionStarting, sessionStarting, sessionClosedAtStartup},
		sessionReady:    {sessionReady, sessionSkipping, sessionReady, sessionClosed},
		sessionSkipping: {sessionSkipping, sessionSkipping, sessionReady, sessionClosed},
		sessionClosed:   {sessionClosed, sessionClosed, sessionClosed, sessionClosed},
		sessionClosedAtStartup: {
			sessionClosedAtStartup, sessionClosedAtStartup, sessionClosedAtStartup, sessionClosedAtStartup,
		},
	}
	after := func(state sessionState, transition func(*sessionState)) sessionState {
		transition(&state)
		return state
	}
	for state, want := range cases {
		t.Run(state.String(), func(t *testing.T) {
			require.Equal(t, want.start, after(state, (*sessionState).start))
			require.Equal(t, want.skip, after(state, (*sessionState).skip))
			require.Equal(t, want.sync, after(state, (*sessionState).sync))
			require.Equal(t, want.end, after(state, (*sessionState).end))
		})
	}
	require.Equal(t, "session state 5", sessionState(5).String())
}
