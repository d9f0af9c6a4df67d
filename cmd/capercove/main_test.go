package main_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

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

		`settings: lanes[2].idempotency: "once" is none of keyed, safe, unsafe`: {`"idempotency":"unsafe"`, `"idempotency":"once"`},
		`settings: lanes[2].group: "" is none of all, cell, zone`:               {`"idempotency":"unsafe"`, `"idempotency":"keyed"`},
		`settings: extra.classRead[1]: "odd" is none of`:                        {`"eventual"`, `"odd"`},
		`settings: extra.classRead: 2 words for 3 classes`:                      {`"eventual",`, ``},
		`settings: lanes[1].name: "report" is empty or another class's`:         {`"name":"read"`, `"name":"report"`},
		`settings: lanes[1].name: "" is empty`:                                  {`"name":"report"`, `"name":""`},
		`settings: lanes[0].deadlineMs: 200 is under the class's aimMs, 300`:    {`"deadlineMs":1200`, `"deadlineMs":200`},
		`settings: lanes[0].aimMs: 0 is not over 0`:                             {`"aimMs":300`, `"aimMs":0`},
		`settings: lanes[0].credit: -2 is under 0`:                              {`"credit":2`, `"credit":-2`},
		`settings: balancers: 0 is under 1`:                                     {`"balancers":1`, `"balancers":0`},
		`settings: allowed.sendCap: -1 is under 1`:                              {`"sendCap":10`, `"sendCap":-1`},
		`settings: rules.fallMs: 0 is not over 0`:                               {`"fallMs":2000`, `"fallMs":0`},
		`lanes.aimMs`:                    {`"aimMs":300`, `"aimMs":"soon"`},
		"own.toml:5: flight.servers.a: ": {"", "[flight]\nlisten = \"127.0.0.1:3\"\nserver_port = 1\n[flight.servers]\na = \"odd\"\n"},
		"own.toml:1: unknown key odd":    {"", "odd = 1\n"},
		"own.toml:2: unknown key pcap.s": {"", "[pcap]\ns = 1\n"},
		"own.toml:3: pcap.speed: ":       {"", "[pcap]\nport = 1\nspeed = 0.0\n"},
		"own.toml:2: pcap.port: ":        {"", "[pcap]\nport = \"x\"\n"},
		"own.toml:5: store.peers[0]":     {"", "[store]\nenabled = true\ndir = \"x\"\n\n[[store.peers]]\nname = \"n0\"\n"},
		"own.toml:2: ":                   {"", "[pcap]\nport =\n"},
		"CAPERCOVE_CONFIG: ":             {"", "missing"},
		"table [flight]":                 {"", "retired"},
	} {
		dir := t.TempDir()
		config, own := good, ""
		if change[0] == "" {
			own = change[1]
		} else {
			config = strings.Replace(good, change[0], change[1], 1)
		}
		path, ownPath := filepath.Join(dir, "config.json"), filepath.Join(dir, "own.toml")
		require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
		if own != "missing" {
			require.NoError(t, os.WriteFile(ownPath, []byte(own), 0o600))
		}
		program := exec.Command(testbed.Binary(t))
		program.Env = append(os.Environ(), "GW_CONFIG="+path, "CAPERCOVE_CONFIG="+ownPath)
		if own == "retired" {
			program.Env = append(program.Env, "CAPERCOVE_FLIGHT=deploy/flight.toml")
		}
		out, err := program.CombinedOutput()
		require.Error(t, err, key)
		require.Equal(t, 1, program.ProcessState.ExitCode(), key)
		require.Contains(t, string(out), key)
	}
}

// An address that another process has and keeps ends the start with status 1, and the key and the address are named.
func TestTakenAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	for key, place := range map[string]string{"listen": "LISTEN", "management": "MANAGEMENT", "flight.listen": "FLIGHT"} {
		dir := t.TempDir()
		addr := map[string]string{"LISTEN": testbed.Free(t), "MANAGEMENT": testbed.Free(t), "FLIGHT": testbed.Free(t)}
		addr[place] = taken.Addr().String()
		config := fmt.Sprintf(`{"name":"n0","listen":%q,"management":%q,"discovery":"127.0.0.1:2","seed":"1f",`+
			`"limits":{"memory_mb":192,"sockets":1024},"known":{"members":[]},"settings":`, addr["LISTEN"], addr["MANAGEMENT"]) +
			testbed.Settings + `}`
		path, own := filepath.Join(dir, "config.json"), filepath.Join(dir, "own.toml")
		require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
		tables := fmt.Sprintf("[flight]\nlisten = %q\nserver_port = 1\n", addr["FLIGHT"])
		require.NoError(t, os.WriteFile(own, []byte(tables), 0o600))
		ctx, cancel := context.WithTimeout(t.Context(), testbed.Patience)
		defer cancel()
		program := exec.CommandContext(ctx, testbed.Binary(t))
		program.Env = append(os.Environ(), "GW_CONFIG="+path, "CAPERCOVE_CONFIG="+own, "TMPDIR="+dir)
		out, err := program.CombinedOutput()
		require.Error(t, err, key)
		require.Equal(t, 1, program.ProcessState.ExitCode(), "%s: %s", key, out)
		named := `(?m)^capercove: .*` + regexp.QuoteMeta(key) + `: .*` + regexp.QuoteMeta(taken.Addr().String())
		require.Regexp(t, named, string(out), key)
	}
}

// An address that another process gives up a moment later does not end the start.
func TestAddressThatIsTakenForAMoment(t *testing.T) {
	const moment = 300 * time.Millisecond
	b := testbed.Start(t, testbed.WithFlight, func(b *testbed.Bed) {
		for _, addr := range []string{b.Addr, b.Management, b.Flight} {
			at, err := netip.ParseAddrPort(addr)
			require.NoError(t, err)
			testbed.Release(t, addr)
			fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			require.NoError(t, err)
			require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}))
			time.AfterFunc(moment, func() { unix.Close(fd) }) // it never listens: whoever calls is refused
		}
	})
	require.True(t, b.Client().Ask(b.Statement("read", "k", testbed.Patience)).Complete)
	b.Eventually(func() bool { code, _ := b.Call("GET", "/api/ready"); return code == 200 }, "operators are answered")
}

// The sub-commands check files and tell the version, and anything else is a usage error; none of them serves.
func TestCommands(t *testing.T) {
	run := func(args ...string) (string, int) {
		program := exec.Command(testbed.Binary(t), args...)
		program.Dir = t.TempDir()
		out, _ := program.CombinedOutput()
		return string(out), program.ProcessState.ExitCode()
	}
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "own.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	out, status := run("version")
	require.Contains(t, out, "capercove ")
	require.Zero(t, status)
	out, status = run("check", file("[door]\nenabled = true\n"))
	require.Equal(t, "good\n", out)
	require.Zero(t, status)
	out, status = run("check", file("[door]\n\ntolerance = 0.5\n"))
	require.Contains(t, out, "own.toml:3: door.tolerance")
	require.Equal(t, 1, status)
	out, status = run("odd")
	require.Contains(t, out, "usage")
	require.Equal(t, 2, status)
}

// What is linked but off must cost an idle pooler next to nothing: the smallest machine grants it 32 MB, and half of that
// is to do for all its work.
func TestIdleMemory(t *testing.T) {
	b := testbed.Start(t)
	b.Client().Ask(b.Statement("read", "k", time.Second))
	require.Less(t, b.Private(), 8<<20)
}
