package agent_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// Times of the statements that load sends.
const (
	loadDeadline = time.Second
	loadTimeout  = 2 * time.Second // for which a client waits for an answer
)

// loadClasses holds the classes of the statements that load sends, in turn.
var loadClasses = []string{"read", "report", "write"}

// statement returns a statement whose key begins with the name of the pooler that it is sent to. The databases identify
// the sender by this name.
func statement(pooler, key string, number int, class string, deadline time.Duration) string {
	const format = "SELECT val FROM state WHERE uid = '%s' /* id=%s%08x,c=%s,d=%d,cluster=3 */"
	return fmt.Sprintf(format, pooler+key, pooler[1:], number, class, deadline.Milliseconds())
}

// senderOf returns the pooler that sent a statement to a database.
func senderOf(sql string) string {
	_, key, _ := strings.Cut(sql, "'")
	key, _, _ = strings.Cut(key, "'")
	sender, _, _ := strings.Cut(key, " ")
	return sender
}

// load sends one statement after the other to each pooler, until the returned function is called.
func (f *fleet) load() (end func()) {
	var over atomic.Bool
	var clients sync.WaitGroup
	for _, name := range f.Names {
		bed := f.Beds[name]
		clients.Go(func() {
			for number := 0; !over.Load(); number++ {
				sql := statement(name, "", number, loadClasses[number%len(loadClasses)], loadDeadline)
				if _, answered := bed.Try(sql, loadTimeout); !answered {
					time.Sleep(testbed.PollInterval) // the pooler is down or stopped
				}
			}
		})
	}
	return func() {
		over.Store(true)
		clients.Wait()
	}
}

// awaitStatements waits until the databases have received a number of further statements. It replaces a wait for a
// fixed time, which would be too short on a slow machine.
func (f *fleet) awaitStatements(more int) {
	f.T.Helper()
	received := func() int {
		count := 0
		for _, database := range f.databases() {
			count += len(database.Statements())
		}
		return count
	}
	target := received() + more
	f.eventually(func() bool { return received() >= target }, "clients are served")
}

// heldWord marks statements that databases do not answer before they are released, see testbed.Database.
const heldWord = "hold"

// sendHeldReport sends a report through a pooler. The database does not answer it before it is released.
func (f *fleet) sendHeldReport(at string, client *testbed.Client) {
	f.T.Helper()
	client.Send(testbed.Query(f.Beds[at].Statement("report", at+" "+heldWord, heldReportTimeout)))
}

// hasHeldReport reports whether a database has received a report that it does not answer before it is released.
func (f *fleet) hasHeldReport(name string) bool {
	for _, sql := range f.database(name).Statements() {
		if strings.Contains(sql, heldWord) {
			return true
		}
	}
	return false
}

// requireNoViolation checks that no rule was violated, and returns how many requests of blind poolers reached machines
// in maintenance.
func (f *fleet) requireNoViolation(calls []hookCall) (blind int) {
	f.T.Helper()
	blind, violation := f.violation(calls)
	require.Empty(f.T, violation)
	return blind
}

// violation returns the first violation of a rule that the logs of the databases and the hook show, and empty if there
// is none. The rules: only requests of blind poolers reach a machine in maintenance, no two machines are in maintenance
// at once, and the hook runs under one fencing number for each machine. blind counts the requests of blind poolers.
func (f *fleet) violation(calls []hookCall) (blind int, violation string) {
	numbers := map[string]string{}
	for i, call := range calls {
		if !call.ended() {
			call.end = call.begin
		}
		if first := numbers[call.machine]; first != "" && first != call.number {
			const format = "the hook of %s ran under the numbers %s and %s"
			return 0, fmt.Sprintf(format, call.machine, first, call.number)
		}
		numbers[call.machine] = call.number
		for _, earlier := range calls[:i] {
			if overlap(call, earlier) {
				return 0, fmt.Sprintf("%s and %s were in maintenance at once", call.machine, earlier.machine)
			}
		}
		for _, sql := range f.database(call.machine).Between(call.begin, call.end) {
			sender := senderOf(sql)
			if !f.wasBlind(sender) {
				const format = "%s sent to %s while it was in maintenance: %s"
				return 0, fmt.Sprintf(format, sender, call.machine, sql)
			}
			blind++
		}
	}
	return blind, ""
}

// overlap reports whether two machines were in maintenance at once.
func overlap(call, earlier hookCall) bool {
	return call.machine != earlier.machine && call.begin.Before(earlier.end) && earlier.begin.Before(call.end)
}
