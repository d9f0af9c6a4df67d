package pooler

import (
	"time"
)

// keep stores this pooler's state, again and again.
func (p *program) keep(name string) {
	p.store.Put("state/"+name, map[string]any{"at": time.Now().UTC(), "open": p.core.Open(),
		"fronts": p.core.Count.Fronts, "members": p.core.Members()})
	p.core.Wheel.At(p.core.Now()+p.limits.StoreEvery, func() { p.keep(name) })
}

func (p *program) counters(what string) {
	line := p.log.Info().Interface("core", p.core.Count).Interface("front", p.front.Count).
		Interface("pool", p.pool.Count).Int64("accepts_failed", p.loop.AcceptsFailed()).Int("open", p.core.Open())
	if p.beside != nil {
		line = line.Int("takes", p.beside.Takes())
	}
	if p.flight != nil {
		line = line.Interface("flight", p.flight.Counts())
	}
	if p.store != nil {
		line = line.Interface("store", p.store.All())
	}
	if r := p.intake.Readings(); r != nil {
		line = line.Interface("statements", r)
	}
	if d := p.core.Admission(); d != nil {
		line = line.Interface("door", d)
	}
	line.Msg(what)
}
