package testbed

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"capercove/internal/faults"
	"capercove/internal/membership/gossip"
)

// Fleet is several poolers of the shipped program on addresses of their own, with a relay of the rig between each pair of them, and
// all before the same databases.
type Fleet struct {
	T     *testing.T
	Net   *faults.Net
	Names []string
	Beds  map[string]*Bed

	own, public  map[string]string
	apis         map[string]string        // of stores
	table        func(name string) string // of the operators' file
	options      []Option
	paused, down map[string]bool
}

var fleets atomic.Int32 // of this test process

// Turn is how often a fleet is looked at.
const Turn = 20 * time.Millisecond

// FleetPatience is how long a fleet may take to settle on a busy machine.
const FleetPatience = 120 * time.Second

// NewFleet prepares n poolers that talk; none is started. Seeds are the names of those that each is told of; more are lines of
// [fleet].
func NewFleet(t *testing.T, seed uint64, n int, seeds []string, more string, options ...Option) *Fleet {
	f := newFleet(t, seed, n, options)
	f.table = func(name string) string {
		var others []string
		for _, s := range seeds {
			if s != name {
				others = append(others, fmt.Sprintf("%q", f.public[s]))
			}
		}
		return fmt.Sprintf("[fleet]\nenabled = true\ncluster = \"c\"\nlisten = %q\nadvertise = %q\nseeds = [%s]\n%s\n", f.own[name], f.public[name],
			strings.Join(others, ", "), more)
	}
	return f
}

// NewStores prepares n poolers whose stores agree, and some that may join them later; none is started. Call reaches a store's API.
func NewStores(t *testing.T, seed uint64, n, joiners int) *Fleet {
	f := newFleet(t, seed, n+joiners, nil)
	peer := func(name string) string {
		return fmt.Sprintf("[[store.peers]]\nname = %q\nlisten = %q\napi = %q\n", name, f.public[name], f.apis[name])
	}
	peers := ""
	for i, name := range f.Names {
		f.apis[name] = Free(t)
		if i < n {
			peers += peer(name)
		}
	}
	f.table = func(name string) string {
		text := fmt.Sprintf("[store]\nenabled = true\nlisten = %q\nbind = %q\napi = %q\ndir = %q\n", f.public[name], f.own[name], f.apis[name],
			t.TempDir())
		if slices.Index(f.Names, name) >= n {
			return text + "join = true\n" + peers + peer(name)
		}
		return text + peers
	}
	return f
}

// NewWorks prepares n poolers that talk and take machines out for work together; the first three, or all, keep the record. None is
// started. More are lines of [works]. All links between two of them are cut and healed together.
func NewWorks(t *testing.T, seed uint64, n int, more string, options ...Option) *Fleet {
	f := newFleet(t, seed, n, options)
	peers, record := "", ""
	lines := map[string]string{}
	for _, name := range f.Names[:min(n, 3)] {
		listen, public := f.place(name)
		api, reached := f.place(name)
		f.apis[name] = reached
		lines[name] = fmt.Sprintf("listen = %q\nbind = %q\napi = %q\napi_bind = %q\ndir = %q\n", public, listen, reached, api, t.TempDir())
		peers += fmt.Sprintf("[[store.peers]]\nname = %q\nlisten = %q\napi = %q\n", name, public, reached)
		record += fmt.Sprintf("%q, ", reached)
	}
	f.table = func(name string) string {
		text := fmt.Sprintf("[fleet]\nenabled = true\ncluster = \"c\"\nlisten = %q\nadvertise = %q\nseeds = [%q]\nzone = %q\nslower = 0.25\n"+
			"[works]\nenabled = true\n%s\n", f.own[name], f.public[name], f.public[f.Names[0]], "z"+name, more)
		if lines[name] == "" {
			return text + fmt.Sprintf("record = [%s]\n", record)
		}
		return text + "[store]\nenabled = true\n" + lines[name] + peers
	}
	return f
}

// place puts one more address of a pooler behind a relay.
func (f *Fleet) place(name string) (listen, public string) {
	own, err := netip.ParseAddrPort(f.own[name])
	require.NoError(f.T, err)
	at, err := netip.ParseAddrPort(f.public[name])
	require.NoError(f.T, err)
	listen, r, err := f.Net.Place(name, own.Addr(), at.Addr())
	require.NoError(f.T, err)
	f.T.Cleanup(r.Close)
	return listen, r.Addr()
}

// API is where a pooler's store is called.
func (f *Fleet) API(name string) string { return f.apis[name] }

func newFleet(t *testing.T, seed uint64, n int, options []Option) *Fleet {
	f := &Fleet{T: t, Net: faults.New(seed), Beds: map[string]*Bed{}, own: map[string]string{}, public: map[string]string{},
		apis: map[string]string{}, options: options, paused: map[string]bool{}, down: map[string]bool{}}
	pid, number := os.Getpid(), byte(fleets.Add(1))
	for i := range n {
		name := fmt.Sprint("n", i)
		// A loopback network for each fleet of a test process: the relays tell poolers apart by where they send from.
		own := netip.AddrFrom4([4]byte{127, 130 + number%60, byte(pid % 250), byte(1 + i)})
		listen, r, err := f.Net.Place(name, own, netip.AddrFrom4([4]byte{127, 190 + number%60, byte(pid % 250), byte(1 + i)}))
		require.NoError(t, err)
		t.Cleanup(r.Close)
		f.Names = append(f.Names, name)
		f.own[name], f.public[name] = listen, r.Addr()
	}
	t.Cleanup(func() { t.Log(f.Net.Course()) }) // shown where the test fails, or with -v
	return f
}

// Start starts a pooler that has not run yet.
func (f *Fleet) Start(name string, more ...Option) *Bed {
	options := []Option{WithName(name), WithTables(f.table(name))}
	for _, b := range f.Beds { // any will do
		options = append(options, Beside(b))
		break
	}
	f.Beds[name] = Start(f.T, append(append(options, f.options...), more...)...)
	return f.Beds[name]
}

// StartAll starts all poolers, in the order of their names.
func (f *Fleet) StartAll() {
	for _, name := range f.Names {
		f.Start(name)
	}
}

// Public is where the others reach a pooler.
func (f *Fleet) Public(name string) string { return f.public[name] }

// State is a pooler's view.
func (f *Fleet) State(name string) (s gossip.State) {
	code, body := f.Beds[name].Call("GET", "/fleet")
	require.Equal(f.T, 200, code, body)
	require.NoError(f.T, json.Unmarshal([]byte(body), &s))
	return s
}

// Settled waits until these poolers hold the same, and take each other and nobody else for live; it returns how long that took.
func (f *Fleet) Settled(what string, names ...string) time.Duration {
	f.T.Helper()
	slices.Sort(names)
	begun := time.Now()
	require.Eventually(f.T, func() bool { return f.settled(names) }, FleetPatience, 20*time.Millisecond, "%s: %v settle", what, names)
	took := time.Since(begun)
	f.Net.Note("%s: %v have settled after %.1f s", what, names, took.Seconds())
	return took
}

func (f *Fleet) settled(names []string) bool {
	var first gossip.State
	for i, name := range names {
		s := f.State(name)
		if i == 0 {
			first = s
		}
		if s.Digest != first.Digest || !slices.Equal(s.Live, names) {
			return false
		}
		for _, p := range s.Poolers {
			if p.State == "live" && len(p.Says) == 0 || p.State == "suspected" {
				return false
			}
		}
	}
	return true
}

// Periods waits until each of these poolers, which run, has talked for so many more periods: time in which something could have
// happened, as long as it takes on this machine.
func (f *Fleet) Periods(more int, names ...string) {
	f.T.Helper()
	until := map[string]int64{}
	for _, name := range names {
		until[name] = f.State(name).Periods + int64(more)
	}
	require.Eventually(f.T, func() bool {
		for name, n := range until {
			if f.State(name).Periods < n {
				return false
			}
		}
		return true
	}, FleetPatience, 20*time.Millisecond, "%v go on for %d periods", names, more)
}

// Command runs a sub-command of the program.
func (f *Fleet) Command(args ...string) (out string, status int) {
	program := exec.Command(Binary(f.T), args...)
	text, _ := program.CombinedOutput()
	return string(text), program.ProcessState.ExitCode()
}

// Serve lets each of these poolers serve a write.
func (f *Fleet) Serve(what string, names ...string) {
	f.T.Helper()
	for _, name := range names {
		b := f.Beds[name]
		require.True(f.T, b.Client().Ask(b.Statement("write", "a", Patience)).Complete, "%s: %s serves", what, name)
	}
}

// Kill ends a pooler at once.
func (f *Fleet) Kill(name string) {
	f.Net.Note("kill %s", name)
	require.NoError(f.T, f.Beds[name].Process().Kill())
	f.Beds[name].Wait()
	f.down[name] = true
}

// Restart starts one again that was killed or has ended, with nothing in mind.
func (f *Fleet) Restart(name string) {
	f.Net.Note("restart %s", name)
	f.Beds[name].Run()
	delete(f.down, name)
}

// Pause stops a pooler; Resume lets it go on.
func (f *Fleet) Pause(name string) {
	f.Net.Note("pause %s", name)
	f.Beds[name].Signal(syscall.SIGSTOP)
	f.paused[name] = true
}

// Resume lets a paused pooler go on.
func (f *Fleet) Resume(name string) {
	f.Net.Note("resume %s", name)
	f.Beds[name].Signal(syscall.SIGCONT)
	delete(f.paused, name)
}

// Terminate ends a pooler by SIGTERM and waits for its end.
func (f *Fleet) Terminate(name string) {
	f.Net.Note("terminate %s", name)
	f.Beds[name].Signal(syscall.SIGTERM)
	require.NoError(f.T, f.Beds[name].Wait())
	f.down[name] = true
}

// Running are those that neither were killed nor are paused, sorted.
func (f *Fleet) Running() (names []string) {
	for _, name := range f.Names {
		if f.Beds[name] != nil && !f.down[name] && !f.paused[name] {
			names = append(names, name)
		}
	}
	return names
}

// Do carries out one step of a schedule.
func (f *Fleet) Do(s faults.Step) {
	switch s.What {
	case faults.Kill:
		f.Kill(s.One)
	case faults.Restart:
		f.Restart(s.One)
	case faults.Pause:
		f.Pause(s.One)
	case faults.Resume:
		f.Resume(s.One)
	default:
		f.Net.Apply(s)
	}
}

// Logs tell whether any pooler has printed a text.
func (f *Fleet) Logs(with string) (lines []string) {
	for _, name := range f.Names {
		if b := f.Beds[name]; b != nil {
			if line := b.Line(with); line != "" {
				lines = append(lines, line)
			}
		}
	}
	return lines
}
