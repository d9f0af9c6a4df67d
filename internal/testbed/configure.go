package testbed

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"capercove/internal/discovery"
)

// platformConfig is the platform's file for one pooler.
type platformConfig struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Seed       string          `json:"seed"` // 16 hexadecimal digits
	Discovery  string          `json:"discovery"`
	Limits     platformLimits  `json:"limits"`
	Known      discovery.List  `json:"known"`
	Management string          `json:"management"`
	Settings   json.RawMessage `json:"settings"`
}

type platformLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// Configure writes the program's files from the bed's fields as they are now, or a text as the platform's file if it is
// not empty.
func (b *Bed) Configure(bad string) {
	b.T.Helper()
	if bad != "" {
		require.NoError(b.T, os.WriteFile(b.configPath, []byte(bad), privateFile))
		return
	}
	config, err := json.Marshal(platformConfig{
		Name: b.name, Listen: b.Addr, Seed: "8c1f30d27a5be964", Discovery: b.discoveryAddr(),
		Limits:     platformLimits{Cores: 1, MemoryMB: b.MemoryMB, Sockets: b.Sockets},
		Known:      discovery.List{Revision: b.revision, Complete: true, Members: b.Known},
		Management: b.Management, Settings: json.RawMessage(b.Settings),
	})
	require.NoError(b.T, err)
	require.NoError(b.T, os.WriteFile(b.configPath, config, privateFile))
	require.NoError(b.T, os.WriteFile(b.operatorsPath, []byte(b.Tables), privateFile))
}

// Reload writes the program's files as Configure does, and has the program read them.
func (b *Bed) Reload() {
	b.T.Helper()
	b.Configure("")
	b.Signal(syscall.SIGHUP)
}

// ConfigurePipe replaces the platform's file by a named pipe without a writer, so that reading it blocks.
func (b *Bed) ConfigurePipe() {
	b.T.Helper()
	require.NoError(b.T, os.Remove(b.configPath))
	require.NoError(b.T, unix.Mkfifo(b.configPath, privateFile))
}

// flightTable returns the table [flight] of the operators' file.
func (b *Bed) flightTable() string {
	var table strings.Builder
	fmt.Fprintf(&table, "[flight]\nlisten = %q\nserver_port = 1\n[flight.servers]\n", b.Flight)
	for _, database := range b.Databases {
		fmt.Fprintf(&table, "%s = %q\n", database.ID, database.Flight)
	}
	return table.String()
}
