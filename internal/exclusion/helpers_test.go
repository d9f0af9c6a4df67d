package exclusion_test

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"capercove/internal/clock"
	"capercove/internal/exclusion"
	"capercove/internal/limits"
	"capercove/internal/testbed"
)

const (
	convergenceTimeout = 20 * time.Second
	refreshInterval    = 5 * time.Millisecond
	longAgo            = time.Hour // longer than the grace period of an exclusion
)

// wallStart is the Unix time of the wall clock at the start of a test.
const wallStart = 1_800_000_000 * time.Second

// machine has the directory and the clocks that the processes of a test share.
type machine struct {
	t         *testing.T
	dir       string
	sinceBoot atomic.Int64 // nanoseconds
	wall      atomic.Int64 // wall clock in Unix nanoseconds
	boot      string       // identifier of the boot

	handOverDelay time.Duration // after which changes that are not on disk are handed over
}

func newMachine(t *testing.T) *machine {
	t.Helper()
	created := &machine{t: t, dir: t.TempDir(), boot: "0a1b2c3d-1111-2222-3333-444455556666"}
	created.sinceBoot.Store(int64(time.Hour))
	created.wall.Store(int64(wallStart))
	return created
}

// advance advances both clocks.
func (m *machine) advance(span time.Duration) {
	m.sinceBoot.Add(int64(span))
	m.wall.Add(int64(span))
}

// stepWall steps the wall clock.
func (m *machine) stepWall(by time.Duration) { m.wall.Add(int64(by)) }

// wallMilliseconds returns the Unix time by the wall clock in milliseconds.
func (m *machine) wallMilliseconds() int64 { return time.Duration(m.wall.Load()).Milliseconds() }

func (m *machine) stamp() (clock.Stamp, error) {
	return clock.Stamp{Boot: m.boot, SinceBoot: time.Duration(m.sinceBoot.Add(1))}, nil // no two stamps are equal
}

// disk is a disk with faults: an operation for which fail returns an error is not executed. A failed write leaves its
// first bytes in the file.
type disk struct {
	exclusion.System
	fail func(operation, path string) error
	cut  int // bytes that a failed write leaves
}

func (d disk) Read(path string, maxBytes int) ([]byte, error) {
	if err := d.fail("read", path); err != nil {
		return nil, err
	}
	return d.System.Read(path, maxBytes)
}

func (d disk) Write(path string, text []byte) error {
	if err := d.fail("write", path); err != nil {
		_ = os.WriteFile(path, text[:min(d.cut, len(text))], 0o600) // Write returns err in any case
		return err
	}
	return d.System.Write(path, text)
}

func (d disk) Rename(from, to string) error {
	if err := d.fail("rename", to); err != nil {
		return err
	}
	return d.System.Rename(from, to)
}

func (d disk) SyncDir(dir string) error {
	if err := d.fail("sync", dir); err != nil {
		return err
	}
	return d.System.SyncDir(dir)
}

func (d disk) Remove(path string) error {
	if err := d.fail("remove", path); err != nil {
		return err
	}
	return d.System.Remove(path)
}

func (d disk) Symlink(target, path string) error {
	if err := d.fail("symlink", path); err != nil {
		return err
	}
	return d.System.Symlink(target, path)
}

func (d disk) Lock(path string, timeout time.Duration) (io.Closer, error) {
	if err := d.fail("lock", path); err != nil {
		return nil, err
	}
	return d.System.Lock(path, timeout)
}

// process is the File of one process of the pooler.
type process struct {
	*exclusion.File
	m          *machine
	mu         sync.Mutex
	set        exclusion.Set // as last passed to Changed
	fault      error         // returned by the failing operations
	operations string        // names of the operations that fail
	stop       func()        // ends Watch
}

func (m *machine) start() *process {
	started := &process{m: m}
	started.File = exclusion.Open(m.config(started, disk{fail: started.operationError}))
	started.Refresh()
	return started
}

// watch runs Watch until the end of the test or the call of stop.
func (p *process) watch() *process {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Watch(ctx, refreshInterval)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
	p.m.t.Cleanup(p.stop)
	return p
}

func (m *machine) config(p *process, files exclusion.Files) exclusion.Config {
	bounds := limits.For(limits.Machine{MemoryMB: 64, Sockets: 256}, limits.Timeouts{}).Exclusion
	bounds.ChangeTimeout, bounds.HandOverDelay = 20*time.Millisecond, m.handOverDelay
	bounds.Retry.MaxBackoff, bounds.MaxEndpoints = 50*time.Millisecond, 3
	return exclusion.Config{
		Dir: m.dir, Pooler: "n0", Files: files, Stamp: m.stamp, Limits: bounds, Log: zerolog.Nop(),
		Now:  func() time.Duration { return time.Duration(m.sinceBoot.Load()) + longAgo },
		Wall: func() time.Time { return time.Unix(0, m.wall.Load()) },
		Changed: func(set exclusion.Set) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.set = set
		},
	}
}

// failOn makes the named operations, separated by spaces, fail with err from now on.
func (p *process) failOn(operations string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.operations, p.fault = operations, err
}

// operationError returns the error of an operation that fails, and nil for other operations.
func (p *process) operationError(operation, _ string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if strings.Contains(p.operations, operation) {
		return p.fault
	}
	return nil
}

// change makes a change and waits until it is on disk.
func (p *process) change(name string, excluded bool) {
	p.m.t.Helper()
	require.NoError(p.m.t, p.Change(name, excluded))
	p.m.eventually(func() bool { return p.Unsaved() == 0 }, "the change is on disk")
}

// age returns how long ago a database was excluded according to the process, or -1 if it is not excluded.
func (p *process) age(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, excluded := p.set[name]
	if !excluded {
		return -1
	}
	return time.Duration(p.m.sinceBoot.Load()) + longAgo - at
}

func (p *process) excluded(name string) bool { return p.age(name) >= 0 && p.Has(name) }

// eventually waits until a condition is true. The description names the condition in a failure.
func (m *machine) eventually(condition func() bool, description string) {
	m.t.Helper()
	require.Eventually(m.t, condition, convergenceTimeout, refreshInterval, description)
}

// entries returns the content of the set's file as an older version reads it, empty if there is no file.
func (m *machine) entries() map[string]int64 {
	m.t.Helper()
	return testbed.ReadExclusions(m.t, m.dir)
}

// files returns the paths of the files whose names match a pattern.
func (m *machine) files(pattern string) []string {
	m.t.Helper()
	found, err := filepath.Glob(filepath.Join(m.dir, pattern))
	require.NoError(m.t, err)
	return found
}

// write replaces the set's file, as an older version does.
func (m *machine) write(text string) {
	m.t.Helper()
	path := filepath.Join(m.dir, "other")
	require.NoError(m.t, os.WriteFile(path, []byte(text), 0o600))
	require.NoError(m.t, os.Rename(path, filepath.Join(m.dir, testbed.ExclusionsFile)))
}
