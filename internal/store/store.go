// Package store replicates the poolers' configuration and state among them, for operators to read. It is never
// on a request's path nor an input of a decision: poolers decide without it, and without peers.
package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"

	"capercove/internal/limits"
)

// Store holds JSON values by key.
type Store interface {
	// Leads tells whether this pooler leads the others, as far as it knows: a majority may have chosen another a moment ago.
	Leads() bool
	// HandOver lets another lead.
	HandOver() error
	// Put stores a value in the background. A later value under the key replaces one that is still waiting.
	Put(key string, value any)
	// All returns what this pooler knows of all of them.
	All() map[string]json.RawMessage
	Close()
}

// replicated is a Store on raft.
type replicated struct {
	config Config
	limits limits.Limits
	log    zerolog.Logger
	raft   *raft.Raft
	name   string
	apis   map[raft.ServerID]string // by the file; api knows those of members that came later
	http   *http.Server
	caller *http.Client                         // of the one that leads
	open   func(hclog.Logger) (*storage, error) // what is on disk
	close  func() error                         // ... again
	state  state

	membership sync.Mutex // one change of members at a time

	mu      sync.Mutex
	waiting map[string][]byte
	wake    chan struct{}
	done    chan struct{}
	ended   sync.WaitGroup
}

// newReplicated is a store that has not begun: it keeps what is put until then.
func newReplicated(cfg Config, name string, l limits.Limits, log zerolog.Logger) *replicated {
	r := &replicated{
		config: cfg, name: name, limits: l, log: log, apis: map[raft.ServerID]string{}, caller: caller(nil),
		waiting: map[string][]byte{}, wake: make(chan struct{}, 1), done: make(chan struct{}),
		state: state{
			record:  newRecord(recordBounds{keys: l.StoreKeys, value: l.StoreValue, window: l.StoreWindow}),
			changed: make(chan struct{}),
		},
	}
	r.open = r.openDirectory
	return r
}

// begin opens the directory, joins the peers and serves calls. It can be called again after an error.
func (r *replicated) begin() (err error) {
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(r.name)
	settings.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: r.log})
	disk := inMemory()
	if r.config.Dir != "" {
		if disk, err = r.open(settings.Logger); err != nil {
			return fmt.Errorf("store: dir: %w", err)
		}
	}
	var ends []func() error // what was opened, the last first
	defer func() {
		if err != nil {
			for _, end := range ends {
				end()
			}
		}
	}()
	ends = append(ends, disk.close)
	transport, servers, err := r.connect(settings)
	if err != nil {
		return fmt.Errorf("store: listen: %w", err)
	}
	if closer, closes := transport.(raft.WithClose); closes {
		ends = append([]func() error{closer.Close}, ends...)
	}
	begun, err := disk.begun()
	if err != nil {
		return fmt.Errorf("store: dir: %w", err)
	}
	if !begun && !r.config.Join { // All peers begin with the same list, so it does not matter which is first.
		err := raft.BootstrapCluster(settings, disk.logs, disk.stable, disk.snapshots, transport, raft.Configuration{Servers: servers})
		if err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	if r.config.Dir != "" {
		disk.endure(persistence{log: r.log, again: r.limits.StoreEvery / writesAgain, done: r.done}, r.limits.StoreWait)
	}
	member, err := raft.NewRaft(settings, &r.state, disk.logs, disk.stable, disk.snapshots, transport)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	r.raft, r.close = member, disk.close
	if err := r.serve(cmp.Or(r.config.APIBind, r.config.API)); err != nil {
		r.await(member.Shutdown())
		return err
	}
	r.ended.Add(1)
	go r.forward()
	return nil
}

// writesAgain is how often within StoreEvery a write is tried again that must not fail.
const writesAgain = 10

// openDirectory opens the files on disk.
func (r *replicated) openDirectory(log hclog.Logger) (*storage, error) {
	// Against a start that hangs for ever: at an upgrade the process before may hold the file, and go on holding it until this one
	// is ready.
	disk, err := openDirectory(r.config.Dir, r.limits.StoreCatchUp, log)
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s is held by another process, such as the one before this at an upgrade: it has to end first", r.config.Dir)
	}
	return disk, err
}

// connect returns the way to the peers, and who they are.
func (r *replicated) connect(settings *raft.Config) (raft.Transport, []raft.Server, error) {
	if len(r.config.Peers) == 0 {
		address, memory := raft.NewInmemTransport("")
		return memory, []raft.Server{{ID: settings.LocalID, Address: address}}, nil
	}
	stream, err := listen(cmp.Or(r.config.Bind, r.config.Listen), r.config.Listen)
	if err != nil {
		return nil, nil, err
	}
	r.caller = caller(stream.own.IP)
	var servers []raft.Server
	for _, p := range r.config.Peers {
		r.apis[raft.ServerID(p.Name)] = p.API
		servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Listen)})
	}
	return raft.NewNetworkTransportWithLogger(stream, connectionsKept, r.limits.StoreWait, settings.Logger), servers, nil
}

// connectionsKept is how many idle connections to each peer are kept.
const connectionsKept = 2

// Close implements Store. It takes a few times StoreWait at the most, whatever the disk does.
func (r *replicated) Close() {
	close(r.done)
	r.ended.Wait()
	// Against a time without a leader at a planned stop.
	if r.Leads() && len(r.raft.GetConfiguration().Configuration().Servers) > 1 {
		if err := r.HandOver(); err != nil {
			r.log.Warn().Err(err).Msg("store: nobody takes the lead over")
		}
	}
	if r.http != nil {
		r.http.Close()
	}
	switch err := r.await(r.raft.Shutdown()); {
	case errors.Is(err, errNoAnswer): // Against a disk that takes nothing: raft waits for it.
		r.log.Warn().Msg("store: it does not end")
		return
	case err != nil:
		r.log.Warn().Err(err).Msg("store: end")
	}
	r.close()
}
