package frontend_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
)

// A statement with an invalid comment is answered with an error that names its fault, and the connection stays open.
func TestInvalidStatementsAreRejected(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	good := bed.Statement("read", "a", testbed.AnswerTimeout)
	with := func(old, replacement string) string { return strings.Replace(good, old, replacement, 1) }
	for name, test := range map[string]struct{ sql, code string }{
		"no comment":                      {"SELECT 1", pg.CodeSyntax},
		"unknown class":                   {with("c=read", "c=none"), pg.CodeBadValue},
		"unknown group":                   {with("cluster=3", "cluster=9"), pg.CodeBadValue},
		"no group":                        {with(",cluster=3", ""), pg.CodeBadValue},
		"a group that is not a number":    {with("cluster=3", "cluster=x"), pg.CodeSyntax},
		"a deadline of zero":              {with("d=1000", "d=0"), pg.CodeSyntax},
		"a deadline out of range":         {with("d=1000", "d=99999999999999"), pg.CodeSyntax},
		"no id":                           {with("id=", "ix="), pg.CodeSyntax},
		"a comment without an end":        {with("*/", ""), pg.CodeSyntax},
		"one star for both ends":          {"SELECT 1 /*/", pg.CodeSyntax},
		"a position that is not a number": {with("cluster=3", "cluster=3,after=-"), pg.CodeSyntax},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.code, client.Ask(test.sql).Code, test.sql)
		})
	}
	require.True(t, client.Ask("SET x = 1").Complete)
	require.True(t, client.Ask(bed.Statement("read", "a", testbed.AnswerTimeout)).Complete)
}

// A second request with the ID of an open one, and messages of the extended query protocol, are answered with an error,
// and the connection stays open. A statement with a 64 KiB value, written as 128 KiB of hex, is served.
func TestUnsupportedCommandsKeepConnectionOpen(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	twice := testbed.Query(bed.Statement("write", "hang", testbed.AnswerTimeout))
	client.Send(append(twice, twice...))
	require.Equal(t, pg.CodeQueryCanceled, client.Next().Code)
	require.Equal(t, pg.CodeBadValue, client.Next().Code, "the ID belongs to an open request")
	// Parse, Bind, Sync
	client.Send([]byte("P\x00\x00\x00\x08\x00\x00\x00\x00B\x00\x00\x00\x04S\x00\x00\x00\x04"))
	require.Equal(t, pg.CodeUnsupported, client.Next().Code)
	long := bed.Statement("write", strings.Repeat("x", 128<<10), testbed.AnswerTimeout)
	require.True(t, client.Ask(long).Complete)
	require.True(t, client.Ask(bed.Statement("read", "a", testbed.AnswerTimeout)).Complete)
}

// Bytes that are not a message of the protocol, a message that is too long, and a message that stays incomplete are
// answered with a fatal error, and the connection is closed. Other clients are still served.
func TestMalformedMessagesCloseConnection(t *testing.T) {
	bed := testbed.Start(t)
	client := bed.Client()
	start := string(pg.AppendStartup(nil, "client", "core"))
	for name, bytes := range map[string]string{
		"a startup message that is too long":  "\xff\xff\xff\xff",
		"a startup message that is too short": "\x00\x00\x00\x04",
		"an old version of the protocol":      "\x00\x00\x00\x08\x00\x02\x00\x00",
		"a query that is too long":            start + "Q\x7f\xff\xff\xff",
		"a query without a terminator":        start + "Q\x00\x00\x00\x05x",
		"an unknown message type":             start + "!\x00\x00\x00\x04",
		"half a query":                        start + "Q\x00\x00\x00\x20half",
	} {
		t.Run(name, func(t *testing.T) {
			connection := bed.Dial()
			_, err := connection.Write([]byte(bytes))
			require.NoError(t, err)
			require.Contains(t, string(testbed.ReadToEnd(t, connection)), "FATAL")
		})
	}
	require.True(t, client.Ask(bed.Statement("read", "a", testbed.AnswerTimeout)).Complete)
}
