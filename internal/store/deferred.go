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

// deferred is a Store whose directory may not be usable yet, as on a full disk: the pooler serves requests without
// it, and it begins once the disk works. Until then it keeps what is put, knows nothing and answers no calls.
type deferred struct {
	store *replicated
	begun atomic.Bool

	closed chan struct{}
	ended  chan struct{} // closed when nobody tries to begin any more
}

// Open starts the store of the pooler of this name: alone and in memory, or with peers and on disk. An error is one
// that somebody has to mend, such as a directory that is damaged or that another process holds. While the disk fails
// for a moment, or does not answer, the store begins later.
func Open(cfg Config, name string, l limits.Limits, log zerolog.Logger) (Store, error) {
	if err := cfg.lists(name); err != nil {
		return nil, err
	}
	return start(newReplicated(cfg, name, l, log))
}

// start begins now or, while the disk fails, later.
func start(r *replicated) (Store, error) {
	d := &deferred{store: r, closed: make(chan struct{}), ended: make(chan struct{})}
	first := make(chan error, 1)
	go d.begin(first)
	select {
	case err := <-first:
		if err != nil && !momentary(err) {
			return nil, err
		}
	case <-time.After(r.limits.StoreCatchUp + r.limits.StoreWait): // which a locked file takes less than
		r.log.Error().Msg("store: the disk does not answer: serves without it")
	}
	return d, nil
}

// begin tries until it succeeds, cannot or is closed.
func (d *deferred) begin(first chan<- error) {
	defer close(d.ended)
	for {
		err := d.store.begin()
		d.begun.Store(err == nil)
		select {
		case first <- err:
		default:
		}
		if err == nil {
			return
		}
		d.store.log.Error().Err(err).Msg("store: cannot begin")
		if !momentary(err) {
			return
		}
		select {
		case <-d.closed:
			return
		case <-time.After(d.store.limits.StoreEvery):
		}
	}
}

// Leads implements Store.
func (d *deferred) Leads() bool { return d.begun.Load() && d.store.Leads() }

// HandOver implements Store.
func (d *deferred) HandOver() error {
	if !d.begun.Load() {
		return errors.New("the store has not begun")
	}
	return d.store.HandOver()
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
	case <-time.After(d.store.limits.StoreWait):
		d.store.log.Warn().Msg("store: it has not begun yet, and does not end")
		return
	}
	if d.begun.Load() {
		d.store.Close()
	}
}

// momentary tells whether an error may pass without anybody's doing anything about the files.
func momentary(err error) bool {
	for _, passing := range []error{
		errDiskFails, unix.ENOSPC, unix.EDQUOT, unix.EFBIG, unix.EIO, unix.EROFS, unix.ENOMEM,
		unix.EMFILE, unix.ENFILE, unix.EINTR, unix.ETIMEDOUT, unix.ESTALE, io.ErrShortWrite,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
