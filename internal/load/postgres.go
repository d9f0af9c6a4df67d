package load

import (
	"capercove/internal/emulator"
	"capercove/internal/sim"
)

// maxIdleConnections is the maximum number of idle connections to one pooler.
const maxIdleConnections = 64

// Postgres is a Target that sends requests to poolers over the PostgreSQL wire protocol. Like the platform's
// clients, it reuses idle connections, opens another when all are busy, and repeats a request once, on a new
// connection, if the pooler closed a reused one before it answered.
type Postgres struct {
	// UnexpectedResponse is called on the loop when a pooler has sent something after the response to a request, or
	// something that is no response. It may be nil.
	UnexpectedResponse func(requestID string)

	clock     *sim.Clock
	addresses []string                 // of the poolers
	idle      [][]*connection          // by pooler
	inFlight  map[*Request]*connection // nil while the connection is being opened
}

// NewPostgres returns a target for the poolers at these addresses.
func NewPostgres(clock *sim.Clock, addresses []string) *Postgres {
	return &Postgres{
		clock:     clock,
		addresses: addresses,
		idle:      make([][]*connection, len(addresses)),
		inFlight:  map[*Request]*connection{},
	}
}

// Send implements Target.
func (target *Postgres) Send(request *Request, done func(Response)) {
	reused := target.takeIdle(request.Pooler)
	target.inFlight[request] = reused
	address := target.addresses[request.Pooler]
	go func() {
		result := target.exchange(reused, address, request)
		if result.closedBeforeResponse && reused != nil {
			result = target.exchange(nil, address, request)
		}
		target.clock.Do(func() {
			delete(target.inFlight, request)
			if result.reusable != nil {
				target.putIdle(request.Pooler, result.reusable)
			}
			done(result.response)
		})
	}()
}

// Cancel implements Target: it closes the connection of the request.
func (target *Postgres) Cancel(request *Request) {
	if connection := target.inFlight[request]; connection != nil {
		connection.close()
	}
}

// Close closes all idle connections. It may be called only on the loop.
func (target *Postgres) Close() {
	for _, idle := range target.idle {
		for _, connection := range idle {
			connection.close()
		}
	}
}

// takeIdle returns the idle connection to a pooler that was used last, nil if there is none.
func (target *Postgres) takeIdle(pooler int) *connection {
	idle := target.idle[pooler]
	if len(idle) == 0 {
		return nil
	}
	latest := len(idle) - 1
	target.idle[pooler] = idle[:latest]
	return idle[latest]
}

// putIdle keeps a connection to a pooler for later requests, or closes it if there are enough.
func (target *Postgres) putIdle(pooler int, connection *connection) {
	if len(target.idle[pooler]) >= maxIdleConnections {
		connection.close()
		return
	}
	target.idle[pooler] = append(target.idle[pooler], connection)
}

// exchangeResult is the result of sending a request on one connection.
type exchangeResult struct {
	response             Response
	closedBeforeResponse bool        // the connection ended before any byte of the response
	reusable             *connection // nil: it is closed
}

// closedEarly is the result of an exchange on a connection that ended before any byte of the response.
func closedEarly() exchangeResult {
	return exchangeResult{response: Response{Outcome: emulator.Disconnected}, closedBeforeResponse: true}
}

// exchange sends a request on a connection, or on a new one if that is nil, and reads the response.
func (target *Postgres) exchange(reused *connection, address string, request *Request) exchangeResult {
	connection := reused
	if connection == nil {
		opened, failure := target.open(address, request)
		if failure != nil {
			return exchangeResult{response: *failure}
		}
		connection = opened
	}
	return target.query(connection, request)
}

// bind notes the connection of a request, so that Cancel closes it. If the request has been canceled, it closes it
// now. It runs on the loop.
func (target *Postgres) bind(request *Request, connection *connection) {
	_, inFlight := target.inFlight[request]
	if !inFlight || target.clock.Now() >= request.Deadline {
		connection.close()
		return
	}
	target.inFlight[request] = connection
}

// reportUnexpected calls UnexpectedResponse on the loop.
func (target *Postgres) reportUnexpected(requestID string) {
	target.clock.Do(func() {
		if target.UnexpectedResponse != nil {
			target.UnexpectedResponse(requestID)
		}
	})
}
