package gossip

import (
	"maps"
	"slices"
	"time"
)

// run talks, period by period.
func (g *Gossip) run() {
	tick := time.NewTicker(g.pace.Period)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-g.stop:
			return
		}
		g.mu.Lock()
		now := g.clock()
		g.count.Periods++
		g.talk.View.Expire(now)
		g.judge(now)
		values := g.period(now, g.talk.View)
		for _, m := range g.talk.NextMessages(now, values, slices.Sorted(maps.Keys(g.members))) {
			g.send(m.To, wire{Facts: m.Updates.Facts, Ends: m.Updates.Ends, Summary: m.Summary, Step: step(m)})
		}
		g.agree(now)
		g.mu.Unlock()
	}
}

// judge says of those that went a moment ago whether they left or crashed; mu is held. Their own word and the library's come by
// different ways, in any order.
func (g *Gossip) judge(now time.Duration) {
	for name, p := range g.missing {
		incarnation, gone := g.talk.View.Incarnation(name)
		left := gone && g.talk.View.HasLeft(name)
		if !left && now-p.went < verdict*g.pace.Period {
			continue
		}
		delete(g.missing, name)
		why := "it has left"
		if !left {
			why = "it does not answer"
			g.talk.MarkFailed(now, name)
			g.remember(name, p.node.Address(), now)
		} else {
			delete(g.remembered, name)
		}
		g.changed = true
		g.log.Info().Str("pooler", name).Uint64("incarnation", incarnation).Str("why", why).Msg("fleet: is gone")
	}
	g.judgeUnmet(now)
}

// judgeUnmet finds those to be gone whom the library has not found by a while after their last word; mu is held. A cut or a crash
// may come after a pooler's first words have gone round and before the library has told of it here: nothing else would then ever
// miss it, until its words are forgotten. One that lives refutes it.
func (g *Gossip) judgeUnmet(now time.Duration) {
	live := g.talk.View.Live()
	maps.DeleteFunc(g.unmet, func(name string, _ unmet) bool { _, there := slices.BinarySearch(live, name); return !there })
	for _, name := range live {
		if name == g.name || g.members[name] != nil || g.missing[name] != nil {
			delete(g.unmet, name)
			continue
		}
		u, known := g.unmet[name]
		if latest := g.talk.View.LatestSequence(name); !known || latest != u.latest {
			g.unmet[name] = unmet{latest, now}
		} else if now-u.since >= unmetFor*g.pace.Rejoin {
			delete(g.unmet, name)
			g.talk.MarkFailed(now, name)
			g.log.Info().Str("pooler", name).Str("why", "it was never found").Msg("fleet: is gone")
		}
	}
}

// agree follows whether all views are the same; mu is held.
func (g *Gossip) agree(now time.Duration) {
	digest := g.talk.View.Digest()
	g.digest.Store(digest)
	there := make(map[string]bool, len(g.members))
	for name := range g.members {
		there[name] = true
	}
	if g.agreement.step(now, digest, there) {
		g.log.Info().Bool("agree", g.agreement.agrees).Int("poolers", len(there)+1).Msg("fleet: views")
	}
}
