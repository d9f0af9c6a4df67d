package gossip

import (
	"maps"
	"time"
)

// A pooler that restarts finds the others through a small file, also when no seed is up. It holds addresses alone and counts as
// no more than a seed: who is there is found out anew.

// keepRemembered writes the remembered members whenever they have changed. It has a goroutine of its own: a disk
// that hangs must not keep the fleet from talking.
func (g *Gossip) keepRemembered() {
	if g.config.Dir == "" {
		return
	}
	tick := time.NewTicker(g.pace.Period)
	defer tick.Stop()
	leftOver := temporaries(g.config.Dir)
	clean := time.NewTimer(g.pace.Rejoin)
	defer clean.Stop()
	for {
		select {
		case <-tick.C:
			g.keep(false)
		case <-clean.C:
			if err := removeUnchanged(leftOver); err != nil {
				g.log.Warn().Str("why", cause(err)).Msg("fleet: files that were left behind cannot be removed")
			}
		case <-g.stop:
			return
		}
	}
}

// keep writes the remembered members and those that are there, if they have changed. What could not be written is
// written again later.
func (g *Gossip) keep(last bool) {
	g.mu.Lock()
	now := g.clock()
	if g.config.Dir == "" || !g.changed || !last && now-g.kept < g.pace.Rejoin {
		g.mu.Unlock()
		return
	}
	g.kept, g.changed = now, false
	members := maps.Clone(g.remembered)
	for name, p := range g.members {
		members[name] = address{p.node.Address(), now}
	}
	g.mu.Unlock()
	err := keep(g.config.Dir, g.config.Cluster, members, g.write)
	why := ""
	if err != nil {
		why = cause(err)
	}
	g.mu.Lock()
	before := g.unkept
	g.unkept = why
	if err != nil {
		g.count.Unkept++
		g.changed = true
	}
	g.mu.Unlock()
	switch {
	case why == before:
	case err != nil:
		g.log.Error().Err(err).Msg("fleet: the members cannot be remembered; tried again")
	default:
		g.log.Info().Str("before", before).Msg("fleet: the members are remembered again")
	}
}

// remember keeps an address, within the bound; mu is held.
func (g *Gossip) remember(name, at string, now time.Duration) {
	if _, has := g.remembered[name]; has || len(g.remembered) < rememberedMost {
		g.remembered[name] = address{at, now}
	}
}
