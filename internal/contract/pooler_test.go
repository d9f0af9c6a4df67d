package contract_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// poolerSettings is what the platform tells the poolers of these tests, with three classes.
const poolerSettings = `{"balancers":1,"membershipMode":"on_request","overShareWorth":0.1,"zones":["a"],
"allowed":{"cancel":true,"connectTimeoutMs":250,"keepaliveMs":15000,"maxRetryAfterMs":2000,"probes":true,
 "retryAfter":false,"secondCopies":false,"sendCap":10},
"extra":{"behind":"none","classRead":["lag_bound","eventual","mutate"],"listRole":"static",
 "maxAgeMs":[500,0,0],"sessionMarks":"brought","originTimeMs":0},
"feedback":{"fields":["x0","x1","utilization"],"source":"probe"},
"lanes":[
 {"name":"read","aimMs":300,"deadlineMs":1200,"credit":2,"lateValue":0.2,"idempotency":"safe"},
 {"name":"report","aimMs":5000,"deadlineMs":10000,"credit":6,"lateValue":0.2,"idempotency":"safe"},
 {"name":"write","aimMs":1000,"deadlineMs":3000,"credit":3,"lateValue":0.5,"idempotency":"unsafe"}],
"rules":{"coldFrom":0.16,"coldMs":400,"drainGraceMs":2000,"fallMs":2000,"tipMultiple":2.5}}`

// member is a database as discovery lists it.
type member struct {
	ID       string `json:"id"`
	Address  string `json:"host_port"`
	Locality string `json:"locality"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Mode     string `json:"mode"`
}

// catalog is a stand-in for discovery with a list that stays as it is. It keeps what it was asked.
type catalog struct {
	address string
	members []member

	mu    sync.Mutex
	asked []string
}

func newCatalog(t *testing.T, databases ...*standIn) *catalog {
	c := &catalog{}
	for _, d := range databases {
		c.members = append(c.members, d.member())
	}
	server := httptest.NewServer(http.HandlerFunc(c.serve))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	c.address = server.Listener.Addr().String()
	return c
}

func (c *catalog) list() map[string]any {
	return map[string]any{"revision": 1, "complete": true, "members": c.members}
}

func (c *catalog) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.asked = append(c.asked, r.Method+" "+r.URL.String())
	c.mu.Unlock()
	if r.FormValue("watch") == "" {
		_ = json.NewEncoder(w).Encode(c.list())
		return
	}
	for { // an empty line each second, as a sign of life
		if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// pooler is one running program with its files.
type pooler struct {
	t                  *testing.T
	name               string
	listen, management string
	dir                string // TMPDIR, with its configuration
	process            *exec.Cmd
	exited             chan error
	log                *transcript
	listener           *os.File // the clients' listening socket, where the program inherits it
}

// inheriting lets the program inherit the clients' listening socket.
func inheriting(p *pooler) {
	l, err := net.Listen("tcp", p.listen)
	require.NoError(p.t, err)
	defer l.Close()
	p.listener, err = l.(*net.TCPListener).File()
	require.NoError(p.t, err)
	p.t.Cleanup(func() { p.listener.Close() })
}

// startPooler starts a program before a catalog's databases and waits until it is ready. Tables make the operators'
// file; they are asked for again, with new addresses, where one that was free has been taken meanwhile.
func startPooler(t *testing.T, name, dir string, c *catalog, tables func() string, options ...func(*pooler)) *pooler {
	t.Helper()
	for range 5 {
		p := &pooler{t: t, name: name, dir: dir, listen: freeAddress(t), management: freeAddress(t)}
		for _, option := range options {
			option(p)
		}
		p.start(c, tables())
		if p.ready() {
			return p
		}
		require.Contains(t, p.log.String(), "address already in use", "%s does not start", name)
	}
	require.FailNow(t, "no address stays free")
	return nil
}

func (p *pooler) start(c *catalog, tables string) {
	p.t.Helper()
	known, err := json.Marshal(c.list())
	require.NoError(p.t, err)
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"management":%q,"seed":"1f",
		"limits":{"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		p.name, p.listen, c.address, p.management, known, poolerSettings)
	configFile, own := filepath.Join(p.dir, "config.json"), filepath.Join(p.dir, "own.toml")
	require.NoError(p.t, os.WriteFile(configFile, []byte(config), 0o600))
	require.NoError(p.t, os.WriteFile(own, []byte(tables), 0o600))
	p.log = &transcript{}
	p.process = exec.Command(program("capercove"))
	p.process.Env = environment("GW_CONFIG="+configFile, "CAPERCOVE_CONFIG="+own, "TMPDIR="+p.dir)
	p.process.Stderr = p.log
	if p.listener != nil {
		p.process.ExtraFiles = []*os.File{p.listener}
		p.process.Env = append(p.process.Env, "GW_LISTEN_FD=3")
	}
	require.NoError(p.t, p.process.Start())
	process, exited, log := p.process, make(chan error, 1), p.log
	p.exited = exited
	go func() { exited <- process.Wait() }()
	p.t.Cleanup(func() {
		_ = process.Process.Kill() // it may have ended
		if p.t.Failed() {
			p.t.Log(log.String())
		}
	})
}

// ready waits until the program says that it is, and tells whether it does not end before.
func (p *pooler) ready() bool {
	ended := false
	eventually(p.t, func() bool {
		select {
		case <-p.exited:
			ended = true
			return true
		default:
			return p.call(http.MethodGet, "/api/ready", "").status == http.StatusOK
		}
	}, p.name+" is ready")
	return !ended
}

// answer is that of a call over HTTP. Its status is 0 where there was none.
type answer struct {
	status int
	header http.Header
	body   string
}

// call makes an operator's call.
func (p *pooler) call(method, path, body string) answer {
	return call(p.t, method, "http://"+p.management+path, body)
}

func call(t *testing.T, method, url, body string) answer {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Close = true
	got, err := (&http.Client{Timeout: patience}).Do(request)
	if err != nil {
		return answer{}
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	require.NoError(t, err)
	return answer{got.StatusCode, got.Header, string(text)}
}

// end ends the program by SIGTERM, and waits for its end.
func (p *pooler) end() {
	p.t.Helper()
	require.NoError(p.t, p.process.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.exited:
		require.NoError(p.t, err)
	case <-time.After(patience):
		require.FailNow(p.t, "the program does not end")
	}
}

// counters are the last line of counters that the program has printed on standard error, or nil.
func (p *pooler) counters() (last map[string]any) {
	for _, line := range strings.Split(p.log.String(), "\n") {
		var counters map[string]any
		if json.Unmarshal([]byte(line), &counters) == nil && counters["core"] != nil && counters["pool"] != nil {
			last = counters
		}
	}
	return last
}

// printed lets the program print its counters until they satisfy.
func (p *pooler) printed(enough func(counters map[string]any) bool) (counters map[string]any) {
	p.t.Helper()
	eventually(p.t, func() bool {
		p.log.reset()
		require.NoError(p.t, p.process.Process.Signal(unix.SIGUSR1))
		eventually(p.t, func() bool { counters = p.counters(); return counters != nil }, "counters")
		return enough(counters)
	}, "counters that satisfy")
	return counters
}

// transcript collects what a program prints or sends.
type transcript struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (t *transcript) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all.Write(p)
}

func (t *transcript) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all.String()
}

func (t *transcript) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.Reset()
}

// Ports of freeAddress: below those that the system gives out.
const (
	firstPort = 10000
	lastPort  = 19000
)

var ports atomic.Int32

// freeAddress returns an address on which nothing listens. Each test process has a loopback address of its own.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	for {
		port := firstPort + int(ports.Add(1))
		require.Less(t, port, lastPort, "free addresses")
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/62500%120, pid/250%250, 1+pid%250, port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			require.NoError(t, l.Close())
			return address
		}
		require.True(t, errors.Is(err, unix.EADDRINUSE), "%v", err)
	}
}
