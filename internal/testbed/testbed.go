// Package testbed starts the real program as a process, with stand-in databases and a stand-in discovery service, and
// talks to it as clients and operators do. All tests that start the program use it.
package testbed

import (
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"capercove/internal/addresses"
	"capercove/internal/discovery"
)

// Timeout is how long anything that must happen may take on a busy machine.
const Timeout = 20 * time.Second

// Settings are the settings that the platform gives the program, with three classes of requests.
const Settings = `{"balancers":1,"membershipMode":"on_request","overShareWorth":0.1,"zones":["a"],
"allowed":{"cancel":true,"connectTimeoutMs":250,"keepaliveMs":15000,"maxRetryAfterMs":2000,"probes":true,
 "retryAfter":false,"secondCopies":false,"sendCap":10},
"extra":{"behind":"none","classRead":["lag_bound","eventual","mutate"],"listRole":"static",
 "maxAgeMs":[500,0,0],"sessionMarks":"brought","originTimeMs":0},
"feedback":{"fields":["x0","x1","utilization"],"source":"probe"},
"lanes":[
 {"name":"read","aimMs":300,"deadlineMs":1200,"credit":2,"lateValue":0.2,"idempotency":"safe"},
 {"name":"report","aimMs":5000,"deadlineMs":10000,"credit":6,"lateValue":0.2,"idempotency":"safe"},
 {"name":"write","aimMs":1000,"deadlineMs":3000,"credit":3,"lateValue":0.5,"idempotency":"unsafe"}],
"rules":{"coldFrom":0.16,"coldMs":18000,"drainGraceMs":2000,"fallMs":2000,"tipMultiple":2.5}}`

const (
	defaultName    = "n0" // of the pooler
	defaultSockets = 1024
	defaultMemory  = 192 // MiB
	phaseServing   = "SERVING"
	privateFile    = 0o600
)

// Bed is one running program with what surrounds it.
type Bed struct {
	T         *testing.T
	Addr      string // where clients connect
	Flight    string // address of the Flight SQL frontend; empty if it is off
	Databases []*Database
	Known     []discovery.Entry // the endpoint list at the start

	MemoryMB   int    // limit of the program's memory, in MiB
	Sockets    int    // limit of the program's descriptors
	Settings   string // what Configure writes
	Tables     string // the operators' file, as Configure writes it
	Management string // address for operators' calls
	Dir        string // the program's TMPDIR

	name          string
	program       string // path of what is started; empty: the shipped program
	configPath    string // of the platform's configuration
	operatorsPath string // of the operators' file
	environment   []string
	reservation   *addresses.Reservation // of Addr
	listener      *os.File               // the clients' listening socket, if the program inherits it
	process       *exec.Cmd
	exited        chan error // receives how the process ended
	log           *Output
	discovery     *httptest.Server
	changes       chan discovery.List // for the watches of discovery
	revision      uint64              // of the endpoint list
	statementID   int                 // of the last statement
}

// Option changes a bed before the program starts.
type Option func(*Bed)

// WithReplicas adds n replicas to the group, db-2 and so on.
func WithReplicas(n int) Option {
	return func(b *Bed) {
		for range n {
			b.addDatabase(replica)
		}
	}
}

// WithFlight turns on the Flight SQL frontend, and the databases' Flight SQL servers.
func WithFlight(b *Bed) {
	b.Flight = ReserveAddress(b.T)
	for _, database := range b.Databases {
		database.serveFlight()
	}
}

// WithFlightStreams is WithFlight with databases that allow so many calls at once on a connection.
func WithFlightStreams(limit uint32) Option {
	return func(b *Bed) {
		for _, database := range b.Databases {
			database.flightOptions = append(database.flightOptions, grpc.MaxConcurrentStreams(limit))
		}
		WithFlight(b)
	}
}

// WithName names the pooler; the default is n0.
func WithName(name string) Option { return func(b *Bed) { b.name = name } }

// WithMemory limits the program's memory, in MiB.
func WithMemory(megabytes int) Option { return func(b *Bed) { b.MemoryMB = megabytes } }

// WithTables adds tables to the operators' file.
func WithTables(text string) Option { return func(b *Bed) { b.Tables += text + "\n" } }

// WithEnv sets a variable, NAME=VALUE, of the program's environment.
func WithEnv(line string) Option { return func(b *Bed) { b.environment = append(b.environment, line) } }

// WithProgram starts another program than the shipped one, such as a Variant.
func WithProgram(path string) Option { return func(b *Bed) { b.program = path } }

// Beside makes the pooler use another bed's databases.
func Beside(other *Bed) Option {
	return func(b *Bed) { b.Databases, b.Known = other.Databases, other.Known }
}

// WithListener makes the program inherit the clients' listening socket.
func WithListener(b *Bed) {
	listener, err := b.reservation.Listen()
	require.NoError(b.T, err)
	b.listener = listener
}

// WithoutDiscovery starts the program while discovery is down.
func WithoutDiscovery(b *Bed) { _ = b.discovery.Listener.Close() }

// Start runs the program with a primary, db-0, and one replica, db-1, of group 3. The program and everything else end
// with the test; if it has failed, what the program has printed is logged.
func Start(t *testing.T, options ...Option) *Bed {
	t.Helper()
	reservation := reserve(t)
	bed := &Bed{
		T: t, Addr: reservation.String(), reservation: reservation,
		changes: make(chan discovery.List, maxPendingChanges), revision: 1,
		MemoryMB: defaultMemory, Sockets: defaultSockets, Settings: Settings,
		Management: ReserveAddress(t), name: defaultName,
	}
	bed.startDiscovery()
	t.Cleanup(bed.stopDiscovery)
	bed.addDatabase(primary)
	bed.addDatabase(replica)
	for _, option := range options {
		option(bed)
	}
	bed.prepareFiles()
	bed.log = &Output{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(bed.log.String())
		}
	})
	bed.Run()
	return bed
}

// role is a database's role at the start.
type role bool

const (
	replica role = false
	primary role = true
)

// addDatabase adds a database, named db-0 and so on, to the group.
func (b *Bed) addDatabase(as role) {
	b.T.Helper()
	added := newDatabase(b.T, fmt.Sprintf("db-%d", len(b.Databases)), as)
	b.Databases = append(b.Databases, added)
	b.Known = append(b.Known, added.entry(phaseServing))
}

// prepareFiles writes the program's files and sets its environment.
func (b *Bed) prepareFiles() {
	b.T.Helper()
	b.Dir = b.T.TempDir()
	b.operatorsPath = filepath.Join(b.Dir, "capercove.toml")
	b.configPath = filepath.Join(b.Dir, "config.json")
	b.Tables = b.flightTable() + b.Tables
	b.Configure("")
	b.environment = append(append(os.Environ(), b.environment...),
		"GW_CONFIG="+b.configPath, "GW_DISCOVERY="+b.discoveryAddr(), "TMPDIR="+b.Dir,
		"CAPERCOVE_CONFIG="+b.operatorsPath)
	if b.listener != nil {
		b.environment = append(b.environment, "GW_LISTEN_FD=3")
	}
}
