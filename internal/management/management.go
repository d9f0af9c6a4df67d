// Package management is the operators' HTTP server. It runs on a separate listener and in goroutines outside the event
// loop. A busy pooler therefore still answers operators.
package management

import (
	"cmp"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"capercove/internal/core"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/netretry"
	"capercove/internal/statement"
)

// Pooler gives operators access to a pooler's state. Its methods may block and are safe for concurrent use.
type Pooler interface {
	// Figures returns the counters and gauges.
	Figures() core.Figures
	// Statements returns the statistics of parsed statements. It returns nil if the pooler doesn't parse statements.
	Statements() *Statements
	// Fleet returns this pooler's view of the other poolers, to be encoded as JSON, or nil if membership is off.
	Fleet() any
	// Maintenance returns the machines that are out for planned maintenance or may be taken out, to be encoded as JSON.
	// The parameter is the capacity of each database in requests per second. The result is nil if maintenance is off.
	Maintenance(capacity float64) any
	// SetExcluded excludes an endpoint, or includes it again. It returns once the change is in effect. The result known
	// is false if no endpoint has the name.
	SetExcluded(name string, excluded bool) (known bool, err error)
	// UnsavedExclusions returns the number of changes of the exclusions that are in effect and not on disk yet.
	UnsavedExclusions() int
}

// Statements contains the counters of parsed statements and the top fingerprints by three criteria. It contains no
// literal values of the statements.
type Statements struct {
	intake.StatementCounters
	ByCalls, ByTime, ByDisagreement []statement.Fingerprint
}

// maxHeaderBytes bounds the request line and headers of an operator's request.
const maxHeaderBytes = 8 << 10

// Server is the HTTP server for operators. New creates it.
type Server struct {
	http   *http.Server
	limits limits.Management
	log    zerolog.Logger
	pooler Pooler
}

// New returns a server. It answers no requests before Serve is called.
func New(bounds limits.Management, log zerolog.Logger, pooler Pooler) *Server {
	server := &Server{limits: bounds, log: log, pooler: pooler}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", server.ready)
	mux.HandleFunc("GET /api/telemetry", server.telemetry)
	mux.HandleFunc("GET /api/statements", server.statements)
	mux.HandleFunc("GET /fleet", server.fleet)
	mux.HandleFunc("GET /works", server.maintenance)
	mux.HandleFunc("PUT /api/exclude/{id}", server.exclusionHandler(true))
	mux.HandleFunc("PUT /api/include/{id}", server.exclusionHandler(false))
	server.http = &http.Server{
		Handler:        mux,
		ReadTimeout:    bounds.RequestTimeout,
		WriteTimeout:   bounds.RequestTimeout + bounds.CallTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	server.http.SetKeepAlivesEnabled(false) // one request per connection
	return server
}

// Serve answers requests on a listener until the listener is closed, and then returns an error. A failed accept is
// retried after a backoff.
func (s *Server) Serve(listener net.Listener) error {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	failures := netretry.NewFailures("management: accept", s.limits.LogInterval, s.log, clock)
	listener = netretry.NewListener(listener, netretry.NewBackoff(s.limits.Retry), failures)
	// Without the limit, connections with unfinished requests could use up all descriptors.
	return s.http.Serve(netutil.LimitListener(listener, s.limits.MaxConnections))
}

// ready answers with status 200 if the pooler is ready to serve clients, and with 503 otherwise.
func (s *Server) ready(response http.ResponseWriter, _ *http.Request) {
	if !s.pooler.Figures().Ready {
		http.Error(response, "not ready", http.StatusServiceUnavailable)
		return
	}
	writeText(response, "ready\n")
}

// telemetry answers with all figures, one per line.
func (s *Server) telemetry(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeText(response, figureLines(s.pooler.Figures(), s.pooler.UnsavedExclusions()))
}

// fleet answers with this pooler's view of the other poolers.
func (s *Server) fleet(response http.ResponseWriter, _ *http.Request) {
	writeJSON(response, s.pooler.Fleet(), "poolers do not talk: [fleet] is off")
}

// maintenance answers with the state of planned maintenance. The parameter "bears" is the capacity of each database in
// requests per second.
func (s *Server) maintenance(response http.ResponseWriter, request *http.Request) {
	capacity, err := strconv.ParseFloat(cmp.Or(request.FormValue("bears"), "0"), 64)
	if err != nil || math.IsNaN(capacity) || capacity < 0 {
		http.Error(response, "bears is a number of requests a second", http.StatusBadRequest)
		return
	}
	writeJSON(response, s.pooler.Maintenance(capacity), "no machines are taken out: [works] is off")
}

// writeJSON answers with a value, or with status 404 and the given reason if the value is nil.
func writeJSON(response http.ResponseWriter, value any, reason string) {
	if value == nil {
		http.Error(response, reason, http.StatusNotFound)
		return
	}
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(value) // an error means that the client has disconnected
}

// writeText writes the body of a response.
func writeText(response http.ResponseWriter, text string) {
	_, _ = io.WriteString(response, text) // an error means that the client has disconnected
}

// statements answers with the statistics of parsed statements, or with status 503 after the call timeout.
func (s *Server) statements(response http.ResponseWriter, _ *http.Request) {
	done := make(chan *Statements, 1)
	go func() { done <- s.pooler.Statements() }()
	var statistics *Statements
	select {
	case statistics = <-done:
	case <-time.After(s.limits.CallTimeout):
		http.Error(response, "the pooler is busy", http.StatusServiceUnavailable)
		return
	}
	if statistics == nil {
		http.Error(response, "statements are not read: [statements] mode is off", http.StatusNotFound)
		return
	}
	text, err := json.MarshalIndent(statistics, "", " ")
	if err != nil {
		http.Error(response, err.Error(), http.StatusInternalServerError)
		return
	}
	response.Header().Set("Content-Type", "application/json")
	writeText(response, string(text)+"\n")
}

// exclusionResult is the result of Pooler.SetExcluded.
type exclusionResult struct {
	known bool // an endpoint has the name
	err   error
}

// exclusionHandler returns the handler that excludes an endpoint, or includes it again. It answers with status 503 if
// the change takes longer than the call timeout. The change may still take effect later.
func (s *Server) exclusionHandler(excluded bool) http.HandlerFunc {
	return func(response http.ResponseWriter, request *http.Request) {
		name := request.PathValue("id")
		done := make(chan exclusionResult, 1)
		go func() {
			known, err := s.pooler.SetExcluded(name, excluded)
			done <- exclusionResult{known, err}
		}()
		select {
		case result := <-done:
			s.answerExclusion(response, name, excluded, result)
		case <-time.After(s.limits.CallTimeout):
			http.Error(response, "the pooler is busy; it may still be done", http.StatusServiceUnavailable)
		}
	}
}

// answerExclusion logs the result of a change of the exclusions and answers with it.
func (s *Server) answerExclusion(response http.ResponseWriter, name string, excluded bool, result exclusionResult) {
	switch {
	case result.err != nil:
		s.log.Error().Err(result.err).Str("database", name).Bool("banned", excluded).Msg("exclusions: not saved")
		http.Error(response, "the exclusion cannot be saved", http.StatusInternalServerError)
	case !result.known:
		http.Error(response, "no database has this id", http.StatusNotFound)
	default:
		s.log.Info().Str("database", name).Bool("banned", excluded).Msg("exclusions: changed")
		writeText(response, "ok\n")
	}
}
