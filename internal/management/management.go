// Package management is where operators call: HTTP on a listener of its own, off the event loop, so that a busy pooler
// still answers them.
package management

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"capercove/internal/core"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/netretry"
	"capercove/internal/statement"
)

// Pooler is what operators look at and change. All its calls may wait.
type Pooler interface {
	Figures() core.Figures
	// Statements are what was read of them, nil if none are.
	Statements() *Statements
	// Fleet is what is known of the other poolers, nil if nothing is.
	Fleet() any
	// Works are the machines that are out, or may be, as this pooler sees them; each database is taken to bear so many requests a
	// second. Nil if it takes no part.
	Works(bears float64) any
	// Ban keeps a database out, or lets it back in. It returns when that holds; known is false if nobody has the name.
	Ban(name string, banned bool) (known bool, err error)
	// BansUnsaved is how many changes of what is kept out hold and are not on disk yet.
	BansUnsaved() int
}

// Statements are what operators are shown of the statements that were read, and of the shapes that matter most. No values
// are in them.
type Statements struct {
	intake.Readings
	ByCalls, ByTime, ByDisagreement []statement.Fingerprint
}

// Server answers operators.
type Server struct {
	http   *http.Server
	limits limits.Limits
	log    zerolog.Logger
	pooler Pooler
}

func New(l limits.Limits, log zerolog.Logger, p Pooler) *Server {
	s := &Server{limits: l, log: log, pooler: p}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", s.ready)
	mux.HandleFunc("GET /api/telemetry", s.telemetry)
	mux.HandleFunc("GET /api/statements", s.statements)
	mux.HandleFunc("GET /fleet", s.fleet)
	mux.HandleFunc("GET /works", s.works)
	mux.HandleFunc("PUT /api/exclude/{id}", s.ban(true))
	mux.HandleFunc("PUT /api/include/{id}", s.ban(false))
	s.http = &http.Server{Handler: mux, ReadTimeout: l.OperatorHead, WriteTimeout: l.OperatorHead + l.OperatorCall,
		MaxHeaderBytes: 8 << 10}
	s.http.SetKeepAlivesEnabled(false) // one call a connection
	return s
}

// Serve answers calls on a listener until the program ends. An accept that fails does not end it.
func (s *Server) Serve(l net.Listener) error {
	begun := time.Now()
	clock := func() time.Duration { return time.Since(begun) }
	accepts := netretry.NewFailures("management: accept", s.limits.LogEvery, s.log, clock)
	l = netretry.NewListener(l, netretry.BackoffOf(s.limits), accepts)
	// Against running out of descriptors: callers that finish no call give way to others in time.
	return s.http.Serve(netutil.LimitListener(l, s.limits.Operators))
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.pooler.Figures().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *Server) telemetry(w http.ResponseWriter, _ *http.Request) {
	f := s.pooler.Figures()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(f.Classes)) {
		a := f.Classes[name]
		fmt.Fprintf(&b, "app.downstream_requests.%s.completed=%d\n", name, a.Served)
		fmt.Fprintf(&b, "app.downstream_requests.%s.rejected=%d\n", name, a.Refused)
		fmt.Fprintf(&b, "app.downstream_requests.%s.failed=%d\n", name, a.Failed)
	}
	fmt.Fprintf(&b, "app.upstream_requests=%d\napp.pending=%d\napp.members=%d\napp.members_unavailable=%d\n",
		f.Written, f.Pending, f.Members, f.Unavailable)
	fmt.Fprintf(&b, "app.config_reloads=%d\napp.config_reload_errors=%d\n", f.Reloads, f.ReloadErrors)
	fmt.Fprintf(&b, "app.bans_unsaved=%d\n", s.pooler.BansUnsaved())
	if f.Admission != nil {
		doorLines(&b, f.Admission)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write([]byte(b.String()))
}

func (s *Server) fleet(w http.ResponseWriter, _ *http.Request) {
	shown(w, s.pooler.Fleet(), "poolers do not talk: [fleet] is off")
}

func (s *Server) works(w http.ResponseWriter, r *http.Request) {
	bears, err := strconv.ParseFloat(cmp.Or(r.FormValue("bears"), "0"), 64)
	if err != nil || !(bears >= 0) {
		http.Error(w, "bears is a number of requests a second", http.StatusBadRequest)
		return
	}
	shown(w, s.pooler.Works(bears), "no machines are taken out: [works] is off")
}

// shown answers what there is to be seen.
func shown(w http.ResponseWriter, v any, off string) {
	if v == nil {
		http.Error(w, off, http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (s *Server) statements(w http.ResponseWriter, _ *http.Request) {
	done := make(chan *Statements, 1)
	go func() { done <- s.pooler.Statements() }()
	select {
	case v := <-done:
		if v == nil {
			http.Error(w, "statements are not read: [statements] mode is off", http.StatusNotFound)
			return
		}
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Write(append(text, '\n'))
	case <-time.After(s.limits.OperatorCall):
		http.Error(w, "the pooler is busy", http.StatusServiceUnavailable)
	}
}

func doorLines(b *strings.Builder, f *core.AdmissionFigures) {
	c := &f.Count
	for _, v := range []struct {
		name  string
		value int64
	}{{"queued", int64(f.Queued)}, {"offered", c.Offered}, {"admitted", c.Admitted}, {"waited", c.Waited}, {"left", c.Left},
		{"refused.late", c.TooLate + c.Overtook}, {"refused.full", c.NoRoom}, {"refused.ceiling", c.Capped},
		{"refused.class_gone", c.Gone}, {"promises.made", c.Promised}, {"promises.none", c.Unpromised},
		{"promises.early", c.Early}, {"promises.kept", c.Kept}, {"promises.broken", c.Broken}} {
		fmt.Fprintf(b, "app.door.%s=%d\n", v.name, v.value)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Sojourn)) {
		fmt.Fprintf(b, "app.door.sojourn_ms.%s=%.3f\n", name, f.Sojourn[name])
	}
	for _, t := range f.Tenants {
		fmt.Fprintf(b, "app.door.tenants.%s.queued=%d\napp.door.tenants.%s.inside=%d\n", t.Name, t.Queued, t.Name, t.Inside)
		fmt.Fprintf(b, "app.door.tenants.%s.admitted=%d\napp.door.tenants.%s.refused=%d\n", t.Name, t.Admitted, t.Name, t.Refused)
	}
}

func (s *Server) ban(banned bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("id")
		type result struct {
			known bool
			err   error
		}
		done := make(chan result, 1)
		go func() {
			known, err := s.pooler.Ban(name, banned)
			done <- result{known, err}
		}()
		select {
		case v := <-done:
			switch {
			case v.err != nil:
				s.log.Error().Err(v.err).Str("database", name).Bool("banned", banned).Msg("bans: not kept")
				http.Error(w, "the ban cannot be kept", http.StatusInternalServerError)
			case !v.known:
				http.Error(w, "no database has this id", http.StatusNotFound)
			default:
				s.log.Info().Str("database", name).Bool("banned", banned).Msg("bans: changed")
				fmt.Fprintln(w, "ok")
			}
		case <-time.After(s.limits.OperatorCall):
			http.Error(w, "the pooler is busy; it may still be done", http.StatusServiceUnavailable)
		}
	}
}
