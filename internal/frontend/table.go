package frontend

import "fmt"

// place is the category in which the connectionTable counts a connection.
//
//	none -> starting -> started        the connection is admitted, and sends its startup message
//	starting or started -> lingering   the connection is evicted
//	none -> lingering                  the connection is rejected
//	any other -> none                  the connection has been closed
type place uint8

const (
	// placeNone: not counted, because the connection is closed or Accept has not admitted or rejected it yet.
	placeNone place = iota
	// placeStarting: in the table, with no startup message read. A connection whose startup fails remains in this place
	// until it has been closed.
	placeStarting
	// placeStarted: in the table, with its startup message read.
	placeStarted
	// placeLingering: rejected or evicted, and half-closed so that the client can still read its responses. The
	// connection has no entry in the table. limits.MaxRejecting bounds the number of connections that remain here.
	placeLingering
)

// String implements fmt.Stringer.
func (where place) String() string {
	switch where {
	case placeNone:
		return "none"
	case placeStarting:
		return "starting"
	case placeStarted:
		return "started"
	case placeLingering:
		return "lingering"
	}
	return fmt.Sprintf("place(%d)", uint8(where))
}

// connectionTable contains the connections that count against limits.MaxConnections, and counts the lingering ones.
type connectionTable struct {
	entries   map[*clientConnection]struct{} // connections in placeStarting or placeStarted
	starting  int                            // number of connections in placeStarting
	lingering int                            // number of connections in placeLingering
}

func newConnectionTable() connectionTable {
	return connectionTable{entries: map[*clientConnection]struct{}{}}
}

// size returns the number of entries.
func (table *connectionTable) size() int { return len(table.entries) }

// started returns the number of entries that have finished their startup.
func (table *connectionTable) started() int { return len(table.entries) - table.starting }

// move moves a connection to another place, and updates the entries and counts.
func (table *connectionTable) move(connection *clientConnection, to place) {
	switch connection.place {
	case placeStarting:
		table.starting--
	case placeLingering:
		table.lingering--
	}
	switch to {
	case placeStarting:
		table.starting++
	case placeLingering:
		table.lingering++
	}
	if to == placeStarting || to == placeStarted {
		table.entries[connection] = struct{}{}
	} else {
		delete(table.entries, connection)
	}
	connection.place = to
}
