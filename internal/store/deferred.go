package store

import (
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"capercove/internal/limits"
)

// deferred is a Store whose directory may not be usable yet, such as on a full disk. The pooler serves requests without
// it, and the store starts once the disk works. Until then values of Put are queued, All is empty and the HTTP API is
// not served.
type deferred struct {
	store   *replicated
	started atomic.Bool // whether the store has started

	closed chan struct{}
	ended  chan struct{} // closed when begin has returned
}

// Open starts the store of the pooler with the given name. It returns errors that need an operator, such as a damaged
// directory (ErrDamaged, ErrNewer) or one that another process has locked. After transient errors of the disk, or if
// the disk hangs, Open succeeds and the store starts later.
func Open(cfg Config, name string, bounds limits.Store, log zerolog.Logger) (Store, error) {
	if err := cfg.checkOwnPeer(name); err != nil {
		return nil, err
	}
	return start(newReplicated(cfg, name, bounds, log))
}

// start starts a store, or retries in the background if the disk fails.
func start(r *replicated) (Store, error) {
	d := &deferred{store: r, closed: make(chan struct{}), ended: make(chan struct{})}
	first := make(chan error, 1)
	go d.begin(first)
	select {
	case err := <-first:
		if err != nil && !isTransient(err) {
			return nil, err
		}
	case <-time.After(r.limits.CatchUpTimeout + r.limits.CallTimeout): // longer than the wait for a locked file
		r.log.Error().Msg("store: disk does not respond, serving without the store")
	}
	return d, nil
}

// begin tries to start the store until it starts, fails with a permanent error or is closed. It sends the first result
// to a channel.
func (d *deferred) begin(first chan<- error) {
	defer close(d.ended)
	for {
		err := d.store.begin()
		d.started.Store(err == nil)
		select {
		case first <- err:
		default:
		}
		if err == nil {
			return
		}
		d.store.log.Error().Err(err).Msg("store: not started")
		if !isTransient(err) {
			return
		}
		select {
		case <-d.closed:
			return
		case <-time.After(d.store.limits.SaveInterval):
		}
	}
}

// IsLeader implements Store.
func (d *deferred) IsLeader() bool { return d.started.Load() && d.store.IsLeader() }

// TransferLeadership implements Store.
func (d *deferred) TransferLeadership() error {
	if !d.started.Load() {
		return errors.New("the store has not started")
	}
	return d.store.TransferLeadership()
}

// Put implements Store.
func (d *deferred) Put(key string, value any) { d.store.Put(key, value) }

// All implements Store.
func (d *deferred) All() map[string]json.RawMessage { return d.store.All() }

// Close implements Store.
func (d *deferred) Close() {
	close(d.closed)
	select {
	case <-d.ended:
	case <-time.After(d.store.limits.CallTimeout):
		d.store.log.Warn().Msg("store: closed while its start still waits for the disk")
		return
	}
	if d.started.Load() {
		d.store.Close()
	}
}

// isTransient reports whether an error may disappear without an operator's action on the files.
func isTransient(err error) bool {
	for _, transient := range []error{
		errDiskFails, unix.ENOSPC, unix.EDQUOT, unix.EFBIG, unix.EIO, unix.EROFS, unix.ENOMEM,
		unix.EMFILE, unix.ENFILE, unix.EINTR, unix.ETIMEDOUT, unix.ESTALE, io.ErrShortWrite,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
