package pcap

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/core"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/tenant"
)

// frontName is the name of replays among the frontends, in figures and for tenants.
const frontName = "pcap"

// Replay runs the queries of a file through the core at the file's pace. It is the core.Client of all of them.
type Replay struct {
	Config  Config
	Limits  limits.Traffic
	Log     zerolog.Logger
	Core    *core.Core
	Intake  *intake.Intake
	Backend intake.PostgresBackend
	Do      func(func())    // runs a function on the core's goroutine
	Stop    <-chan struct{} // closed to end the replay

	slots    chan struct{} // holds one element for each open request
	rejected atomic.Int64  // statements of which the intake made no request
}

// Run reads the file to its end, or until Stop, and waits for the answers. It has a goroutine of its own.
func (r *Replay) Run() {
	r.slots = make(chan struct{}, r.Limits.MaxReplayedRequests)
	pace := pacer{speed: r.Config.Speed}
	counters, err := Read(r.Config.Read, r.Config.Port, r.Limits, func(query Query) bool {
		if !r.sleepUntil(pace.due(query.At)) || !r.takeSlot() {
			return false
		}
		r.Do(func() { r.submit(query.SQL) })
		return true
	})
	r.awaitAnswers()
	r.Log.Info().
		Err(err).
		Str("file", r.Config.Read).
		Interface("count", counters).
		Int64("not_taken", r.rejected.Load()).
		Msg("pcap: read")
}

// pacer turns times of the file into times of the replay. The first query is due at once.
type pacer struct {
	speed      float64
	first      time.Time // when the first query was captured; zero before it
	firstIsDue time.Time // when the replay reached the first query
}

// due returns when a query is due that was captured at some time.
func (p *pacer) due(captured time.Time) time.Time {
	if p.first.IsZero() {
		p.first, p.firstIsDue = captured, time.Now()
	}
	sinceFirst := float64(captured.Sub(p.first))
	return p.firstIsDue.Add(time.Duration(sinceFirst / p.speed))
}

// sleepUntil waits until a time. It returns false if the replay is stopped before.
func (r *Replay) sleepUntil(due time.Time) bool {
	select {
	case <-r.Stop:
		return false
	case <-time.After(time.Until(due)):
		return true
	}
}

// takeSlot waits until one more request may be open. It returns false if the replay is stopped.
func (r *Replay) takeSlot() bool {
	select {
	case <-r.Stop:
		return false
	case r.slots <- struct{}{}:
		return true
	}
}

// releaseSlot ends the use of a slot, as a request has its answer.
func (r *Replay) releaseSlot() { <-r.slots }

// awaitAnswers waits until no request is open, by taking all slots.
func (r *Replay) awaitAnswers() {
	for range cap(r.slots) {
		r.slots <- struct{}{}
	}
}

// submit makes a request of a statement and hands it to the core, on the core's goroutine.
func (r *Replay) submit(sql string) {
	request, _ := r.Intake.PostgresRequest(frontName, sql, tenant.Caller{}, r.Backend)
	if request == nil {
		r.rejected.Add(1)
		r.releaseSlot()
		return
	}
	request.Client = r
	r.Core.Submit(request)
}

// Served implements core.Client. The core counts the answer; the value is dropped.
func (r *Replay) Served([]byte) { r.releaseSlot() }

// Rejected implements core.Client.
func (r *Replay) Rejected(time.Duration) { r.releaseSlot() }

// Failed implements core.Client.
func (r *Replay) Failed(core.Failure) { r.releaseSlot() }
