package flight

import (
	"net"
	"strconv"

	"capercove/internal/config/tables"
)

// Config is the table [flight] of the operators' file.
type Config struct {
	// Listen is the address of the frontend. If it is empty, Flight SQL is off.
	Listen string `toml:"listen"`
	// ServerPort is the port on which databases speak Flight SQL, on the host of their address in the endpoint list.
	ServerPort int `toml:"server_port"`
	// Servers are the Flight SQL addresses of databases that have another one, by the database's name.
	Servers map[string]string `toml:"servers"`
}

// maxPort is the highest TCP port.
const maxPort = 65535

// Check returns an error that names the key at fault, if any. A table without a listening address is not checked.
func (config Config) Check() error {
	if config.Listen == "" {
		return nil
	}
	if config.ServerPort < 1 || config.ServerPort > maxPort {
		return tables.KeyErrorf("server_port", "%d is no port", config.ServerPort)
	}
	for name, address := range config.Servers {
		if err := tables.CheckAddress("servers."+name, address); err != nil {
			return err
		}
	}
	return tables.CheckAddress("listen", config.Listen)
}

// address returns the address at which a database of the endpoint list speaks Flight SQL.
func (config Config) address(name, listed string) string {
	if address := config.Servers[name]; address != "" {
		return address
	}
	host, _, err := net.SplitHostPort(listed)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(config.ServerPort))
}
