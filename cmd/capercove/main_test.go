package main_test

import (
	"context"
	"fmt"
	"net/http"
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
	"capercove/internal/testbed/loopback"
)

// goodConfig is a valid configuration of the platform.
const goodConfig = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f",` +
	`"limits":{"memory_mb":192,"sockets":1024},"known":{"members":[]},"settings":` + testbed.Settings + `}`

// writeFile writes a file into a directory and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// requireFailedStart starts the program with the paths of the platform's and the operators' file and with further
// environment variables. It requires exit status 1 and returns the program's output.
func requireFailedStart(t *testing.T, config, operators string, variables ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testbed.Timeout)
	defer cancel()
	program := exec.CommandContext(ctx, testbed.Binary(t))
	program.Env = append(os.Environ(), "GW_CONFIG="+config, "CAPERCOVE_CONFIG="+operators)
	program.Env = append(program.Env, variables...)
	printed, err := program.CombinedOutput()
	require.Error(t, err)
	require.Equal(t, 1, program.ProcessState.ExitCode(), string(printed))
	return string(printed)
}

// An invalid value in the platform's configuration ends the program with status 1. The error names its key.
func TestRejectsInvalidConfiguration(t *testing.T) {
	for named, change := range map[string]struct{ from, to string }{
		"GW_CONFIG":        {goodConfig, "{"},
		"name":             {`"n0"`, `""`},
		"listen":           {"127.0.0.1:1", "nowhere"},
		"discovery":        {"127.0.0.1:2", "nowhere"},
		"seed":             {`"1f"`, `"x"`},
		"limits.memory_mb": {`"memory_mb":192`, `"memory_mb":1`},
		"limits.sockets":   {`"sockets":1024`, `"sockets":1`},
		"known":            {`"members":[]`, `"members":[{"id":"a","phase":"ODD"}]`},
		"settings":         {`"membershipMode":"on_request"`, `"membershipMode":"odd"`},
		"keepaliveMs":      {`"keepaliveMs":15000,`, ``},
		`lanes.aimMs`:      {`"aimMs":300`, `"aimMs":"soon"`},

		`settings: lanes[2].idempotency: "once" is none of keyed, safe, unsafe`: {
			`"idempotency":"unsafe"`, `"idempotency":"once"`,
		},
		`settings: lanes[2].group: "" is none of all, cell, zone`: {`"idempotency":"unsafe"`, `"idempotency":"keyed"`},
		`settings: extra.classRead[1]: "odd" is none of`:          {`"eventual"`, `"odd"`},
		`settings: extra.classRead: 2 words for 3 classes`:        {`"eventual",`, ``},
		`settings: lanes[1].name: "report" is empty or another class's`: {
			`"name":"read"`, `"name":"report"`,
		},
		`settings: lanes[1].name: "" is empty`: {`"name":"report"`, `"name":""`},
		`settings: lanes[0].deadlineMs: 200 is under the class's aimMs, 300`: {
			`"deadlineMs":1200`, `"deadlineMs":200`,
		},
		`settings: lanes[0].aimMs: 0 is not over 0`: {`"aimMs":300`, `"aimMs":0`},
		`settings: lanes[0].credit: -2 is under 0`:  {`"credit":2`, `"credit":-2`},
		`settings: balancers: 0 is under 1`:         {`"balancers":1`, `"balancers":0`},
		`settings: allowed.sendCap: -1 is under 1`:  {`"sendCap":10`, `"sendCap":-1`},
		`settings: rules.fallMs: 0 is not over 0`:   {`"fallMs":2000`, `"fallMs":0`},
	} {
		t.Run(named, func(t *testing.T) {
			dir := t.TempDir()
			config := writeFile(t, dir, "config.json", strings.Replace(goodConfig, change.from, change.to, 1))
			printed := requireFailedStart(t, config, writeFile(t, dir, "own.toml", ""))
			require.Contains(t, printed, named)
		})
	}
}

// An invalid operators' file ends the program with status 1. The error names the line and the key.
func TestRejectsInvalidOperatorsFile(t *testing.T) {
	flight := "[flight]\nlisten = \"127.0.0.1:3\"\nserver_port = 1\n[flight.servers]\na = \"odd\"\n"
	store := "[store]\nenabled = true\ndir = \"x\"\n\n[[store.peers]]\nname = \"n0\"\n"
	for named, text := range map[string]string{
		"own.toml:5: flight.servers.a: ": flight,
		"own.toml:1: unknown key odd":    "odd = 1\n",
		"own.toml:2: unknown key pcap.s": "[pcap]\ns = 1\n",
		"own.toml:3: pcap.speed: ":       "[pcap]\nport = 1\nspeed = 0.0\n",
		"own.toml:2: pcap.port: ":        "[pcap]\nport = \"x\"\n",
		"own.toml:5: store.peers[0]":     store,
		"own.toml:2: ":                   "[pcap]\nport =\n",
	} {
		t.Run(named, func(t *testing.T) {
			dir := t.TempDir()
			config := writeFile(t, dir, "config.json", goodConfig)
			printed := requireFailedStart(t, config, writeFile(t, dir, "own.toml", text))
			require.Contains(t, printed, named)
		})
	}
}

// A missing operators' file ends the program with status 1, and so does an environment variable that is no longer read.
// The error names the file's variable, or the table that replaces the retired variable.
func TestRejectsInvalidEnvironment(t *testing.T) {
	dir := t.TempDir()
	config := writeFile(t, dir, "config.json", goodConfig)
	printed := requireFailedStart(t, config, filepath.Join(dir, "missing.toml"))
	require.Contains(t, printed, "CAPERCOVE_CONFIG: ")
	operators := writeFile(t, dir, "own.toml", "retired")
	printed = requireFailedStart(t, config, operators, "CAPERCOVE_FLIGHT=deploy/flight.toml")
	require.Contains(t, printed, "table [flight]")
}

// The start fails with status 1 if an address is in use. The error names the key and the address.
func TestRejectsAddressInUse(t *testing.T) {
	usedAddress := loopback.Listen(t).Addr().String()
	for _, key := range []string{"listen", "management", "flight.listen"} {
		t.Run(key, func(t *testing.T) {
			addresses := map[string]string{
				"listen":        testbed.ReserveAddress(t),
				"management":    testbed.ReserveAddress(t),
				"flight.listen": testbed.ReserveAddress(t),
			}
			addresses[key] = usedAddress
			dir := t.TempDir()
			text := fmt.Sprintf(`{"name":"n0","listen":%q,"management":%q,"discovery":"127.0.0.1:2","seed":"1f",`+
				`"limits":{"memory_mb":192,"sockets":1024},"known":{"members":[]},"settings":`,
				addresses["listen"], addresses["management"])
			config := writeFile(t, dir, "config.json", text+testbed.Settings+`}`)
			tables := fmt.Sprintf("[flight]\nlisten = %q\nserver_port = 1\n", addresses["flight.listen"])
			printed := requireFailedStart(t, config, writeFile(t, dir, "own.toml", tables), "TMPDIR="+dir)
			named := `(?m)^capercove: .*` + regexp.QuoteMeta(key) + `: .*` + regexp.QuoteMeta(usedAddress)
			require.Regexp(t, named, printed)
		})
	}
}

// An address that is in use for a short time only does not fail the start.
func TestStartRetriesAddressInUse(t *testing.T) {
	const releaseDelay = 300 * time.Millisecond
	bed := testbed.Start(t, testbed.WithFlight, func(b *testbed.Bed) {
		for _, address := range []string{b.Addr, b.Management, b.Flight} {
			testbed.Release(t, address)
			bindFor(t, address, releaseDelay)
		}
	})
	require.True(t, bed.Client().Ask(bed.Statement("read", "k", testbed.Timeout)).Complete)
	bed.Eventually(func() bool {
		code, _ := bed.Call(http.MethodGet, "/api/ready")
		return code == http.StatusOK
	}, "operators are answered")
}

// bindFor binds an address for the given duration, without listening. Connections to the address are refused.
func bindFor(t *testing.T, address string, duration time.Duration) {
	t.Helper()
	parsed, err := netip.ParseAddrPort(address)
	require.NoError(t, err)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()}))
	time.AfterFunc(duration, func() { _ = unix.Close(fd) }) // after a failed close the address stays in use
}

// The commands check a file or print the version, and an unknown command is a usage error. None of them starts the
// server.
func TestCommandsEndWithoutServing(t *testing.T) {
	run := func(arguments ...string) (printed string, status int) {
		t.Helper()
		stdout, stderr, status := runProgram(t, arguments...)
		return stdout + stderr, status
	}
	file := func(text string) string {
		t.Helper()
		return writeFile(t, t.TempDir(), "own.toml", text)
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

// Disabled features use almost no memory in an idle pooler. The smallest machine grants the pooler 32 MB, and half of
// that must be enough for all its work.
func TestIdleMemoryIsBounded(t *testing.T) {
	bed := testbed.Start(t)
	bed.Client().Ask(bed.Statement("read", "k", testbed.AnswerTimeout))
	require.Less(t, bed.AnonymousMemory(), 8<<20)
}
