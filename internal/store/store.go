// Package store replicates the poolers' configuration and state among them, for operators to read. It is never
// on a request's path nor an input of a decision: poolers decide without it, and without peers.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"

	"capercove/internal/limits"
)

// Store holds JSON values by key.
type Store interface {
	// Put stores a value in the background. A later value under the key replaces one that is still waiting.
	Put(key string, value any)
	// All returns what this pooler knows of all of them.
	All() map[string]json.RawMessage
	Close()
}

// replicated is a Store on raft.
type replicated struct {
	limits limits.Limits
	log    zerolog.Logger
	raft   *raft.Raft
	apis   map[raft.ServerID]string
	http   *http.Server
	bolt   io.Closer
	state  state

	mu      sync.Mutex
	waiting map[string][]byte
	wake    chan struct{}
	done    chan struct{}
	ended   sync.WaitGroup
}

// Open starts the store of the pooler of this name: alone and in memory, or with peers and on disk.
func Open(cfg Config, name string, l limits.Limits, log zerolog.Logger) (Store, error) {
	if err := cfg.lists(name); err != nil {
		return nil, err
	}
	r := &replicated{limits: l, log: log, apis: map[raft.ServerID]string{}, waiting: map[string][]byte{},
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		state: state{values: map[string]json.RawMessage{}, most: l.StoreKeys}}
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(name)
	rc.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: log})

	var logs raft.LogStore
	var stable raft.StableStore
	var snapshots raft.SnapshotStore = raft.NewInmemSnapshotStore()
	if memory := raft.NewInmemStore(); cfg.Dir == "" {
		logs, stable = memory, memory
	} else {
		bolt, err := raftboltdb.NewBoltStore(filepath.Join(cfg.Dir, "raft.db"))
		if err != nil {
			return nil, fmt.Errorf("store: dir: %w", err)
		}
		logs, stable, r.bolt = bolt, bolt, bolt
		if snapshots, err = raft.NewFileSnapshotStoreWithLogger(cfg.Dir, 2, rc.Logger); err != nil {
			return nil, fmt.Errorf("store: dir: %w", err)
		}
	}
	address, memory := raft.NewInmemTransport("")
	var transport raft.Transport = memory
	servers := []raft.Server{{ID: rc.LocalID, Address: address}}
	if len(cfg.Peers) > 0 {
		tcp, err := raft.NewTCPTransportWithLogger(cfg.Listen, nil, 2, l.StoreWait, rc.Logger)
		if err != nil {
			return nil, fmt.Errorf("store: listen: %w", err)
		}
		transport, servers = tcp, nil
		for _, p := range cfg.Peers {
			r.apis[raft.ServerID(p.Name)] = p.API
			servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Listen)})
		}
	}
	known, err := raft.HasExistingState(logs, stable, snapshots)
	if err != nil {
		return nil, fmt.Errorf("store: dir: %w", err)
	}
	if !known { // All peers begin with the same list, so it does not matter which is first.
		err := raft.BootstrapCluster(rc, logs, stable, snapshots, transport, raft.Configuration{Servers: servers})
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	if r.raft, err = raft.NewRaft(rc, &r.state, logs, stable, snapshots, transport); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err := r.serve(cfg.API); err != nil {
		return nil, err
	}
	r.ended.Add(1)
	go r.forward()
	return r, nil
}

func (r *replicated) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil || len(text) > r.limits.StoreValue {
		r.log.Error().Err(err).Str("key", key).Int("bytes", len(text)).Msg("store: not a value")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.waiting[key]; known || len(r.waiting) < r.limits.StoreKeys { // Against an endless queue.
		r.waiting[key] = text
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *replicated) All() map[string]json.RawMessage { return r.state.all() }

func (r *replicated) Close() {
	close(r.done)
	r.ended.Wait()
	if r.http != nil {
		r.http.Close()
	}
	if err := r.raft.Shutdown().Error(); err != nil {
		r.log.Warn().Err(err).Msg("store: end")
	}
	if r.bolt != nil {
		r.bolt.Close()
	}
}

// forward stores what waits, and tries again later what could not be stored.
func (r *replicated) forward() {
	defer r.ended.Done()
	for {
		select {
		case <-r.done:
			return
		case <-r.wake:
		case <-time.After(r.limits.StoreEvery):
		}
		r.mu.Lock()
		batch := r.waiting
		r.waiting = map[string][]byte{}
		r.mu.Unlock()
		for key, value := range batch {
			if err := r.set(key, value, true); err != nil {
				r.log.Debug().Err(err).Str("key", key).Msg("store: not now")
				r.mu.Lock()
				if _, newer := r.waiting[key]; !newer {
					r.waiting[key] = value
				}
				r.mu.Unlock()
			}
		}
	}
}

// set changes a value: here if this pooler leads, or else, if it may, through the one that does.
func (r *replicated) set(key string, value []byte, may bool) error {
	if r.raft.State() == raft.Leader {
		text, err := json.Marshal(change{key, value})
		if err != nil {
			return err
		}
		f := r.raft.Apply(text, r.limits.StoreWait)
		if err := f.Error(); err != nil {
			return err
		}
		err, _ = f.Response().(error)
		return err
	}
	_, leader := r.raft.LeaderWithID()
	api := r.apis[leader]
	if api == "" || !may {
		return errors.New("no leader is known")
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.limits.StoreWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+api+"/v1/store/"+key,
		bytes.NewReader(value))
	if err != nil {
		return err
	}
	request.Header.Set(forwarded, "1")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		return errors.New(answer.Status)
	}
	return nil
}

// forwarded marks a change that has been passed on once. Against two poolers that take each other for the leader.
const forwarded = "Capercove-Forwarded"

func (r *replicated) serve(addr string) error {
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("store: api: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/store", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(r.All())
	})
	mux.HandleFunc("GET /v1/store/{key...}", func(w http.ResponseWriter, q *http.Request) {
		value, ok := r.All()[q.PathValue("key")]
		if !ok {
			http.NotFound(w, q)
			return
		}
		w.Write(value)
	})
	mux.HandleFunc("PUT /v1/store/{key...}", func(w http.ResponseWriter, q *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, q.Body, int64(r.limits.StoreValue)))
		if err != nil || !json.Valid(value) {
			http.Error(w, "the value is not JSON, or too long", http.StatusBadRequest)
			return
		}
		if err := r.set(q.PathValue("key"), value, q.Header.Get(forwarded) == ""); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r.http = &http.Server{Handler: mux, ReadHeaderTimeout: r.limits.StoreWait}
	go r.http.Serve(l)
	return nil
}

// change is an entry of the log.
type change struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// state is what the log has led to. It implements raft.FSM.
type state struct {
	mu     sync.Mutex
	values map[string]json.RawMessage
	most   int
}

func (s *state) all() map[string]json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

func (s *state) Apply(entry *raft.Log) any {
	var c change
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.values[c.Key]; !known && len(s.values) >= s.most { // Against keys without end.
		return errors.New("too many keys")
	}
	s.values[c.Key] = c.Value
	return nil
}

func (s *state) Snapshot() (raft.FSMSnapshot, error) { return snapshot(s.all()), nil }

func (s *state) Restore(from io.ReadCloser) error {
	defer from.Close()
	values := map[string]json.RawMessage{}
	if err := json.NewDecoder(from).Decode(&values); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = values
	return nil
}

type snapshot map[string]json.RawMessage

func (s snapshot) Persist(to raft.SnapshotSink) error {
	if err := json.NewEncoder(to).Encode(s); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (snapshot) Release() {}
