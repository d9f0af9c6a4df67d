package gossip

import "time"

// runRejoin contacts seeds and remembered addresses that are not among the members, until Stop. After a network
// partition, the two sides have no other way to find each other.
func (g *Gossip) runRejoin() {
	for wait := g.timing.RejoinInterval / firstRejoinFraction; ; {
		select {
		case <-time.After(wait):
		case <-g.stop:
			return
		}
		var addresses []string
		addresses, wait = g.nextRejoin()
		for _, address := range addresses {
			g.contact(address)
			select {
			case <-g.stop:
				return
			default:
			}
		}
	}
}

// nextRejoin returns the addresses to contact now, and how long to wait afterwards.
func (g *Gossip) nextRejoin() (addresses []string, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := map[string]bool{g.config.Advertise: true, g.config.Listen: true}
	for _, member := range g.members {
		present[member.node.Address()] = true
	}
	// Seeds are contacted even if there are members: two separate halves may have formed before the seeds were running.
	for _, seed := range g.config.Seeds {
		if !present[seed] {
			addresses = append(addresses, seed)
		}
	}
	for name, known := range g.remembered { // a few at a time, in random order
		if present[known.addr] || g.disseminator.View.HasLeft(name) {
			delete(g.remembered, name)
		} else if len(addresses) < rejoinAddresses+len(g.config.Seeds) {
			addresses = append(addresses, known.addr)
		}
	}
	interval := g.timing.RejoinInterval
	return addresses, interval/2 + time.Duration(g.random.Int64N(int64(interval)))
}

// contact makes memberlist join through an address. Failures are expected, and retried by runRejoin.
func (g *Gossip) contact(address string) {
	g.mu.Lock()
	list := g.list
	g.mu.Unlock()
	reached, _ := list.Join([]string{address})
	if reached == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counters.Rejoins++
}
