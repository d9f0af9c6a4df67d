//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// list is one object of discovery.
type list struct {
	Revision int     `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []entry `json:"members"`
}

// entry is one database of the list.
type entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	Mode     string  `json:"mode,omitempty"`
}

func (d *database) entry(zone, phase string) entry {
	mode := "read-only"
	if d.isPrimary() {
		mode = "read-write"
	}
	return entry{
		ID: d.name, HostPort: d.address, Locality: zone, Flavor: "m2", Cell: 1, Phase: phase, Size: 1, Mode: mode,
	}
}

// discovery is a stand-in of the discovery service.
type discovery struct {
	world   *world
	name    string
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int
	members  []entry
	changes  []list
	changed  chan struct{}
	told     map[string]time.Time // when an entry's phase was first written to a pooler, by id and phase
}

func (w *world) newDiscovery(name string, revision int, members ...entry) *discovery {
	d := &discovery{
		world: w, name: name, revision: revision, members: members, changed: make(chan struct{}),
		told: map[string]time.Time{},
	}
	listener := w.listen()
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	return d
}

// list returns the whole list.
func (d *discovery) list() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list{d.revision, true, append([]entry{}, d.members...)}
}

// change changes the phase of an entry.
func (d *discovery) change(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
			d.changes = append(d.changes, list{d.revision, false, []entry{d.members[i]}})
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.world.note("%s: %s is %s from revision %d on", d.name, id, phase, d.revision)
}

// since returns the changes after a revision, and a channel that is closed at the next one.
func (d *discovery) since(revision int) ([]list, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var after []list
	for _, change := range d.changes {
		if change.Revision > revision {
			after = append(after, change)
		}
	}
	return after, d.changed
}

// write writes an object and notes what it has told.
func (d *discovery) write(w http.ResponseWriter, object list) {
	_ = json.NewEncoder(w).Encode(object)
	_ = http.NewResponseController(w).Flush()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range object.Members {
		key := entry.ID + " " + entry.Phase
		if d.told[key].IsZero() {
			d.told[key] = time.Now()
			d.world.note("%s: tells a pooler that %s is %s", d.name, entry.ID, entry.Phase)
		}
	}
}

// toldAt returns when the pooler was first told a phase; the zero time if it was not.
func (d *discovery) toldAt(id, phase string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[id+" "+phase]
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("watch") == "" {
		d.world.note("%s: is asked for the list", d.name)
		d.write(w, d.list())
		return
	}
	d.world.note("%s: is asked for a watch from %s", d.name, r.FormValue("from"))
	revision, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || revision > d.list().Revision {
		revision = -1
	}
	if revision < 0 {
		whole := d.list()
		d.write(w, whole)
		revision = whole.Revision
	}
	_ = http.NewResponseController(w).Flush()
	for {
		changes, next := d.since(revision)
		for _, change := range changes {
			d.write(w, change)
			revision = change.Revision
		}
		select {
		case <-next:
		case <-time.After(2 * time.Second):
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// stop ends the service: watches end, and calls are refused.
func (d *discovery) stop() {
	_ = d.server.Close()
	d.world.note("%s: is gone", d.name)
}
