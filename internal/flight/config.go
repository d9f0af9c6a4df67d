// Package flight speaks Arrow Flight SQL: a front for clients and a backend for databases, under the same core
// and rules as the PostgreSQL wire. gRPC brings its own sockets and cannot stand on gnet's loop; its goroutines
// meet the core through the loop's queue.
//
// Record batches pass through as they come, one message of a stream at a time, so a report of any length takes
// bounded memory and a slow client slows its database down.
package flight

import (
	"net"
	"strconv"

	"capercove/internal/config/tables"
)

// Config is the table [flight] of the operators' file.
type Config struct {
	Listen     string            `toml:"listen"` // empty: the front is off
	ServerPort int               `toml:"server_port"`
	Servers    map[string]string `toml:"servers"`
}

// Check tells what is wrong with the table.
func (c Config) Check() error {
	if c.Listen == "" {
		return nil
	}
	if c.ServerPort < 1 || c.ServerPort > 65535 {
		return tables.Bad("server_port", "%d is no port", c.ServerPort)
	}
	for id, addr := range c.Servers {
		if err := tables.Address("servers."+id, addr); err != nil {
			return err
		}
	}
	return tables.Address("listen", c.Listen)
}

// addr is where a database of the list speaks Flight SQL.
func (c Config) addr(name, listed string) string {
	if addr := c.Servers[name]; addr != "" {
		return addr
	}
	host, _, err := net.SplitHostPort(listed)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(c.ServerPort))
}
