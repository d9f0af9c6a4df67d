package testbed

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
)

// AnswerTimeout is a client's deadline that is long enough for any answer that comes at all.
const AnswerTimeout = time.Second

// WithLongDialTimeout lets connections to databases take as long to come up as a test wants, with attempts that the
// site lets be cancelled or not.
func WithLongDialTimeout(cancel bool) Option {
	return func(b *Bed) {
		b.Settings = strings.Replace(b.Settings, `"cancel":true,"connectTimeoutMs":250`,
			fmt.Sprintf(`"cancel":%v,"connectTimeoutMs":%d`, cancel, (10*Timeout).Milliseconds()), 1)
	}
}

// Pause stops the program, and returns when the system has. What is sent to it until resume is called stays unread in
// the kernel.
func (b *Bed) Pause() (resume func()) {
	b.T.Helper()
	b.Signal(syscall.SIGSTOP)
	b.Eventually(func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", b.Process().Pid))
		require.NoError(b.T, err)
		_, state, _ := strings.Cut(string(stat), ") ")
		return strings.HasPrefix(state, "T")
	}, "it stands still")
	return func() { b.Signal(syscall.SIGCONT) }
}

// Pass lets real time pass, counted by the clock that the program reads.
func Pass(span time.Duration) {
	for begun := time.Now(); time.Since(begun) < span; {
		time.Sleep(time.Millisecond)
	}
}

// Sent counts the statements with a text in them that reached the databases.
func (b *Bed) Sent(text string) (count int) {
	for _, database := range b.Databases {
		count += strings.Count(strings.Join(database.Statements(), "\n"), text)
	}
	return count
}

// StatementCount counts the statements that reached the databases, health checks left out.
func (b *Bed) StatementCount() (count int) {
	for _, database := range b.Databases {
		count += len(database.Statements())
	}
	return count
}

// ReleaseDatabases lets all databases serve the statements that wait for it, and those to come.
func (b *Bed) ReleaseDatabases() {
	for _, database := range b.Databases {
		database.Release()
	}
}

// CutDatabases closes all connections of all databases.
func (b *Bed) CutDatabases() {
	for _, database := range b.Databases {
		database.Cut()
	}
}

// StartupAndQuery is the startup message and a statement behind it, as a client sends them that does not wait.
func StartupAndQuery(sql string) []byte {
	return pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), sql)
}

// ReadToEnd reads what the program sends up to its end of a connection, which must come, and without a reset.
func ReadToEnd(t *testing.T, connection net.Conn) []byte {
	t.Helper()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(Timeout)))
	rest, err := io.ReadAll(connection)
	require.NoError(t, err, "an end and no reset")
	return rest
}

// RequireEnd requires that the program has ended its side of a connection, and sent nothing more before.
func RequireEnd(t *testing.T, connection net.Conn) {
	t.Helper()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(Timeout)))
	_, err := connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "an end and no reset")
}
