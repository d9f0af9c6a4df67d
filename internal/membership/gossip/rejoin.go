package gossip

import (
	"time"
)

// rejoin tries seeds that are not there, and addresses of those that are gone: neither side of a cut that is over has another
// way to find the other.
func (g *Gossip) rejoin() {
	wait := g.pace.Rejoin / 10
	for {
		select {
		case <-time.After(wait):
		case <-g.stop:
			return
		}
		var try []string
		g.mu.Lock()
		there := map[string]bool{g.config.Advertise: true, g.config.Listen: true}
		for _, p := range g.members {
			there[p.node.Address()] = true
		}
		// Against two halves that found each their own before their seeds were up: having somebody is not enough.
		for _, seed := range g.config.Seeds {
			if !there[seed] {
				try = append(try, seed)
			}
		}
		for name, a := range g.remembered { // in any order, a few at a time
			if there[a.at] || g.talk.View.HasLeft(name) {
				delete(g.remembered, name)
			} else if len(try) < tries+len(g.config.Seeds) {
				try = append(try, a.at)
			}
		}
		wait = g.pace.Rejoin/2 + time.Duration(g.random.Int64N(int64(g.pace.Rejoin)))
		list := g.list
		g.mu.Unlock()
		for _, addr := range try {
			if n, _ := list.Join([]string{addr}); n > 0 {
				g.mu.Lock()
				g.count.Joins++
				g.mu.Unlock()
			}
			select {
			case <-g.stop:
				return
			default:
			}
		}
	}
}
