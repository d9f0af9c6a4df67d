package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/discovery"
	"capercove/internal/limits"
	"capercove/internal/testbed/loopback"
)

// eventTimeout is the time within which an expected event must happen, even on a busy machine.
const eventTimeout = 20 * time.Second

// service is a discovery service that the test controls: each request waits until the test answers it.
type service struct {
	t        *testing.T
	addr     string
	requests chan *request
}

// request is one request that the service has received from a watch.
type request struct {
	net.Conn
	t    *testing.T
	path string
}

func newService(t *testing.T) *service {
	t.Helper()
	listener := loopback.Listen(t)
	created := &service{t: t, addr: listener.Addr().String(), requests: make(chan *request, 16)}
	go loopback.Accept(listener, created.receive)
	return created
}

// receive reads one request from a connection.
func (s *service) receive(connection net.Conn) {
	parsed, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		_ = connection.Close()
		return
	}
	s.t.Cleanup(func() { _ = connection.Close() }) // the test may have closed it
	s.requests <- &request{connection, s.t, parsed.URL.RequestURI()}
}

// next returns the next request.
func (s *service) next() *request {
	s.t.Helper()
	select {
	case received := <-s.requests:
		return received
	case <-time.After(eventTimeout):
		require.FailNow(s.t, "no request")
		return nil
	}
}

// begin sends the header of an answer without a length, whose body ends with the connection.
func (r *request) begin() *request {
	r.t.Helper()
	return r.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
}

// send sends a part of the answer.
func (r *request) send(text string) *request {
	r.t.Helper()
	_, err := r.Write([]byte(text))
	require.NoError(r.t, err)
	return r
}

// reset ends the connection with a reset.
func (r *request) reset() {
	r.t.Helper()
	require.NoError(r.t, r.Conn.(*net.TCPConn).SetLinger(0))
	require.NoError(r.t, r.Close())
}

// listObject returns a list of databases as JSON, each given as its ID and phase.
func listObject(revision uint64, complete bool, members ...string) string {
	var entries []string
	for _, member := range members {
		id, phase, _ := strings.Cut(member, " ")
		entry := fmt.Sprintf("{\"id\":%q,\"host_port\":\"127.0.0.1:5432\",\n \"phase\":%q}", id, phase)
		entries = append(entries, entry)
	}
	return fmt.Sprintf("{\n \"revision\": %d, \"complete\":%v,\"members\":[%s]}\n",
		revision, complete, strings.Join(entries, ",\n"))
}

// watch is a discovery.Watch that records the lists and failures it reports, in their order.
type watch struct {
	*discovery.Watch
	t       *testing.T
	reports chan report
}

// report is what a watch reports: a list, or a failure.
type report struct {
	list   discovery.List
	failed bool
}

// newWatch returns a watch with a known list of one endpoint at a revision, or with no known list if the revision is 0.
func newWatch(t *testing.T, from *service, known uint64, bounds limits.Discovery, log zerolog.Logger) *watch {
	t.Helper()
	list := discovery.List{Revision: known, Complete: true}
	if known > 0 {
		list.Members = []discovery.Entry{{ID: "a", Addr: "127.0.0.1:5432", Phase: "SERVING"}}
	}
	return watchFrom(t, from, list, bounds, log)
}

// watchFrom returns a watch with a known list.
func watchFrom(
	t *testing.T, from *service, known discovery.List, bounds limits.Discovery, log zerolog.Logger,
) *watch {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	created := &watch{t: t, reports: make(chan report, 16)}
	onList := func(list discovery.List) { created.reports <- report{list: list} }
	onFailure := func() { created.reports <- report{failed: true} }
	created.Watch = discovery.New(ctx, from.addr, known, bounds, log, onList, onFailure)
	return created
}

// next returns the next report.
func (w *watch) next(what string) report {
	w.t.Helper()
	select {
	case reported := <-w.reports:
		return reported
	case <-time.After(eventTimeout):
		require.FailNow(w.t, "the watch reports nothing", what)
		return report{}
	}
}

// requireList returns the next list that the watch reports. The test fails if a failure is reported first.
func (w *watch) requireList() discovery.List {
	w.t.Helper()
	reported := w.next("a list is due")
	require.False(w.t, reported.failed, "the watch reports a failure")
	return reported.list
}

// requireFailure waits until the watch reports a failure. The test fails if a list is reported first.
func (w *watch) requireFailure() {
	w.t.Helper()
	reported := w.next("a failure is due")
	require.True(w.t, reported.failed, "the watch reports a list: %v", reported.list)
}

// wideLimits returns limits that no test reaches unless it lowers them.
func wideLimits() limits.Discovery {
	return limits.Discovery{
		ResponseTimeout: eventTimeout, SilenceTimeout: eventTimeout, MaxListBytes: 1 << 20, MaxMembers: 100,
	}
}

// lineWriter is a log output that calls a function for each line.
type lineWriter struct{ onLine func(line string) }

// Write implements io.Writer.
func (l lineWriter) Write(line []byte) (int, error) {
	l.onLine(string(line))
	return len(line), nil
}

// A move to another address that falls between the end of a request and its report takes effect: the watch requests the
// list from the new address at once, without another subscription.
func TestMoveBeforeFailureIsReportedTakesEffect(t *testing.T) {
	before, after := newService(t), newService(t)
	var watched *watch
	var moved atomic.Bool
	log := zerolog.New(lineWriter{func(line string) {
		if strings.Contains(line, "watch ended") && moved.CompareAndSwap(false, true) {
			watched.Move(after.addr)
		}
	}})
	watched = newWatch(t, before, 41, wideLimits(), log)
	watched.Subscribe()
	before.next().begin().reset()
	watched.requireFailure()
	require.Equal(t, "/catalog/members", after.next().path, "the complete list from the new address")
}

// A subscription during a request leads to no further request: one failure is followed by one request.
func TestSubscribeDuringRequestAddsNoRequest(t *testing.T) {
	catalog := newService(t)
	watched := newWatch(t, catalog, 41, wideLimits(), zerolog.Nop())
	watched.Subscribe()
	received := catalog.next()
	watched.Subscribe()
	received.reset()
	watched.requireFailure()
	watched.Subscribe()
	catalog.next().begin().send(listObject(42, false, "a SERVING"))
	require.Equal(t, uint64(42), watched.requireList().Revision)
	require.Empty(t, catalog.requests)
}

// An object that arrives slowly and never ends does not keep a request open.
func TestUnfinishedObjectDoesNotKeepRequestOpen(t *testing.T) {
	bounds := wideLimits()
	bounds.SilenceTimeout = 300 * time.Millisecond
	catalog := newService(t)
	watched := newWatch(t, catalog, 41, bounds, zerolog.Nop())
	watched.Subscribe()
	received := catalog.next().begin().send("\n")
	go func() {
		for text := `{"revision":42,`; ; text = " " {
			if _, err := received.Write([]byte(text)); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	watched.requireFailure()
}

// Objects may be indented, arrive in parts or arrive together, with empty lines between them.
func TestObjectsMayArriveInPartsOrTogether(t *testing.T) {
	catalog := newService(t)
	watched := newWatch(t, catalog, 0, wideLimits(), zerolog.Nop())
	watched.Subscribe()
	received := catalog.next().begin()
	for _, piece := range strings.SplitAfter(listObject(1, true, "a SERVING", "b SERVING"), "\n") {
		received.send(piece)
	}
	require.Len(t, watched.requireList().Members, 2)
	received = catalog.next().begin()
	second, third := listObject(2, false, "a DRAINING"), listObject(3, false, "c SERVING")
	received.send("\n\n" + second + third + "\n" + `{"revision":`)
	require.Equal(t, uint64(2), watched.requireList().Revision)
	require.Equal(t, uint64(3), watched.requireList().Revision)
	received.send(`4,"complete":false,"members":[]}`)
	require.Equal(t, uint64(4), watched.requireList().Revision)
}

// A complete list that is cut off is not used. A list that has arrived is used however the request then ends. It is not
// requested again: the watch continues from its revision.
func TestListIsUsedOnceItHasArrivedWhole(t *testing.T) {
	catalog := newService(t)
	watched := newWatch(t, catalog, 0, wideLimits(), zerolog.Nop())
	complete := listObject(7, true, "a SERVING", "b SERVING")
	for _, end := range []func(*request){(*request).reset, func(r *request) { require.NoError(t, r.Close()) }} {
		watched.Subscribe()
		received := catalog.next()
		require.Equal(t, "/catalog/members", received.path)
		received.begin().send(complete[:len(complete)-3])
		end(received)
		watched.requireFailure()
	}
	watched.Subscribe()
	received := catalog.next().begin().send(complete)
	require.Len(t, watched.requireList().Members, 2)
	received.reset()
	require.Equal(t, "/catalog/members?watch=1&from=7", catalog.next().path)
	require.Empty(t, watched.reports)
}

// A list that is invalid, empty or older than the known list ends the request, and the known list stays in use. After
// an older list the complete list is requested. Only a complete list at the start of an answer may have a lower
// revision.
func TestInvalidListEndsRequestAndKeepsKnownList(t *testing.T) {
	catalog := newService(t)
	var logged atomic.Value
	watched := newWatch(t, catalog, 0, wideLimits(), zerolog.New(lineWriter{func(line string) { logged.Store(line) }}))
	watched.Subscribe()
	catalog.next().begin().send(listObject(41, true, "a SERVING"))
	watched.requireList()
	received := catalog.next()
	for _, invalid := range []struct{ text, why string }{
		{"null", "revision: missing"},
		{"{}", "revision: missing"},
		{"[]", "cannot unmarshal"},
		{"x", "invalid character"},
		{`{"revision":-1}`, "cannot unmarshal"},
		{listObject(42, false, "a RESTING"), "RESTING"},
		{listObject(42, true), "names no database"},
		{strings.Replace(listObject(42, false, "a SERVING"), ":5432", "", 1), "host_port"},
	} {
		require.Equal(t, "/catalog/members?watch=1&from=41", received.path)
		received.begin().send(invalid.text + "\n")
		watched.requireFailure()
		require.Contains(t, logged.Load(), invalid.why)
		watched.Subscribe()
		received = catalog.next()
	}
	received.begin().send(listObject(43, false, "a DRAINING") + listObject(42, false, "a SERVING"))
	require.Equal(t, "DRAINING", watched.requireList().Members[0].Phase)
	watched.requireFailure()
	require.Contains(t, logged.Load(), "revision 42, older than 43")
	watched.Subscribe()
	received = catalog.next()
	require.Equal(t, "/catalog/members", received.path)
	received.begin().send(listObject(2, true, "a SERVING"))
	require.Equal(t, uint64(2), watched.requireList().Revision)
	require.Equal(t, "/catalog/members?watch=1&from=2", catalog.next().path)
}

// If a list with endpoints is known at the start, the first request is a watch, even if the revision is 0. If the known
// list has no endpoints, the first request is for the complete list, whatever the revision.
func TestFirstRequestIsWatchIfListIsKnown(t *testing.T) {
	members := []discovery.Entry{{ID: "a", Addr: "127.0.0.1:5432", Phase: "SERVING"}}
	for path, known := range map[string]discovery.List{
		"/catalog/members?watch=1&from=0": {Complete: true, Members: members},
		"/catalog/members?watch=1&from=7": {Revision: 7, Complete: true, Members: members},
		"/catalog/members":                {Revision: 7, Complete: true},
	} {
		catalog := newService(t)
		watched := watchFrom(t, catalog, known, wideLimits(), zerolog.Nop())
		watched.Subscribe()
		require.Equal(t, path, catalog.next().path)
	}
}

// Guards against an answer whose headers fill the memory: the request fails, and the known list stays in use.
func TestAnswerWithLongHeadersEndsRequest(t *testing.T) {
	catalog := newService(t)
	watched := newWatch(t, catalog, 41, wideLimits(), zerolog.Nop())
	watched.Subscribe()
	received := catalog.next()
	headers := strings.Repeat("X: y\r\n", 20_000)
	// The watch may close the connection before all is written.
	_, _ = received.Write([]byte("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + listObject(42, true, "a SERVING")))
	watched.requireFailure()
}
