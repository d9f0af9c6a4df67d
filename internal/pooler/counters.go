package pooler

import (
	"time"

	"capercove/internal/clock"
	"capercove/internal/core"
)

// storedState is what the replicated store holds of a running pooler, under "state/" and its name.
type storedState struct {
	At      time.Time                           `json:"at"` // UTC
	Fronts  map[string]map[string]*core.Answers `json:"fronts"`
	Members []string                            `json:"members"`
	Open    int                                 `json:"open"` // requests
}

// storeState stores this pooler's state periodically.
func (p *Pooler) storeState(name string) {
	p.store.Put("state/"+name, storedState{
		At:      clock.Wall().UTC(),
		Fronts:  p.core.Counters().Fronts,
		Members: p.core.MemberNames(),
		Open:    p.core.OpenRequests(),
	})
	p.core.Wheel.Schedule(p.core.Now()+p.limits.Store.SaveInterval, func() { p.storeState(name) })
}

// logCounters logs the counters of all parts that are on. The fields' names are a contract with readers of the log.
func (p *Pooler) logCounters(message string) {
	line := p.log.Info().Interface("core", p.core.Counters()).Interface("front", p.front.Counters()).
		Interface("pool", p.pool.Counters()).Int64("accepts_failed", p.loop.AcceptsFailed()).
		Int("open", p.core.OpenRequests()).Interface("buffers", p.front.Buffers()).Interface("memory", p.readMemory())
	if p.quota != nil {
		line = line.Int("takes", p.quota.Quota())
	}
	if p.flight != nil {
		line = line.Interface("flight", p.flight.Counts())
	}
	if p.store != nil {
		line = line.Interface("store", p.store.All())
	}
	if counters := p.intake.StatementCounters(); counters != nil {
		line = line.Interface("statements", counters)
	}
	if controller := p.core.AdmissionFigures(); controller != nil {
		line = line.Interface("door", controller)
	}
	line.Msg(message)
}
