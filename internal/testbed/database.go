package testbed

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"capercove/internal/discovery"
	wire "capercove/internal/flight"
	"capercove/internal/pg"
)

// Database is a stand-in for one database on both wires. What it does with a statement is told by the first of
// these words in it: full (turned away), fail (an error), miss (not the primary), cut (the connection breaks),
// hold (served once Release is called), ticket (on Flight, its ticket is given out only then), half (a Flight stream stops after a batch), hang (no answer), endless (a Flight stream without end), one of
// spoilt (see there), unusable (as that of a bad client), long (the value Long), torn (the same, but the connection
// breaks halfway). All other statements are served.
type Database struct {
	ID, Addr, Flight string

	t       *testing.T
	primary atomic.Bool
	ahead   atomic.Int64 // ms, see ClockAhead
	stats   atomic.Value // string, see Tell
	mu      sync.Mutex
	got     []string
	came    []time.Time // when each of got came
	started int
	told    map[string][]string // see Told
	ran     map[string]int      // executed statements that call a writing function, by their id
	strayed int                 // ... that came while this was no primary, and were turned away
	probes  int
	tickets int // that were asked for and held back
	ended   int // hangs and endless streams that the pooler ended
	frozen  bool
	release chan struct{} // closed by Release
	cores   chan struct{} // taken by statements that say how long they take; nil: they take no time
	conns   map[net.Conn]bool
	grpc    *grpc.Server
}

var words = append(slices.Collect(maps.Keys(spoilt)), "full", "fail", "miss", "cut", "half", "hold", "hang", "endless", "unusable",
	"long", "torn")

// Long is the value of a long answer.
var Long = strings.Repeat("0123456789abcdef", 4<<20/16)

// spoilt are ways to spoil a good answer.
var spoilt = map[string]func(good []byte) []byte{
	"noise":    func([]byte) []byte { return []byte("\x93\x01\x00\x00\x00\x07noise") },
	"oversize": func([]byte) []byte { return []byte("D\xb0\x00\x00\x00\x00\x01\xaf\xff\xff\xf0claimed") },
	"misfit": func(good []byte) []byte {
		return bytes.Replace(good, []byte("\x00\x09from"), []byte("\x00\x08from"), 1)
	},
	"headless": func(good []byte) []byte { return good[bytes.IndexByte(good, 'D'):] },
	"rowless":  func(good []byte) []byte { return good[bytes.LastIndexByte(good, 'C'):] },
	"twice":    func(good []byte) []byte { return append(good, pg.AppendValue(nil, "of another")...) },
	"trailing": func(good []byte) []byte { return append(good, "\x93noise"...) },
}

func newDatabase(t *testing.T, id string, primary bool) *Database {
	d := &Database{ID: id, t: t, conns: map[net.Conn]bool{}, release: make(chan struct{}), ran: map[string]int{},
		told: map[string][]string{}}
	d.primary.Store(primary)
	l := d.listen()
	d.Addr = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *Database) entry(phase string) discovery.Entry {
	mode := "read-only"
	if d.primary.Load() {
		mode = "read-write"
	}
	return discovery.Entry{ID: d.ID, Addr: d.Addr, Locality: "a", Cell: 3, Phase: phase, Mode: mode}
}

// Got returns the statements that have come, probes left out.
func (d *Database) Got() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.got...)
}

// Between are the statements that have come in a time, probes left out.
func (d *Database) Between(from, to time.Time) (got []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, at := range d.came {
		if at.After(from) && at.Before(to) {
			got = append(got, d.got[i])
		}
	}
	return got
}

// Probes is how many probes have come.
func (d *Database) Probes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probes
}

// Ended is how many statements the pooler has ended before they were answered.
func (d *Database) Ended() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// Told is how many milliseconds the pooler said last, over Flight, that it waits for the answer to a statement;
// empty: nothing.
func (d *Database) Told(sql string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[sql]
}

func (d *Database) tell(sql string, wait []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told[sql] = wait
}

// Tickets is how many tickets were asked for and held back.
func (d *Database) Tickets() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tickets
}

// Connections is how many connections have been started.
func (d *Database) Connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// Open is how many connections have come up and were not cut.
func (d *Database) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// Release lets all statements that are held, and those to come, be served.
func (d *Database) Release() { close(d.release) }

// Cores gives the database cores: from now on a statement with takesN in it holds one for N milliseconds, and waits for
// it if all are held.
func (d *Database) Cores(n int) { d.cores = make(chan struct{}, n) }

var takes = regexp.MustCompile(`takes(\d+)`)

func (d *Database) work(sql string) {
	if d.cores == nil {
		return
	}
	if m := takes.FindStringSubmatch(sql); m != nil {
		ms, _ := strconv.Atoi(m[1])
		d.cores <- struct{}{}
		time.Sleep(time.Duration(ms) * time.Millisecond)
		<-d.cores
	}
}

// writing finds statements that write, whatever their label says, with their id.
var writing = regexp.MustCompile(`(?i)(?:nextval|insert into|delete from).*id=([^,]*)`)

// Ran is how often each statement that writes was executed, by its id.
func (d *Database) Ran() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.ran)
}

// Strayed is how many statements that write have come while this was no primary.
func (d *Database) Strayed() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.strayed
}

// Lead makes the database the primary, or a replica.
func (d *Database) Lead(on bool) { d.primary.Store(on) }

// Cut breaks all connections.
func (d *Database) Cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.Close()
		delete(d.conns, c)
	}
}

// Freeze makes the database silent on the PostgreSQL wire, as one that is cut off: its connections stay open, new
// ones come up, and nothing is answered or done.
func (d *Database) Freeze(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = on
}

func (d *Database) isFrozen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen
}

func (d *Database) note(sql string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.got, d.came = append(d.got, sql), append(d.came, time.Now())
	if m := writing.FindStringSubmatch(sql); m != nil {
		if !d.primary.Load() {
			d.strayed++
			return "miss"
		}
		d.ran[m[1]]++
	}
	for _, word := range words {
		if strings.Contains(sql, word) {
			return word
		}
	}
	return ""
}

func (d *Database) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended++
}

func (d *Database) mode() string { return d.entry("").Mode }

// position is a time by the database's own clock, in Unix milliseconds.
func (d *Database) position() int64 { return time.Now().UnixMilli() + d.ahead.Load() }

// ClockAhead sets the clock that the database tells positions by ahead, or behind; with other databases that are further ahead, it
// lags.
func (d *Database) ClockAhead(by time.Duration) { d.ahead.Store(by.Milliseconds()) }

// tracked is a listener whose connections Cut breaks.
type tracked struct {
	net.Listener
	d *Database
}

func (l tracked) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.d.mu.Lock()
		l.d.conns[c] = true
		l.d.mu.Unlock()
	}
	return c, err
}

func (d *Database) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { l.Close() })
	return tracked{l, d}
}

// ---- The PostgreSQL wire

func (d *Database) serve(c net.Conn) {
	defer c.Close()
	session := pg.NewSession(1 << 20)
	buf := make([]byte, 64<<10)
	hanging := false
	for {
		n, err := c.Read(buf)
		if err != nil {
			if hanging {
				d.end()
			}
			return
		}
		if d.isFrozen() {
			continue
		}
		session.Feed(buf[:n])
		for {
			command, ok := session.Next()
			if !ok {
				break
			}
			if command.Query == "" {
				d.mu.Lock()
				d.started++
				d.mu.Unlock()
				c.Write(command.Reply)
				continue
			}
			reply, word := d.answer(command.Query)
			if word == "hold" {
				<-d.release
			}
			hanging = word == "hang"
			if word == "cut" {
				return
			}
			if word == "torn" {
				c.Write(reply[:len(reply)/2])
				return
			}
			c.Write(reply)
		}
	}
}

func (d *Database) answer(sql string) (reply []byte, word string) {
	if sql == "SHOW stats" {
		d.mu.Lock()
		d.probes++
		d.mu.Unlock()
		x1 := 0
		if d.primary.Load() {
			x1 = 1
		}
		return pg.AppendValue(nil, fmt.Sprintf("x0=%.3f,x1=%d,util=0.1", float64(d.position())/1000, x1)), ""
	}
	d.work(sql)
	switch word = d.note(sql); word {
	case "full":
		return d.failure(pg.CodeFull), word
	case "fail":
		return d.failure("XX000"), word
	case "miss":
		return d.failure(pg.CodeReadOnly), word
	case "unusable":
		return d.failure(pg.CodeSyntax), word
	case "hang", "cut":
		return nil, word
	}
	value := "from " + d.ID
	if word == "long" || word == "torn" {
		value = Long
	}
	reply = pg.AppendValue(d.parameters(nil), value)
	if spoil := spoilt[word]; spoil != nil {
		reply = spoil(reply)
	}
	return reply, word
}

// Tell lets every answer carry a load report, such as "backlog=3".
func (d *Database) Tell(report string) { d.stats.Store(report) }

func (d *Database) parameters(b []byte) []byte {
	if report, told := d.stats.Load().(string); told {
		b = pg.AppendParameter(b, "stats", report)
	}
	return pg.AppendParameter(pg.AppendParameter(b, "mode", d.mode()), "wal_time", fmt.Sprint(d.position()))
}

func (d *Database) failure(code string) []byte {
	return pg.AppendReady(d.parameters(pg.AppendError(nil, "ERROR", code, "told to", "")))
}

// ---- Arrow Flight SQL

func (d *Database) serveFlight() {
	l := d.listen()
	d.Flight = l.Addr().String()
	d.grpc = grpc.NewServer()
	flight.RegisterFlightServiceServer(d.grpc, flightsql.NewFlightServer(&flightServer{d: d}))
	go d.grpc.Serve(l)
	d.t.Cleanup(d.grpc.Stop)
}

type flightServer struct {
	flightsql.BaseServer
	d *Database
}

func (s *flightServer) GetFlightInfoStatement(_ context.Context, q flightsql.StatementQuery,
	d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if strings.Contains(q.GetQuery(), "ticket") {
		s.d.mu.Lock()
		s.d.tickets++
		s.d.mu.Unlock()
		<-s.d.release
	}
	ticket, err := flightsql.CreateStatementQueryTicket([]byte(q.GetQuery()))
	return &flight.FlightInfo{FlightDescriptor: d,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}}}, err
}

// begin does what a statement's word says, up to its answer.
func (s *flightServer) begin(ctx context.Context, sql string) (word string, err error) {
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		s.d.tell(sql, md.Get(wire.KeyDeadline))
	}
	grpc.SetTrailer(ctx, metadata.Pairs(wire.KeyMode, s.d.mode(), wire.KeyWALTime, fmt.Sprint(s.d.position())))
	switch word = s.d.note(sql); word {
	case "full":
		return word, wire.Refusal(0)
	case "fail":
		return word, status.Error(codes.Internal, "told to")
	case "miss":
		return word, status.Error(codes.FailedPrecondition, "told to")
	case "unusable":
		return word, status.Error(codes.InvalidArgument, "told to")
	case "cut":
		s.d.Cut()
		return word, status.Error(codes.Unavailable, "told to")
	case "hold":
		<-s.d.release
	case "hang":
		<-ctx.Done()
		s.d.end()
		return word, ctx.Err()
	}
	return word, nil
}

var schema = arrow.NewSchema([]arrow.Field{{Name: "val", Type: arrow.BinaryTypes.String}}, nil)

// Batches is how many record batches a served statement has.
const Batches = 3

func (s *flightServer) DoGetStatement(ctx context.Context, q flightsql.StatementQueryTicket) (*arrow.Schema,
	<-chan flight.StreamChunk, error) {
	word, err := s.begin(ctx, string(q.GetStatementHandle()))
	if err != nil {
		return nil, nil, err
	}
	chunks := make(chan flight.StreamChunk)
	go func() {
		defer close(chunks)
		for i := 0; i < Batches || word == "endless"; i++ {
			if word == "half" && i == 1 {
				<-ctx.Done()
				return
			}
			b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
			b.Field(0).(*array.StringBuilder).Append("from " + s.d.ID)
			select {
			case chunks <- flight.StreamChunk{Data: b.NewRecordBatch()}:
			case <-ctx.Done():
				s.d.end()
				return
			}
		}
	}()
	return schema, chunks, nil
}

func (s *flightServer) DoPutCommandStatementUpdate(ctx context.Context, u flightsql.StatementUpdate) (int64, error) {
	_, err := s.begin(ctx, u.GetQuery())
	return 1, err
}
