// Package discovery keeps the list of databases coming from the platform's discovery service over HTTP. When to
// ask again after a failure is the router's decision; each Subscribe is one call.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"capercove/choice"
	"capercove/internal/core"
	"capercove/internal/limits"
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

var phases = map[string]choice.NodeState{
	"SERVING": choice.Ready, "DRAINING": choice.Draining, "DELETED": choice.Gone,
}

// Parse reads one object and checks it.
func Parse(text []byte) (l List, err error) {
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	for i, e := range l.Members {
		_, known := phases[e.Phase]
		_, _, err := net.SplitHostPort(e.Addr)
		if e.ID == "" || !known || err != nil && e.Phase != "DELETED" {
			return l, fmt.Errorf("member %d: id %q, host_port %q, phase %q", i, e.ID, e.Addr, e.Phase)
		}
	}
	return l, nil
}

// ID maps a database's name to the same number at every pooler.
func ID(name string) choice.NodeID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return choice.NodeID(h.Sum64())
}

// Entries turns a list into the core's form. Zones are numbered as in the settings.
func (l List) Entries(zones []string) []core.Member {
	members := make([]core.Member, 0, len(l.Members))
	for _, e := range l.Members {
		m := core.Member{Name: e.ID, Addr: e.Addr}
		m.ID, m.State, m.Group = ID(e.ID), phases[e.Phase], e.Cell
		if m.Zone = slices.Index(zones, e.Locality); m.Zone < 0 {
			m.Zone = len(zones) + int(uint32(ID(e.Locality))) // unknown to the settings, yet told apart
		}
		m.Primary = e.Mode == "read-write"
		m.Started = time.Duration(e.UpSince) * time.Millisecond
		members = append(members, m)
	}
	return members
}

// Watch asks discovery. It implements core.Lister.
type Watch struct {
	url      string
	limits   limits.Limits
	log      zerolog.Logger
	changed  func(List)
	failed   func()
	client   *http.Client
	ctx      context.Context
	calls    chan struct{}
	revision uint64
}

// New returns a watch on a discovery service. It calls changed and failed from a goroutine of its own. From
// revision on it knows the list already.
func New(ctx context.Context, addr string, known uint64, l limits.Limits, log zerolog.Logger, changed func(List),
	failed func()) *Watch {
	w := &Watch{url: "http://" + addr + "/catalog/members", limits: l, log: log, changed: changed,
		failed: failed, ctx: ctx, calls: make(chan struct{}, 1), revision: known,
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

func (w *Watch) run() {
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.calls:
		}
		err := w.watch()
		if w.ctx.Err() != nil {
			return
		}
		w.log.Warn().Err(err).Msg("discovery: watch ended")
		w.failed()
	}
}

// watch makes one call and reads changes until it breaks.
func (w *Watch) watch() error {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	// Against a discovery that is cut off and never closes: no word in time ends the call.
	silence := time.AfterFunc(w.limits.WatchAnswer, cancel)
	defer silence.Stop()
	url := w.url + "?watch=1&from=" + strconv.FormatUint(w.revision, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	silence.Reset(w.limits.WatchSilence)
	if answer.StatusCode != http.StatusOK {
		return errors.New(answer.Status)
	}
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(nil, w.limits.ListBytes)
	for lines.Scan() {
		silence.Reset(w.limits.WatchSilence)
		if len(lines.Bytes()) == 0 {
			continue
		}
		l, err := Parse(lines.Bytes())
		if err == nil && len(l.Members) > w.limits.Members {
			err = fmt.Errorf("%d members", len(l.Members))
		}
		if err != nil {
			return err
		}
		w.revision = l.Revision
		w.changed(l)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("discovery ended the watch")
}
