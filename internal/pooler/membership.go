package pooler

import (
	"capercove/internal/clock"
	"capercove/internal/membership/gossip"
	"capercove/internal/peers"
)

// versionLength is how many characters of the build's version other poolers receive.
const versionLength = 12

// startMembership joins the other poolers, if the operators' file lets it, to exchange observations with them.
func (p *Pooler) startMembership() (err error) {
	settings := p.operatorsFile.Membership
	if !settings.Enabled {
		return nil
	}
	p.core.Observe()
	_, version, _ := Build()
	self := peers.Self{
		Version:    version[:min(len(version), versionLength)],
		Zone:       settings.Zone,
		Since:      p.clock().Milliseconds(),
		Listen:     p.config.Listen,
		Management: p.config.Management,
		Settings:   digest(p.config),
	}
	p.peers = peers.New(p.config.Name, settings.Uses, self, p.config.Settings.Routers, peers.Pooler{
		Core:        p.core,
		Do:          p.loop.Do,
		LimitIdle:   p.pool.LimitIdle,
		Connections: func() int { return p.front.ConnectionCount() + p.pool.Connections() },
		Log:         p.log,
	})
	p.membership, err = gossip.Start(p.config.Name, settings, settings.Timing(), p.log, clock.Monotonic(),
		p.peers.Period)
	if err != nil {
		return err
	}
	p.onEnd(func() { p.membership.Stop(p.limits.Membership.LeaveTimeout) })
	return nil
}
