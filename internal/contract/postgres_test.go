package contract_test

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startup is a client's startup message.
func startup(parameters string) string {
	body := "\x00\x03\x00\x00" + parameters + "\x00"
	return string(u32(uint32(len(body)+4))) + body
}

func query(sql string) string { return message('Q', sql+"\x00") }

// ask is a query with a comment that routes it.
func ask(id, class, word string, wait int) string {
	const sql = "SELECT val FROM state WHERE uid = '%s' /* id=%s,c=%s,d=%d,cluster=3 */"
	return query(fmt.Sprintf(sql, word, id, class, wait))
}

const longEnough = 5000 // milliseconds

// scripted are what clients send, each on a connection of its own. Bytes are read until as many ReadyForQuery have
// come, or to the connection's end where ready is negative.
var scripted = []struct {
	name  string
	sent  string
	ready int
}{
	{"startup", startup("user\x00client\x00database\x00core\x00"), 1},
	{"a startup of another version", "\x00\x00\x00\x08\x00\x02\x00\x00", -1},
	{"a startup that is malformed", "\x00\x00\x00\x09\x00\x03\x00\x00x", -1},
	{"a startup that is too short", "\x00\x00\x00\x04", -1},
	{"a startup that is too long", "\x7f\xff\xff\xff\x00\x03\x00\x00", -1},
	{"encryption, then startup", "\x00\x00\x00\x08\x04\xd2\x16\x2f" + startup("user\x00client\x00"), 1},
	{"GSS, then startup", "\x00\x00\x00\x08\x04\xd2\x16\x30" + startup("user\x00client\x00"), 1},
	{"cancel", "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02", -1},
	{"a read that is served", started + ask("00000001", "report", "a", longEnough), 2},
	{"a write that is served", started + ask("00000002", "write", "a", longEnough), 2},
	{"a session", started + query("SELECT 1 /* id=0000000a,c=report,d=5000,cluster=3,key=k,after=1 */"), 2},
	{"a read that is refused", started + ask("00000003", "report", "full", 1000), 2},
	{"a write that is refused", started + ask("00000004", "write", "full", 1000), 2},
	{"a write that fails", started + ask("00000005", "write", "fail", longEnough), 2},
	{"a statement that no database can use", started + ask("00000006", "report", "unusable", longEnough), 2},
	{"no answer in time", started + ask("00000007", "write", "hang", 1000), 2},
	{"a long answer", started + ask("00000008", "report", "long", longEnough), 2},
	{"a group that is not there", started + query("SELECT 1 /* id=00000009,c=report,d=300,cluster=9 */"), 2},
	{"a pipeline", started + ask("00000011", "report", "a", longEnough) + ask("00000012", "write", "fail", longEnough) +
		query("SET a = 1") + ask("00000013", "report", "b", longEnough) + query(""), 6},
	{"no comment", started + query("SELECT 1"), 2},
	{"a comment without a class", started + query("SELECT 1 /* id=1,d=100,cluster=3 */"), 2},
	{"a class that is not known", started + ask("00000021", "odd", "a", longEnough), 2},
	{"a deadline that is none", started + query("SELECT 1 /* id=1,c=read,d=0,cluster=3 */"), 2},
	{"a group that is no number", started + query("SELECT 1 /* id=1,c=read,d=100,cluster=x */"), 2},
	{"no group", started + query("SELECT 1 /* id=1,c=read,d=100 */"), 2},
	{"a position that is none", started + query("SELECT 1 /* id=1,c=read,d=100,cluster=3,after=x */"), 2},
	{"the connection's own state", started + query("SET a = 1") + query("RESET ALL") + query("discard all;"), 4},
	{"an empty query", started + query(" ; "), 2},
	{"the extended protocol", started + message('P', "\x00SELECT 1\x00\x00\x00") +
		message('B', "\x00\x00\x00\x00\x00\x00\x00\x00") + message('E', "\x00\x00\x00\x00\x00") + message('S', ""), 2},
	{"a function call", started + message('F', "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"), 2},
	{"flush and copy", started + message('H', "") + message('d', "x") + message('c', "") + message('f', "x\x00") +
		query(""), 2},
	{"a message of an unknown type", started + message('!', ""), -1},
	{"a query without an end", started + message('Q', "SELECT 1"), -1},
	{"a message that is too long", started + "Q\x7f\xff\xff\xff", -1},
	{"a message whose length is too short", started + "Q\x00\x00\x00\x03", -1},
	{"terminate", started + message('X', ""), -1},
}

var started = startup("user\x00client\x00database\x00core\x00")

// What clients get and what databases are sent, byte for byte, for a fixed script. Masked are the time left that
// databases are told (d=), and the time to come back (field D of 53300): both depend on the clock.
func TestPostgresWire(t *testing.T) {
	t.Parallel()
	database := newStandIn(t, "db-0", true)
	p := startPooler(t, "n0", t.TempDir(), newCatalog(t, database), func() string { return "" })
	var all strings.Builder
	for _, c := range scripted {
		got := converse(t, p.listen, c.sent, c.ready)
		fmt.Fprintf(&all, "# %s\n", c.name)
		for _, part := range messagesOf(c.sent, false) {
			fmt.Fprintf(&all, "client > %s\n", quoted(part))
		}
		for _, part := range database.received() {
			fmt.Fprintf(&all, "database < %s\n", quoted(part))
		}
		for _, part := range messagesOf(got, true) {
			fmt.Fprintf(&all, "client < %s\n", quoted(part))
		}
		if c.ready < 0 {
			all.WriteString("client < (end)\n")
		}
	}
	probed := func() bool {
		database.mu.Lock()
		defer database.mu.Unlock()
		return len(database.probes) > 0
	}
	eventually(t, probed, "a probe")
	database.mu.Lock()
	defer database.mu.Unlock()
	fmt.Fprintf(&all, "# each connection to a database, and each probe\n")
	for _, startup := range database.startups {
		require.Equal(t, database.startups[0], startup)
	}
	for _, probe := range database.probes {
		require.Equal(t, database.probes[0], probe)
	}
	fmt.Fprintf(&all, "database < %s\ndatabase < %s\n", quoted(database.startups[0]), quoted(database.probes[0]))
	golden(t, "fronts/postgres.txt", all.String())
}

var (
	timeLeft  = regexp.MustCompile(`,d=\d+,`)
	timeBack  = regexp.MustCompile(`(C53300\x00M[^\x00]*\x00)D\d+\x00`)
	shownMost = 300 // bytes of a message; longer ones are shown by length and hash
)

// quoted shows a message. The length of one with a masked time is masked too.
func quoted(m string) string {
	if timeBack.MatchString(m) {
		m = "E" + "LENG" + timeBack.ReplaceAllString(m[5:], "${1}DMS\x00")
	}
	if len(m) > shownMost {
		return fmt.Sprintf("%q... %d bytes, sha256 %x", m[:20], len(m), sha256.Sum256([]byte(m)))
	}
	return fmt.Sprintf("%q", m)
}

// converse sends bytes on a new connection and returns what comes back.
func converse(t *testing.T, address, sent string, ready int) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(c, sent)
	require.NoError(t, err)
	var got strings.Builder
	buffer := make([]byte, 64<<10)
	for ready < 0 || strings.Count(got.String(), readyForQuery) < ready {
		n, err := c.Read(buffer)
		got.Write(buffer[:n])
		if ready < 0 && err == io.EOF {
			break
		}
		require.NoError(t, err, "after %q", got.String())
	}
	return got.String()
}

// messagesOf cuts bytes into messages. Those of a client begin with messages that have no type, up to the startup; a
// server's may begin with the one byte that refuses encryption.
func messagesOf(all string, server bool) (messages []string) {
	typed := server
	for all != "" {
		size := len(all)
		switch {
		case server && all[0] == 'N' && (len(all) < 5 || all[1] != 0):
			size = 1
		case typed && len(all) >= 5:
			size = 1 + lengthOf(all[1:])
		case !typed && len(all) >= 4:
			size = lengthOf(all)
			typed = len(all) >= 8 && all[4:8] == "\x00\x03\x00\x00"
		}
		if size < 1 || size > len(all) {
			size = len(all)
		}
		messages = append(messages, all[:size])
		all = all[size:]
	}
	return messages
}

func lengthOf(s string) int { return int(s[0])<<24 | int(s[1])<<16 | int(s[2])<<8 | int(s[3]) }
