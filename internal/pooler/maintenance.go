package pooler

import (
	"net"
	"time"

	"capercove/internal/maintenance/agent"
	"capercove/internal/store"
)

// work lets the pooler take part in taking machines out.
func (p *program) work() *agent.Agent {
	cfg := p.config
	fresh := time.Second // where no class says how old its data may be
	for _, class := range cfg.Settings.Classes {
		if class.MaxAge > 0 {
			fresh = min(fresh, class.MaxAge)
		}
	}
	var from net.IP
	if host, _, err := net.SplitHostPort(p.own.Fleet.Listen); err == nil {
		from = net.ParseIP(host)
	}
	return agent.Start(p.own.Works, agent.Pooler{Name: cfg.Name, Core: p.core, Do: p.loop.Do, Store: p.store,
		Client: store.NewClient(p.own.records(), p.limits.StoreWait, from), Fleet: p.fleet.State, Incarnation: p.fleet.Incarnation, Joined: p.fleet.Joined,
		Zones: cfg.Facts.Zones, Fresh: fresh, Clock: p.core.Now, Log: p.log})
}
