package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"capercove/internal/testbed"
)

// A bad configuration ends the program with status 1 and names the key.
func TestBadConfiguration(t *testing.T) {
	good := `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",` +
		`"limits":{"memory_mb":192,"sockets":1024},"known":{"members":[]},"settings":` + testbed.Settings + `}`
	for key, change := range map[string][2]string{
		"GW_CONFIG":        {good, "{"},
		"name":             {`"n0"`, `""`},
		"listen":           {"127.0.0.1:1", "nowhere"},
		"discovery":        {"127.0.0.1:2", "nowhere"},
		"seed":             {`"1f"`, `"x"`},
		"limits.memory_mb": {`"memory_mb":192`, `"memory_mb":1`},
		"limits.sockets":   {`"sockets":1024`, `"sockets":1`},
		"known":            {`"members":[]`, `"members":[{"id":"a","phase":"ODD"}]`},
		"settings":         {`"membershipMode":"on_request"`, `"membershipMode":"odd"`},
		"keepaliveMs":      {`"keepaliveMs":15000,`, ``},
		"flight: servers":  {"", "listen = \"127.0.0.1:3\"\nserver_port = 1\n[servers]\na = \"odd\"\n"},
		"odd":              {"", "odd = 1\n"},
	} {
		dir := t.TempDir()
		config, flight := good, ""
		if change[0] == "" {
			flight = change[1]
		} else {
			config = strings.Replace(good, change[0], change[1], 1)
		}
		path, flightPath := filepath.Join(dir, "config.json"), filepath.Join(dir, "flight.toml")
		require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
		require.NoError(t, os.WriteFile(flightPath, []byte(flight), 0o600))
		program := exec.Command(testbed.Binary(t))
		program.Env = append(os.Environ(), "GW_CONFIG="+path, "CAPERCOVE_FLIGHT="+flightPath)
		out, err := program.CombinedOutput()
		require.Error(t, err, key)
		require.Equal(t, 1, program.ProcessState.ExitCode(), key)
		require.Contains(t, string(out), key)
	}
}
