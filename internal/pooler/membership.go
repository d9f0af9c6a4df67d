package pooler

import (
	"time"

	"capercove/internal/clock"
	"capercove/internal/membership/gossip"
	"capercove/internal/peers"
)

// join lets the pooler take part in the fleet.
func (p *program) join() (err error) {
	cfg, own := p.config, p.own.Fleet
	p.core.Observe()
	_, version, _ := Build()
	self := peers.Self{Version: version[:min(len(version), 12)], Zone: own.Zone, Since: time.Now().UnixMilli(), Listen: cfg.Listen, Management: cfg.Management,
		Settings: digest(cfg)}
	p.peers = peers.New(cfg.Name, own.Uses, self, cfg.Settings.Routers, peers.Pooler{Core: p.core, Do: p.loop.Do, Keep: p.pool.Keep,
		Connections: func() int { return p.front.Clients() + p.pool.Conns() }, Log: p.log})
	p.fleet, err = gossip.Start(cfg.Name, own, own.Timing(), p.log, clock.Monotonic(), p.peers.Period)
	return err
}
