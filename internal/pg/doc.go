// Package pg implements version 3 of the PostgreSQL frontend/backend protocol as state machines that are fed bytes.
// Session is the server side of a client connection, Link the client side of a database connection. They use no socket
// and no clock, and do not depend on the core. Only the part of the protocol that the pooler needs is implemented: the
// simple query protocol, one statement at a time, and results of one row with one column.
//
// Source: https://www.postgresql.org/docs/16/protocol.html
package pg
