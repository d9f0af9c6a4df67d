package gossip

import (
	"maps"
	"time"
)

// A restarted pooler finds the others through the address file, even if no seed is running. The file contains only
// addresses, which are used like seeds. Which poolers are live is detected again.

// remember records the address of a failed pooler, up to maxAddresses in all. The caller holds mu.
func (g *Gossip) remember(name, addr string, now time.Duration) {
	if _, known := g.remembered[name]; known || len(g.remembered) < maxAddresses {
		g.remembered[name] = address{addr, now}
	}
}

// runSaver saves the addresses whenever they have changed, until Stop. It runs on a separate goroutine, because a disk
// that does not respond must not block the gossip periods.
func (g *Gossip) runSaver() {
	if g.config.Dir == "" {
		return
	}
	ticker := time.NewTicker(g.timing.Period)
	defer ticker.Stop()
	abandoned := temporaryFiles(g.config.Dir)
	cleanup := time.NewTimer(g.timing.RejoinInterval)
	defer cleanup.Stop()
	for {
		select {
		case <-ticker.C:
			g.saveAddresses(false)
		case <-cleanup.C:
			if err := removeAbandoned(abandoned); err != nil {
				g.log.Warn().Str("why", errorCause(err)).Msg("membership: stale files not removed")
			}
		case <-g.stop:
			return
		}
	}
}

// saveAddresses saves the addresses of members and of remembered poolers if they have changed. It saves at most once in
// each RejoinInterval, unless last is set. A failed attempt is retried by a later call.
func (g *Gossip) saveAddresses(last bool) {
	addresses, due := g.addressesToSave(last)
	if !due {
		return
	}
	err := saveAddressFile(g.config.Dir, g.config.Cluster, addresses, g.writeFile)
	cause := ""
	if err != nil {
		cause = errorCause(err)
	}
	before := g.recordSave(cause)
	switch {
	case cause == before:
	case err != nil:
		g.log.Error().Err(err).Msg("membership: addresses not saved, retrying")
	default:
		g.log.Info().Str("before", before).Msg("membership: addresses saved again")
	}
}

// addressesToSave returns the addresses to save now, and whether a save is due.
func (g *Gossip) addressesToSave(last bool) (addresses map[string]address, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if g.config.Dir == "" || !g.unsaved || !last && now-g.savedAt < g.timing.RejoinInterval {
		return nil, false
	}
	g.savedAt, g.unsaved = now, false
	addresses = maps.Clone(g.remembered)
	for name, member := range g.members {
		addresses[name] = address{member.node.Address(), now}
	}
	return addresses, true
}

// recordSave records the cause of a failed attempt, or "" for a successful one. It returns the cause of the previous
// attempt.
func (g *Gossip) recordSave(cause string) (before string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, g.saveError = g.saveError, cause
	if cause != "" {
		g.counters.SaveErrors++
		g.unsaved = true
	}
	return before
}
