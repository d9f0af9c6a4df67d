package flight

import (
	"context"
	"errors"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"capercove/internal/core"
)

// call is a client's call that runs a statement. It implements core.Client and core.DepartureDetector, whose methods
// are called on the event loop; the call itself runs on gRPC's goroutine for it.
type call struct {
	ctx      context.Context         // over when the client has cancelled or gone
	socket   *clientSocket           // that the call came on; nil: not known
	messages chan *flight.FlightData // of the answer; unbuffered, so that a slow client slows its database down
	final    chan finalAnswer        // the one final answer; buffered, so that the event loop never waits for the call
	request  *core.Request           // used on the event loop alone; nil until it is submitted
}

// finalAnswer is the final answer of a call. A stream that is complete ends with neither a result nor an error.
type finalAnswer struct {
	result []byte // of an update, encoded
	err    error  // a gRPC status, or an *inputError
}

// HasLeft reports whether the client has cancelled the call or closed its connection.
func (call *call) HasLeft() bool {
	if call.ctx.Err() != nil {
		return true
	}
	return call.socket != nil && call.socket.state() == clientGone
}

// Served takes what Backend reported with the attempt: the encoded result of an update, or nothing after a stream.
func (call *call) Served(answer []byte) { call.final <- finalAnswer{result: answer} }

// Rejected ends the call: nothing ran, and it may be retried after that time.
func (call *call) Rejected(retryAfter time.Duration) {
	call.final <- finalAnswer{err: Rejection(retryAfter)}
}

// Failed ends the call: the request failed for good.
func (call *call) Failed(why core.Failure) { call.final <- finalAnswer{err: failureErrors[why]} }

// run takes a statement through the core and returns its one final answer: the encoded result of an update, or nothing
// after a stream. The messages of a stream go to send first. It runs on gRPC's goroutine for the call.
func (front *Front) run(
	ctx context.Context, statement *statement, send func(*flight.FlightData) error,
) ([]byte, error) {
	front.counters.calls.Add(1)
	socket := front.sockets.of(ctx)
	begun := front.core.Now()
	// The call was sent then or earlier: it came with the last bytes on its connection, or before them.
	sentAt := begun - socket.sinceLastData()
	headers, _ := metadata.FromIncomingContext(ctx)
	statement.applyHeaders(headers)
	if !front.takeSlot() {
		front.counters.rejected.Add(1)
		return nil, Rejection(0)
	}
	defer front.releaseSlot()
	client := &call{
		ctx:      ctx,
		socket:   socket,
		messages: make(chan *flight.FlightData),
		final:    make(chan finalAnswer, 1),
	}
	statement.call = client
	// All of it runs on the event loop, as the settings may be replaced at any time.
	front.runOnLoop(func() { front.submit(client, statement, begun, sentAt) })
	return front.await(client, send)
}

// takeSlot reports whether one more call may run. The number of slots bounds the memory that the messages of streams
// take.
func (front *Front) takeSlot() bool {
	select {
	case front.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// releaseSlot ends the use of a slot.
func (front *Front) releaseSlot() { <-front.slots }

// submit makes a request of a call and hands it to the core, on the event loop.
func (front *Front) submit(client *call, statement *statement, begun, sentAt time.Duration) {
	request, err := front.newRequest(client.ctx, statement)
	if err != nil {
		client.final <- finalAnswer{err: err}
		return
	}
	// After a stall the connection alone does not show how old the call is: other frames may have come since.
	age := max(front.core.Now()-sentAt, front.core.ReadDelay(begun))
	request.TimeLeft -= age
	request.Client = client
	client.request = request
	front.core.Submit(request)
}

// await passes the messages of an answer on until the call has its final answer or the client is gone.
func (front *Front) await(client *call, send func(*flight.FlightData) error) ([]byte, error) {
	for {
		select {
		case message := <-client.messages:
			front.counters.messages.Add(1)
			if err := send(message); err != nil {
				front.abandon(client)
				return nil, err
			}
		case answer := <-client.final:
			var invalid *inputError
			if errors.As(answer.err, &invalid) {
				front.counters.invalid.Add(1)
			}
			return answer.result, answer.err
		case <-client.ctx.Done(): // stops the database's stream for a client that has cancelled
			front.abandon(client)
			return nil, status.FromContextError(client.ctx.Err()).Err()
		}
	}
}

// abandon notifies the core that the client of a call is gone.
func (front *Front) abandon(client *call) {
	front.counters.gone.Add(1)
	front.runOnLoop(func() {
		if client.request != nil {
			front.core.ClientGone(client.request)
		}
	})
}
