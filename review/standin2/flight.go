//go:build review2

package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

func init() { cases["flight"] = playFlight }

// Figures of the case.
const (
	flightStreams = 4                      // calls that a database takes at once on a connection
	flightReports = 5                      // of the burst
	flightRounds  = 6                      // a read and a burst each
	planTime      = 20 * time.Millisecond  // until the ticket of a report is given out
	readPlanTime  = 60 * time.Millisecond  // likewise of the read; riga-members: 49 to 85 ms of work in all
	reportTime    = 900 * time.Millisecond // that a report runs; riga-members: 810 to 1,400 ms of work in the mean
	flightBound   = 500 * time.Millisecond // of the class profile-read
)

var flightSchema = arrow.NewSchema([]arrow.Field{{Name: "val", Type: arrow.BinaryTypes.String}}, nil)

// flightDatabase is a stand-in of a database that speaks Flight SQL too. While it holds a report it applies nothing of
// the log, unless it is the primary.
type flightDatabase struct {
	flightsql.BaseServer
	*database
	address string

	// onTicket is called when a ticket is asked for, before it is given out; nil: nothing runs before the fetch.
	onTicket func(id string)

	state    sync.Mutex
	reports  int
	frozenAt time.Time
	reads    map[string]time.Duration // age of the data when a profile read began, by its id
}

func (w *world) newFlightDatabase(name string, primary bool, options ...grpc.ServerOption) *flightDatabase {
	d := &flightDatabase{database: w.newDatabase(name, primary), reads: map[string]time.Duration{}}
	d.database.age = d.age
	listener := w.listen()
	d.address = listener.Addr().String()
	server := grpc.NewServer(options...)
	flight.RegisterFlightServiceServer(server, flightsql.NewFlightServer(d))
	go func() { _ = server.Serve(listener) }()
	return d
}

// age returns how old the data is.
func (d *flightDatabase) age() time.Duration {
	d.state.Lock()
	defer d.state.Unlock()
	if d.reports == 0 || d.isPrimary() {
		return 0
	}
	return time.Since(d.frozenAt)
}

// header returns a header of a call to the database.
func header(ctx context.Context, name string) string {
	incoming, _ := metadata.FromIncomingContext(ctx)
	if values := incoming.Get(name); len(values) > 0 {
		return values[0]
	}
	return ""
}

// report sets the trailer of an answer.
func (d *flightDatabase) report(ctx context.Context) {
	mode := "read-only"
	if d.isPrimary() {
		mode = "read-write"
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs("capercove-mode", mode, "capercove-wal-time", strconv.FormatInt(d.position(), 10)))
}

// GetFlightInfoStatement implements flightsql.Server.
func (d *flightDatabase) GetFlightInfoStatement(ctx context.Context, query flightsql.StatementQuery,
	descriptor *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	d.world.note("%s: is asked for the ticket of %s, data %v old", d.name, header(ctx, "capercove-id"), d.age().Round(time.Millisecond))
	if d.onTicket != nil {
		d.onTicket(header(ctx, "capercove-id"))
	} else if strings.HasPrefix(header(ctx, "capercove-id"), "read") {
		time.Sleep(readPlanTime)
	} else {
		time.Sleep(planTime)
	}
	d.report(ctx)
	ticket, err := flightsql.CreateStatementQueryTicket([]byte(query.GetQuery()))
	endpoint := &flight.FlightEndpoint{Ticket: &flight.Ticket{Ticket: ticket}}
	return &flight.FlightInfo{FlightDescriptor: descriptor, Endpoint: []*flight.FlightEndpoint{endpoint}}, err
}

// DoGetStatement implements flightsql.Server.
func (d *flightDatabase) DoGetStatement(ctx context.Context, ticket flightsql.StatementQueryTicket) (*arrow.Schema,
	<-chan flight.StreamChunk, error,
) {
	id, age := header(ctx, "capercove-id"), d.age()
	d.world.note("%s: runs %s, data %v old; it is told that %s ms are left", d.name, id, age.Round(time.Millisecond),
		header(ctx, "capercove-deadline-ms"))
	isReport := strings.HasPrefix(id, "report")
	d.state.Lock()
	if isReport {
		if d.reports == 0 {
			d.frozenAt = time.Now()
		}
		d.reports++
	} else {
		d.reads[id] = age
	}
	d.state.Unlock()
	if isReport {
		time.Sleep(reportTime)
		d.state.Lock()
		d.reports--
		d.state.Unlock()
	}
	d.report(ctx)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, flightSchema)
	builder.Field(0).(*array.StringBuilder).Append("from " + d.name)
	chunks := make(chan flight.StreamChunk, 1)
	chunks <- flight.StreamChunk{Data: builder.NewRecordBatch()}
	close(chunks)
	return flightSchema, chunks, nil
}

// flightRequest runs a statement as a client of Flight SQL, and reports whether it was served.
func (w *world) flightRequest(client *flightsql.Client, class, id string, deadline time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "capercove-class", class, "capercove-group", "1", "capercove-id", id,
		"capercove-deadline-ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	w.note("client: sends %s", id)
	info, err := client.Execute(ctx, "SELECT val FROM state WHERE uid = '7f3a'")
	if err == nil {
		var reader *flight.Reader
		if reader, err = client.DoGet(ctx, info.Endpoint[0].Ticket); err == nil {
			rows := 0
			for reader.Next() {
				rows += int(reader.RecordBatch().NumRows())
			}
			err = reader.Err()
			reader.Release()
			w.note("client: answer to %s: %d rows, error %v", id, rows, err)
			return err == nil && rows > 0
		}
	}
	w.note("client: answer to %s: error %v", id, err)
	return false
}

// playFlight sends reads with a bound during a burst of reports, and checks that none is answered from data that was too
// old when it was sent.
func playFlight(w *world) {
	limit := grpc.MaxConcurrentStreams(flightStreams)
	primary, replica := w.newFlightDatabase("s-0", true, limit), w.newFlightDatabase("s-1", false, limit)
	discovery := w.newDiscovery("discovery", 41,
		primary.entry("riga-north", "SERVING"), replica.entry("riga-south", "SERVING"))
	front := w.freeAddress()
	operators := fmt.Sprintf("[flight]\nlisten = %q\nserver_port = 32010\n[flight.servers]\ns-0 = %q\ns-1 = %q\n",
		front, primary.address, replica.address)
	pooler := w.startPooler(discovery.address, rigaSettings, operators, discovery.list())
	client, err := flightsql.NewClient(front, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	w.must(err)
	for round := range flightRounds {
		w.playBurst(client, round)
	}
	pooler.copyLog()
	for round := range flightRounds {
		id := fmt.Sprintf("read-%d", round)
		for _, d := range []*flightDatabase{primary, replica} {
			d.state.Lock()
			age := d.reads[id]
			d.state.Unlock()
			if w.served[id] && age > flightBound+50*time.Millisecond {
				w.violation("%s was answered from data that was %v old when it was sent; the class bears %v",
					id, age.Round(time.Millisecond), flightBound)
			}
		}
		if !w.trouble && !w.served[id] {
			w.violation("%s was not served, though nothing was wrong", id)
		}
	}
}

// playBurst sends a read and, just after it, a burst of reports.
func (w *world) playBurst(client *flightsql.Client, round int) {
	for n := range 10 { // the pooler learns how far the databases are
		w.flightRequest(client, "profile-read", fmt.Sprintf("first-%d-%d", round, n), 1200*time.Millisecond)
	}
	var all sync.WaitGroup
	read := fmt.Sprintf("read-%d", round)
	all.Go(func() {
		served := w.flightRequest(client, "profile-read", read, 1200*time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.served[read] = served
	})
	time.Sleep(5 * time.Millisecond)
	if w.trouble {
		for n := range flightReports {
			all.Go(func() {
				w.flightRequest(client, "agency-report", fmt.Sprintf("report-%d-%d", round, n), 10*time.Second)
			})
		}
	}
	all.Wait()
}
