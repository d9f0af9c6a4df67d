package pooler

import (
	"reflect"
	"slices"

	"capercove/internal/intake"
	"capercove/internal/tenant"
)

// reload takes in the configuration as it is now, without touching a request or a connection. A bad one changes
// nothing. Discovery's address and the settings are followed; what else has changed counts from the next start on.
func (p *program) reload() {
	c, err := p.config.Reload()
	var own file
	if err == nil {
		own, err = load()
	}
	var rules *tenant.Rules
	if err == nil {
		rules, err = own.Door.TenantRules()
	}
	if err != nil {
		p.loop.Do(p.core.ReloadRejected)
		p.log.Error().Err(err).Msg("reload: the configuration is kept")
		return
	}
	for key, changed := range map[string]bool{"name": c.Name != p.config.Name, "listen": c.Listen != p.config.Listen,
		"limits": c.Machine != p.config.Machine, "management": c.Management != p.config.Management,
		"settings.zones": !slices.Equal(c.Facts.Zones, p.config.Facts.Zones),
		"flight":         !reflect.DeepEqual(own.Flight, p.own.Flight), "store": !reflect.DeepEqual(own.Store, p.own.Store),
		"fleet": !reflect.DeepEqual(own.Fleet, p.own.Fleet), "works": !reflect.DeepEqual(own.Works, p.own.Works),
		"pcap": own.Pcap != p.own.Pcap, "door.enabled": own.Door.Enabled != p.own.Door.Enabled} {
		if changed {
			p.log.Warn().Str("key", key).Msg("reload: changed, but counts only from the next start on")
		}
	}
	p.log.Info().Str("discovery", c.Discovery).Msg("reloaded")
	if p.peers != nil {
		p.peers.Configured(digest(c), c.Settings.Routers)
	}
	p.config = c
	fair := p.own.Door.Enabled
	p.own.Door = own.Door
	p.own.Door.Enabled = fair
	l := limitsOf(c, p.own)
	p.loop.Do(func() {
		p.core.Reconfigure(settings(c))
		p.intake.Statements(own.Statements, l.Shapes, c.Seed, l.LogEvery, p.log)
		if fair {
			p.intake.ClassifyTenants(rules, intake.ClientKind(own.Door.Client))
			p.core.ReconfigureAdmission(own.Door)
		}
		p.limits.Linger, p.limits.Stop = l.Linger, l.Stop
		p.pool.Retune(l)
	})
	p.watch.Move(c.Discovery)
}
