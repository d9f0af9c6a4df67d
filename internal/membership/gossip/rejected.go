package gossip

// reject increments a counter and logs why input was rejected.
func (g *Gossip) reject(counter *int64, reason string) {
	g.mu.Lock()
	*counter++
	g.mu.Unlock()
	g.logRejected(reason)
}

// logRejected logs why input was rejected, at most once in each LogInterval for the same reason.
func (g *Gossip) logRejected(reason string) {
	if g.mayLog(reason) {
		g.log.Warn().Str("why", reason).Msg("membership: bad input")
	}
}

func (g *Gossip) mayLog(reason string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if last, logged := g.lastLogged[reason]; logged && now-last < g.timing.LogInterval {
		return false
	}
	if len(g.lastLogged) >= maxAddresses { // Reasons contain names that other senders choose.
		clear(g.lastLogged)
	}
	g.lastLogged[reason] = now
	return true
}
