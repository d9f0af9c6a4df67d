// Package flight speaks Arrow Flight SQL: a front for clients and a backend for databases, under the same core
// and rules as the PostgreSQL wire. gRPC brings its own sockets and cannot stand on gnet's loop; its goroutines
// meet the core through the loop's queue.
//
// Record batches pass through as they come, one message of a stream at a time, so a report of any length takes
// bounded memory and a slow client slows its database down.
package flight

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/BurntSushi/toml"
)

// Config is deploy/flight.toml.
type Config struct {
	Listen     string            `toml:"listen"` // empty: the front is off
	ServerPort int               `toml:"server_port"`
	Servers    map[string]string `toml:"servers"`
}

// Load reads a configuration. A file that does not exist leaves the front off.
func Load(path string) (c Config, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return c, err
	}
	meta, err := toml.Decode(string(text), &c)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	if c.ServerPort < 1 || c.ServerPort > 65535 {
		return c, fmt.Errorf("%s: server_port is %d", path, c.ServerPort)
	}
	for id, addr := range c.Servers {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return c, fmt.Errorf("%s: servers.%s: %w", path, id, err)
		}
	}
	if c.Listen != "" {
		if _, _, err := net.SplitHostPort(c.Listen); err != nil {
			return c, fmt.Errorf("%s: listen: %w", path, err)
		}
	}
	return c, nil
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
