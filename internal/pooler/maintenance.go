package pooler

import (
	"net"
	"time"

	"capercove/internal/maintenance/agent"
	"capercove/internal/store"
)

// longestFreshness is how old data may be where no class says so.
const longestFreshness = time.Second

// startMaintenance starts the agent that takes machines out of service for planned maintenance. It has to run on the
// event loop.
func (p *Pooler) startMaintenance() {
	fresh := longestFreshness
	for _, class := range p.config.Settings.Classes {
		if class.MaxAge > 0 {
			fresh = min(fresh, class.MaxAge)
		}
	}
	var localAddress net.IP
	if host, _, err := net.SplitHostPort(p.operatorsFile.Membership.Listen); err == nil {
		localAddress = net.ParseIP(host)
	}
	p.maintenance = agent.Start(p.operatorsFile.Maintenance, agent.Pooler{
		Name:        p.config.Name,
		Core:        p.core,
		RunOnLoop:   p.loop.Do,
		Store:       p.store,
		Client:      store.NewClient(p.operatorsFile.recordAddresses(), p.limits.Store.CallTimeout, localAddress),
		Membership:  p.membership.State,
		Incarnation: p.membership.Incarnation,
		Joined:      p.membership.Joined,
		Zones:       p.config.Site.Zones,
		MaxLag:      fresh,
		Clock:       p.core.Now,
		Log:         p.log,
	})
	p.onEnd(p.maintenance.Stop)
}
