package mixed_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/pg"
	"capercove/internal/testbed"
	"capercove/internal/testbed/await"
)

// traffic is what clients send to a pooler, one statement after the other, and what becomes of it.
type traffic struct {
	bed     *testbed.Bed
	stopped atomic.Bool
	clients sync.WaitGroup

	mu       sync.Mutex
	sent     int
	answered int
	refused  int      // of the answered: the pooler lets nobody in, and no database has received them
	lost     []string // statements without an answer, or with an error
}

const (
	trafficClients = 16
	trafficSpan    = 300 // answers between two events of an upgrade
	fewOf          = 20  // one of so many is few
)

// startTraffic starts clients that send until the traffic is stopped.
func startTraffic(bed *testbed.Bed) *traffic {
	sending := &traffic{bed: bed}
	for range trafficClients {
		sending.clients.Go(sending.run)
	}
	bed.T.Cleanup(sending.stop)
	return sending
}

// stop ends the traffic and waits for the clients' last answers.
func (sending *traffic) stop() {
	sending.stopped.Store(true)
	sending.clients.Wait()
}

// run sends statements on a connection, and on another one where the pooler has closed it between two statements.
func (sending *traffic) run() {
	var client *testbed.Client
	for !sending.stopped.Load() {
		sql := sending.next()
		client = sending.send(client, sql)
	}
	if client != nil {
		_ = client.Close() // all its answers were read
	}
}

// next returns a new statement; each class has its turn.
func (sending *traffic) next() string {
	sending.mu.Lock()
	defer sending.mu.Unlock()
	classes := []string{"read", "report", "write"}
	sending.sent++
	return sending.bed.Statement(classes[sending.sent%len(classes)], "a", testbed.Timeout)
}

// send sends a statement and reads its answer, and returns the connection for the next one. A connection that was open
// before may have been closed by a process that ends, and the statement is sent once more on a new one: but only where
// no database has received it.
func (sending *traffic) send(client *testbed.Client, sql string) *testbed.Client {
	if client != nil {
		if sending.ask(client, sql) {
			return client
		}
		_ = client.Close() // the pooler has closed it
		if sending.reached(sql) {
			sending.lose("executed without an answer", sql)
			return nil
		}
	}
	client, started := sending.bed.TryDial(testbed.Timeout)
	if !started {
		sending.lose("no connection", sql)
		return nil
	}
	if !sending.ask(client, sql) {
		_ = client.Close() // it is of no use
		sending.lose("no answer on a new connection", sql)
		return nil
	}
	return client
}

// ask sends a statement and returns whether an answer came.
func (sending *traffic) ask(client *testbed.Client, sql string) (answered bool) {
	if _, err := client.Write(testbed.Query(sql)); err != nil {
		return false
	}
	reply, err := client.TryNext(testbed.Timeout)
	if err != nil {
		return false
	}
	refused := reply.Code == pg.CodeTooManyConnections && !sending.reached(sql)
	if !reply.Complete && !refused {
		sending.lose("SQLSTATE "+reply.Code, sql)
	}
	sending.mu.Lock()
	defer sending.mu.Unlock()
	sending.answered++
	if refused {
		sending.refused++
	}
	return true
}

// lose notes a statement that got no answer, or an error.
func (sending *traffic) lose(reason, sql string) {
	sending.mu.Lock()
	defer sending.mu.Unlock()
	sending.lost = append(sending.lost, fmt.Sprintf("%s: %s", reason, sql))
}

// reached returns whether a database has received a statement.
func (sending *traffic) reached(sql string) bool {
	_, id, _ := strings.Cut(sql, "id=")
	id, _, _ = strings.Cut(id, ",")
	return sending.bed.Sent("id="+id) > 0
}

// awaitAnswers waits until trafficSpan more statements have been answered.
func (sending *traffic) awaitAnswers() {
	sending.bed.T.Helper()
	count := func() int {
		sending.mu.Lock()
		defer sending.mu.Unlock()
		return sending.answered
	}
	target := count() + trafficSpan
	sending.bed.Eventually(func() bool { return count() >= target }, "requests are answered")
}

// While clients send, a process of one build takes over the inherited listener from a process of the other: before,
// beside it, while that one ends and after, each request is answered, and each write that is served is executed once.
// Databases that a process has only just met are spared: some of its first requests may be refused, but few.
func TestUpgradeUnderTraffic(t *testing.T) {
	t.Parallel()
	eachOrder(t, func(t *testing.T, order builds) {
		bed := testbed.Start(t, testbed.WithListener, testbed.WithProgram(order.first))
		waiting := bed.Client()
		waiting.Send(testbed.Query(bed.Statement("report", "hold", testbed.Timeout)))
		bed.Eventually(func() bool { return bed.Sent("hold") == 1 }, "a database holds a request of the first process")
		sending := startTraffic(bed)
		sending.awaitAnswers()
		replaceProgram(bed, order.second)
		end := bed.Upgrade()
		sending.awaitAnswers()
		ended := make(chan error, 1)
		go func() { ended <- end() }()
		sending.awaitAnswers()
		bed.ReleaseDatabases()
		require.True(t, waiting.Next().Complete, "the first process ends once it has answered")
		require.NoError(t, await.Receive(t, ended))
		sending.awaitAnswers()
		sending.stop()
		require.Empty(t, sending.lost)
		require.Equal(t, sending.sent, sending.answered)
		writes := map[string]int{} // how often each was executed
		for _, database := range bed.Databases {
			for _, sql := range database.Statements() {
				if strings.Contains(sql, "c=write") {
					writes[sql]++
				}
			}
		}
		for sql, times := range writes {
			require.Equal(t, 1, times, sql)
		}
		require.Less(t, sending.refused*fewOf, sending.sent)
		t.Logf("%d requests, all answered, %d of them refused", sending.sent, sending.refused)
	})
}
