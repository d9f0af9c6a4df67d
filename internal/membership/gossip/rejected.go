package gossip

// turnDown counts and logs what is not taken in.
func (g *Gossip) turnDown(count *int64, why string) {
	g.mu.Lock()
	*count++
	g.mu.Unlock()
	g.bad(why)
}

// bad logs bad input, at most one line a kind and time.
func (g *Gossip) bad(why string) {
	g.mu.Lock()
	now := g.clock()
	last, seen := g.logged[why]
	said := seen && now-last < g.pace.LogEach
	if !said {
		if len(g.logged) >= rememberedMost { // Against texts made up without end.
			clear(g.logged)
		}
		g.logged[why] = now
	}
	g.mu.Unlock()
	if !said {
		g.log.Warn().Str("why", why).Msg("fleet: bad input")
	}
}
