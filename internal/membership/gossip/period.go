package gossip

import (
	"maps"
	"slices"
	"time"
)

// runPeriods calls runPeriod once in each gossip period, until Stop.
func (g *Gossip) runPeriods() {
	ticker := time.NewTicker(g.timing.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.runPeriod()
		case <-g.stop:
			return
		}
	}
}

// runPeriod detects ended poolers, publishes this pooler's values and sends the messages that are due.
func (g *Gossip) runPeriod() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.counters.Periods++
	g.disseminator.View.Expire(now)
	g.resolveDeparted(now)
	g.resolveUnconfirmed(now)
	values := g.observe(now, g.disseminator.View)
	for _, sent := range g.disseminator.NextMessages(now, values, slices.Sorted(maps.Keys(g.members))) {
		g.send(sent.To, messageOf(sent))
	}
	g.updateAgreement(now)
}

// resolveDeparted decides whether poolers that memberlist reported as departed left or failed. Their own announcement
// may arrive a little later than memberlist's report. The caller holds mu.
func (g *Gossip) resolveDeparted(now time.Duration) {
	for name, departed := range g.departed {
		incarnation, gone := g.disseminator.View.Incarnation(name)
		left := gone && g.disseminator.View.HasLeft(name)
		if !left && now-departed.lostAt < departedPeriods*g.timing.Period {
			continue
		}
		delete(g.departed, name)
		why := "it has left"
		if left {
			delete(g.remembered, name)
		} else {
			why = "it does not answer"
			g.disseminator.MarkFailed(now, name)
			g.remember(name, departed.node.Address(), now)
		}
		g.unsaved = true
		g.log.Info().Str("pooler", name).Uint64("incarnation", incarnation).Str("why", why).
			Msg("membership: pooler gone")
	}
}

// resolveUnconfirmed marks poolers as failed that memberlist has not found within unconfirmedRejoins RejoinIntervals of
// their newest fact. A pooler may fail or become unreachable after its first facts have spread, but before memberlist
// has reported it here. Without this check its failure would not be detected until its facts expire. A pooler that is
// running refutes the mark. The caller holds mu.
func (g *Gossip) resolveUnconfirmed(now time.Duration) {
	live := g.disseminator.View.Live()
	maps.DeleteFunc(g.unconfirmed, func(name string, _ unconfirmedPooler) bool {
		_, isLive := slices.BinarySearch(live, name)
		return !isLive
	})
	for _, name := range live {
		if name == g.name || g.members[name] != nil || g.departed[name] != nil {
			delete(g.unconfirmed, name)
			continue
		}
		pooler, known := g.unconfirmed[name]
		latest := g.disseminator.View.LatestSequence(name)
		switch {
		case !known || latest != pooler.latest:
			g.unconfirmed[name] = unconfirmedPooler{latest, now}
		case now-pooler.since >= unconfirmedRejoins*g.timing.RejoinInterval:
			delete(g.unconfirmed, name)
			g.disseminator.MarkFailed(now, name)
			g.log.Info().Str("pooler", name).Str("why", "it was never found").Msg("membership: pooler gone")
		}
	}
}

// updateAgreement checks whether all views agree, and logs a change. The caller holds mu.
func (g *Gossip) updateAgreement(now time.Duration) {
	digest := g.disseminator.View.Digest()
	g.digest.Store(digest)
	present := make(map[string]bool, len(g.members))
	for name := range g.members {
		present[name] = true
	}
	if g.agreement.update(now, digest, present) {
		g.log.Info().Bool("agree", g.agreement.agrees).Int("poolers", len(present)+1).
			Msg("membership: agreement of views changed")
	}
}
