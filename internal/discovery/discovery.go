// Package discovery watches the endpoint list of the platform's discovery service over HTTP. Each Subscribe is one
// attempt. The router decides when to subscribe again after a failure.
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

// List is one JSON object from the discovery service: the complete endpoint list, or a watch event with the changed
// entries.
type List struct {
	Revision uint64  `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

// Entry is one endpoint of the list.
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

// Parse decodes one object and checks its entries. A missing revision is read as 0.
func Parse(text []byte) (List, error) {
	list, _, err := parse(text)
	return list, err
}

// parse does the work of Parse, and reports whether the object has a revision.
func parse(text []byte) (list List, hasRevision bool, err error) {
	object := struct {
		Revision *uint64 `json:"revision"`
		*List
	}{List: &list}
	if err := json.Unmarshal(text, &object); err != nil {
		return list, false, err
	}
	if hasRevision = object.Revision != nil; hasRevision {
		list.Revision = *object.Revision
	}
	for i, entry := range list.Members {
		if !entry.valid() {
			return list, hasRevision, fmt.Errorf("member %d: id %q, host_port %q, phase %q",
				i, entry.ID, entry.Addr, entry.Phase)
		}
	}
	return list, hasRevision, nil
}

// valid reports whether an entry has an ID, a known phase and an address. A deleted entry needs no address.
func (e Entry) valid() bool {
	state, known := phases[e.Phase]
	if e.ID == "" || !known {
		return false
	}
	_, _, err := net.SplitHostPort(e.Addr)
	return err == nil || state == routing.Gone
}

// ID maps an endpoint's name to the same number at every pooler.
func ID(name string) routing.NodeID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // writing to a hash never fails
	return routing.NodeID(hash.Sum64())
}

// Node converts the entry to a node of the router. The number of a zone is its index in zones, the settings' list.
func (e Entry) Node(zones []string) routing.Node {
	zone := slices.Index(zones, e.Locality)
	if zone < 0 {
		zone = len(zones) + int(uint32(ID(e.Locality))) // a number from its name: the settings lack the zone
	}
	return routing.Node{
		ID: ID(e.ID), State: phases[e.Phase], Group: e.Cell, Zone: zone, Primary: e.Mode == "read-write",
		Started: time.Duration(e.UpSince) * time.Millisecond,
	}
}

// Watch reads the endpoint list and its changes. It implements core.EndpointLister.
type Watch struct {
	limits    limits.Discovery
	log       zerolog.Logger
	onList    func(List)
	onFailure func()
	client    *http.Client
	requested chan struct{} // buffers one requested attempt

	mu       sync.Mutex // guards the fields below
	addr     string
	moved    bool               // addr has changed since the last attempt began
	listed   bool               // a list is known; if not, an attempt fetches the complete list first
	revision uint64             // of the known list
	cancel   context.CancelFunc // ends the last attempt
}

// maxHeaderBytes bounds the headers of an answer.
const maxHeaderBytes = 16 << 10

// New returns a watch of the discovery service at an address. It runs until the context ends. It calls onList and
// onFailure on its goroutine. onList must not call Move, which would deadlock. A known list with endpoints is not
// fetched again, whatever its revision: otherwise each of many poolers that start together would send a second request.
func New(ctx context.Context, addr string, known List, bounds limits.Discovery, log zerolog.Logger,
	onList func(List), onFailure func(),
) *Watch {
	watch := &Watch{
		limits:    bounds,
		log:       log,
		onList:    onList,
		onFailure: onFailure,
		client: &http.Client{Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: bounds.ResponseTimeout}).DialContext,
			DisableKeepAlives:      true, // net/http would silently repeat a request if an idle connection were stale
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		requested: make(chan struct{}, 1),
		addr:      addr,
		listed:    len(known.Members) > 0,
		revision:  known.Revision,
		cancel:    func() {},
	}
	go watch.run(ctx)
	return watch
}

// Subscribe requests one attempt, which reads all changes after the known revision until it fails. It does not block.
func (w *Watch) Subscribe() {
	select {
	case w.requested <- struct{}{}:
	default: // an attempt is already requested
	}
}

// Move changes the address that is watched and starts an attempt there. The attempt begins with the complete list,
// since the service at the new address may number its revisions differently.
func (w *Watch) Move(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		w.addr, w.moved, w.listed = addr, true, false
		w.cancel()
		w.Subscribe()
	}
}

// run makes the requested attempts until the context ends.
func (w *Watch) run(ctx context.Context) {
	var lastLogged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.requested:
		}
		err := w.attempt(ctx)
		for w.endAttempt() {
			err = w.attempt(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if now := time.Now(); now.Sub(lastLogged) >= w.limits.LogInterval {
			lastLogged = now
			w.log.Warn().Err(err).Msg("discovery: watch ended")
		}
		w.onFailure()
	}
}

// endAttempt reports whether the address has changed since the last attempt began; if so, another attempt must follow.
// If not, it drops a request made during the attempt: one failure must not lead to two attempts. Both steps hold the
// lock: the request of a Move between them would be dropped, and the move would wait for the next Subscribe.
func (w *Watch) endAttempt() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.moved {
		select {
		case <-w.requested:
		default:
		}
	}
	return w.moved
}

// attempt reads the complete list if no list is known, and then watch events until the watch breaks.
func (w *Watch) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
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
	return w.get(ctx, url+"?watch=1&from="+strconv.FormatUint(w.knownRevision(), 10), false)
}

// knownRevision returns the revision of the known list.
func (w *Watch) knownRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// get makes one request. For the complete list, it returns nil once the list has arrived, however the response ends.
// For a watch, it reads events until the watch breaks.
func (w *Watch) get(ctx context.Context, url string, complete bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer ends the request if the service is silent: a service that is cut off may never close the connection.
	silence := time.AfterFunc(w.limits.ResponseTimeout, cancel)
	defer silence.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // nothing more is read from it
	onHeartbeat := func() { silence.Reset(w.limits.SilenceTimeout) }
	onHeartbeat()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	body := &responseReader{source: response.Body, onHeartbeat: onHeartbeat}
	objects := json.NewDecoder(body)
	for first := true; ; first = false {
		list, err := w.next(body, objects, complete)
		if err == nil {
			err = w.accept(ctx, list, first)
		}
		if err != nil || complete {
			return err
		}
	}
}

// next reads the next object of a response and checks it.
func (w *Watch) next(body *responseReader, objects *json.Decoder, complete bool) (list List, err error) {
	var text json.RawMessage
	body.remaining = w.limits.MaxListBytes
	if err := objects.Decode(&text); err != nil {
		return list, err
	}
	body.onHeartbeat()
	body.inObject = !blank(objects.Buffered())
	list, hasRevision, err := parse(text)
	switch {
	case err != nil:
		return list, err
	case !hasRevision: // null or an unrelated object must not be read as an event without changes
		return list, errors.New("revision: missing")
	case len(list.Members) > w.limits.MaxMembers:
		return list, fmt.Errorf("too many members: %d", len(list.Members))
	case complete && !list.Complete:
		return list, errors.New("the list is not complete")
	}
	return list, nil
}

// responseReader reads a response and bounds the bytes of each object. It reports a heartbeat for empty lines between
// objects and for the beginning of an object. Further bytes of an object are no heartbeat: an object that arrives
// slowly and never ends must not keep the watch alive. Watch.next reports the heartbeat at the end of an object.
type responseReader struct {
	source      io.Reader
	remaining   int  // bytes by which the object may still grow
	inObject    bool // an object has begun and is not complete
	onHeartbeat func()
}

// Read implements io.Reader.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errors.New("an object of the list is too long")
	}
	n, err := r.source.Read(p)
	r.remaining -= n
	if !r.inObject && n > 0 {
		r.inObject = !blank(bytes.NewReader(p[:n]))
		r.onHeartbeat()
	}
	return n, err
}

// blank reports whether a reader has nothing but white space. The reader must read from memory.
func blank(r io.Reader) bool {
	text, _ := io.ReadAll(r) // reading from memory never fails
	return len(bytes.TrimSpace(text)) == 0
}

// accept passes a list to onList. It drops a list that arrives after Move has changed the address, where the revision
// would have no meaning. A revision below the known one is an error, except in a complete list that begins a response:
// the service may have restarted its numbering. A complete list without endpoints is an error too, since it must be a
// fault of the service. After either error the known list stays in use.
func (w *Watch) accept(ctx context.Context, list List, first bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	mayRenumber := first && list.Complete
	if w.listed && list.Revision < w.revision && !mayRenumber {
		known := w.revision
		w.listed = false // the complete list is fetched next
		return fmt.Errorf("revision %d, older than %d", list.Revision, known)
	}
	if list.Complete && len(list.Members) == 0 {
		return errors.New("the list names no database")
	}
	w.listed, w.revision = true, list.Revision
	w.onList(list)
	return nil
}
