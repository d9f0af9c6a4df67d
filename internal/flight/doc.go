// Package flight speaks Arrow Flight SQL: a frontend for clients and a backend for databases, under the same core and
// rules as the PostgreSQL wire. gRPC brings its own sockets and goroutines and cannot run on gnet's event loop; its
// goroutines meet the core through the event loop's queue.
//
// Record batches pass through as they come, one message of a stream at a time, so that an answer of any length takes
// bounded memory and a slow client slows its database down.
package flight
