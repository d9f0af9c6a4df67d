// Package discovery keeps the list of databases coming from the platform's discovery service over HTTP. When to
// ask again after a failure is the router's decision; each Subscribe is one call.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/limits"
	"capercove/routing"
)

// List is one object of discovery: the whole list or the entries that changed.
type List struct {
	Revision uint64  `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

// Entry is one database.
type Entry struct {
	ID       string `json:"id"`
	Addr     string `json:"host_port"`
	Locality string `json:"locality"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	UpSince  int64  `json:"up_since_ms"`
	Mode     string `json:"mode"`
}

var phases = map[string]routing.NodeState{
	"SERVING": routing.Ready, "DRAINING": routing.Draining, "DELETED": routing.Gone,
}

// Parse reads one object and checks it. One without a revision has revision 0.
func Parse(text []byte) (List, error) {
	l, _, err := parse(text)
	return l, err
}

// parse is Parse, and tells whether there is a revision.
func parse(text []byte) (l List, numbered bool, err error) {
	o := struct {
		Revision *uint64 `json:"revision"`
		*List
	}{List: &l}
	if err := json.Unmarshal(text, &o); err != nil {
		return l, false, err
	}
	if numbered = o.Revision != nil; numbered {
		l.Revision = *o.Revision
	}
	for i, e := range l.Members {
		_, known := phases[e.Phase]
		_, _, err := net.SplitHostPort(e.Addr)
		if e.ID == "" || !known || err != nil && e.Phase != "DELETED" {
			return l, numbered, fmt.Errorf("member %d: id %q, host_port %q, phase %q", i, e.ID, e.Addr, e.Phase)
		}
	}
	return l, numbered, nil
}

// ID maps a database's name to the same number at every pooler.
func ID(name string) routing.NodeID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return routing.NodeID(h.Sum64())
}

// Node is the entry as the router takes it. Zones are numbered as in the settings.
func (e Entry) Node(zones []string) routing.Node {
	zone := slices.Index(zones, e.Locality)
	if zone < 0 {
		zone = len(zones) + int(uint32(ID(e.Locality))) // unknown to the settings, yet told apart
	}
	return routing.Node{ID: ID(e.ID), State: phases[e.Phase], Group: e.Cell, Zone: zone, Primary: e.Mode == "read-write",
		Started: time.Duration(e.UpSince) * time.Millisecond}
}

// Watch asks discovery. It implements core.Lister.
type Watch struct {
	limits  limits.Limits
	log     zerolog.Logger
	changed func(List)
	failed  func()
	client  *http.Client
	ctx     context.Context
	calls   chan struct{}

	mu       sync.Mutex // guards all below, which Move changes
	addr     string
	moved    bool // since the last call
	listed   bool // some list is known, at revision; if not, the whole is asked for first
	revision uint64
	cancel   context.CancelFunc
}

// New returns a watch on a discovery service. It calls changed and failed from a goroutine of its own. A known list with databases
// in it is not asked for again, whatever its revision: at a start of many that would be a second call of each.
func New(ctx context.Context, addr string, known List, l limits.Limits, log zerolog.Logger, changed func(List),
	failed func()) *Watch {
	w := &Watch{addr: addr, limits: l, log: log, changed: changed, failed: failed, ctx: ctx,
		calls: make(chan struct{}, 1), listed: len(known.Members) > 0, revision: known.Revision, cancel: func() {},
		client: &http.Client{Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: l.WatchAnswer}).DialContext,
			DisableKeepAlives: true, // Against silent retries on a stale connection: each is a call.
		}}}
	go w.run()
	return w
}

// Subscribe asks for what has changed, and for all further changes.
func (w *Watch) Subscribe() {
	select {
	case w.calls <- struct{}{}:
	default: // one is asked for already
	}
}

// Move asks another address from now on, beginning with the whole list: its versions may be numbered otherwise.
func (w *Watch) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		w.addr, w.moved, w.listed = addr, true, false
		w.cancel()
		w.Subscribe()
	}
}

func (w *Watch) run() {
	var logged time.Time
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.calls:
		}
		err := w.call()
		for w.again() {
			err = w.call()
		}
		if w.ctx.Err() != nil {
			return
		}
		if now := time.Now(); now.Sub(logged) >= w.limits.LogEvery {
			logged = now
			w.log.Warn().Err(err).Msg("discovery: watch ended")
		}
		w.failed()
	}
}

// again tells whether discovery has moved since the last call began. If it has not, what was asked for meanwhile is answered by
// that call: against two calls for one failure. Both in one step, or a move in between would wait for the next Subscribe.
func (w *Watch) again() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.moved {
		select {
		case <-w.calls:
		default:
		}
	}
	return w.moved
}

// call asks for what there is to know and reads changes until the watch breaks.
func (w *Watch) call() error {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	w.mu.Lock()
	url, listed := "http://"+w.addr+"/catalog/members", w.listed
	w.moved, w.cancel = false, cancel
	w.mu.Unlock()
	if !listed {
		if err := w.get(ctx, url, true); err != nil {
			return err
		}
	}
	return w.get(ctx, url+"?watch=1&from="+strconv.FormatUint(w.version(), 10), false)
}

func (w *Watch) version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// get makes one call. Asked for the whole list, it returns nil once that has come: how the answer then ends, with its length or by
// a reset, tells nothing. Otherwise it reads objects until the watch breaks.
func (w *Watch) get(ctx context.Context, url string, whole bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Against a discovery that is cut off and never closes: no word in time ends the call.
	silence := time.AfterFunc(w.limits.WatchAnswer, cancel)
	defer silence.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	heard := func() { silence.Reset(w.limits.WatchSilence) }
	heard()
	if answer.StatusCode != http.StatusOK {
		return errors.New(answer.Status)
	}
	body := &reader{from: answer.Body, heard: heard}
	objects := json.NewDecoder(body)
	for first := true; ; first = false {
		var text json.RawMessage
		body.left = w.limits.ListBytes
		if err := objects.Decode(&text); err != nil {
			return err
		}
		heard()
		body.open = !blank(objects.Buffered())
		l, numbered, err := parse(text)
		if err == nil && !numbered { // Against any other object, or none, passing for a change of nothing.
			err = errors.New("revision: missing")
		}
		if err == nil && len(l.Members) > w.limits.Members {
			err = fmt.Errorf("%d members", len(l.Members))
		}
		if err == nil && whole && !l.Complete {
			err = errors.New("the list is not complete")
		}
		if err == nil {
			err = w.accept(ctx, l, first)
		}
		if err != nil || whole {
			return err
		}
	}
}

// reader tells of what it reads between objects, the empty lines, and of the beginning of each object; and it bounds what one
// object may take. Against an object that trickles on and never ends: its bytes are no sign of life, only its end is.
type reader struct {
	from  io.Reader
	left  int
	open  bool // an object has begun and is not whole
	heard func()
}

func (r *reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errors.New("an object of the list is too long")
	}
	n, err := r.from.Read(p)
	r.left -= n
	if !r.open && n > 0 {
		r.open = !blank(bytes.NewReader(p[:n]))
		r.heard()
	}
	return n, err
}

// blank tells whether there is nothing but white space.
func blank(r io.Reader) bool {
	text, _ := io.ReadAll(r)
	return len(bytes.TrimSpace(text)) == 0
}

// accept passes on what a call brought, unless discovery has moved since: its revision would mean nothing there. Behind a newer
// revision an older one is spoilt; only a whole list that begins an answer may begin anew. Then, or when a whole list names
// nothing, as none that serves does, the list that is known stays.
func (w *Watch) accept(ctx context.Context, l List, first bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if w.listed && l.Revision < w.revision && !(first && l.Complete) {
		known := w.revision
		w.listed = false // the whole is asked for next
		return fmt.Errorf("revision %d, older than %d", l.Revision, known)
	}
	if l.Complete && len(l.Members) == 0 {
		return errors.New("the list names no database")
	}
	w.listed, w.revision = true, l.Revision
	w.changed(l)
	return nil
}
