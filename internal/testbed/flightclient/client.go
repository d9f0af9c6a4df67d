// Package flightclient is a Flight SQL client of a program that a test has started.
package flightclient

import (
	"context"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"capercove/internal/testbed"
)

// Client is a Flight SQL client of a bed's program. Its methods may be called from any goroutine.
type Client struct {
	*flightsql.Client
	t *testing.T
}

// New returns a client with the options of all its calls. It is closed when the test ends, if the test has not closed
// it.
func New(bed *testbed.Bed, options ...grpc.CallOption) *Client {
	bed.T.Helper()
	client, err := flightsql.NewClient(bed.Flight, nil, nil,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(options...))
	require.NoError(bed.T, err)
	bed.T.Cleanup(func() {
		if err := client.Close(); status.Code(err) != codes.Canceled { // the code of a client that is closed already
			require.NoError(bed.T, err)
		}
	})
	return &Client{Client: client, t: bed.T}
}

// Open runs a statement and returns its stream.
func (client *Client) Open(ctx context.Context, sql string) (*flight.Reader, error) {
	info, err := client.Execute(ctx, sql)
	if !assert.NoError(client.t, err, "a ticket is given out without a database") {
		return nil, err
	}
	return client.DoGet(ctx, info.Endpoint[0].Ticket)
}

// TryOpen is Open for a program that may reject the call.
func (client *Client) TryOpen(ctx context.Context, sql string) (*flight.Reader, error) {
	info, err := client.Execute(ctx, sql)
	if err != nil {
		return nil, err
	}
	return client.DoGet(ctx, info.Endpoint[0].Ticket)
}

// TryFetch fetches a ticket, which the program may reject, to the end of its stream.
func (client *Client) TryFetch(ctx context.Context, ticket *flight.Ticket) (batches int, err error) {
	reader, err := client.DoGet(ctx, ticket)
	if err != nil {
		return 0, err
	}
	return readAll(reader)
}

// readAll reads a stream to its end, and returns how many batches came.
func readAll(reader *flight.Reader) (batches int, err error) {
	defer reader.Release()
	for reader.Next() {
		batches++
	}
	return batches, reader.Err()
}

// Query runs a statement and returns how many batches came before its end.
func (client *Client) Query(ctx context.Context, sql string) (batches int, err error) {
	reader, err := client.Open(ctx, sql)
	if err != nil {
		return 0, err
	}
	return readAll(reader)
}

// Update runs an update of one record.
func (client *Client) Update(ctx context.Context, sql string) error {
	records, err := client.ExecuteUpdate(ctx, sql)
	if err == nil {
		assert.EqualValues(client.t, 1, records)
	}
	return err
}

// StartQuery runs a statement on another goroutine and returns a channel that receives how it ended.
func (client *Client) StartQuery(ctx context.Context, sql string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := client.Query(ctx, sql)
		ended <- err
	}()
	return ended
}

// StartUpdate runs an update on another goroutine and returns a channel that receives how it ended.
func (client *Client) StartUpdate(ctx context.Context, sql string) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- client.Update(ctx, sql) }()
	return ended
}
