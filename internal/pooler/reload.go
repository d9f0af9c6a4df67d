package pooler

import (
	"maps"
	"reflect"
	"slices"

	"capercove/internal/config"
	"capercove/internal/intake"
	"capercove/internal/tenant"
)

// reload applies the configuration as it is now, without touching a request or a connection. A wrong one changes
// nothing. The address of discovery and the settings are followed; all other changes take effect at the next start.
func (p *Pooler) reload() {
	loaded, operators, rules, err := p.loadAgain()
	if err != nil {
		p.loop.Do(p.core.ReloadRejected)
		p.log.Error().Err(err).Msg("reload: rejected, the configuration stays")
		return
	}
	for _, key := range p.needRestart(loaded, operators) {
		p.log.Warn().Str("key", key).Msg("reload: changed keys take effect at the next start")
	}
	p.log.Info().Str("discovery", loaded.Discovery).Msg("reload: done")
	if p.peers != nil {
		p.peers.Reconfigure(digest(loaded), loaded.Settings.Routers)
	}
	p.config = loaded
	admissionOn := p.operatorsFile.Admission.Enabled
	p.operatorsFile.Admission = operators.Admission
	p.operatorsFile.Admission.Enabled = admissionOn
	bounds := limitsOf(loaded, p.operatorsFile)
	p.loop.Do(func() {
		p.core.Reconfigure(coreSettings(loaded))
		p.intake.ConfigureStatements(operators.Statements, bounds.Statements, loaded.Seed, p.log)
		if admissionOn {
			p.intake.ClassifyTenants(rules, intake.ClientKind(operators.Admission.Client))
			p.core.ReconfigureAdmission(operators.Admission)
		}
		p.limits.Shutdown = bounds.Shutdown
		p.pool.Reconfigure(bounds.Backend)
		if p.flightBackend != nil {
			p.flightBackend.Reconfigure(bounds.Flight)
		}
	})
	p.discovery.Move(loaded.Discovery)
}

// loadAgain reads both files and the tenants' rules of the second.
func (p *Pooler) loadAgain() (loaded config.Config, operators operatorsFile, rules *tenant.Rules, err error) {
	if loaded, err = config.Reload(); err != nil {
		return loaded, operators, nil, err
	}
	if operators, err = loadOperatorsFile(); err != nil {
		return loaded, operators, nil, err
	}
	rules, err = operators.Admission.TenantRules()
	return loaded, operators, rules, err
}

// needRestart lists, sorted, the keys and tables that differ from the running ones and are not followed by a reload.
func (p *Pooler) needRestart(loaded config.Config, operators operatorsFile) []string {
	differs := map[string]bool{
		"name":           loaded.Name != p.config.Name,
		"listen":         loaded.Listen != p.config.Listen,
		"limits":         loaded.Machine != p.config.Machine,
		"management":     loaded.Management != p.config.Management,
		"settings.zones": !slices.Equal(loaded.Site.Zones, p.config.Site.Zones),
		"flight":         !reflect.DeepEqual(operators.Flight, p.operatorsFile.Flight),
		"store":          !reflect.DeepEqual(operators.Store, p.operatorsFile.Store),
		"fleet":          !reflect.DeepEqual(operators.Membership, p.operatorsFile.Membership),
		"works":          !reflect.DeepEqual(operators.Maintenance, p.operatorsFile.Maintenance),
		"pcap":           operators.Traffic != p.operatorsFile.Traffic,
		"door.enabled":   operators.Admission.Enabled != p.operatorsFile.Admission.Enabled,
	}
	maps.DeleteFunc(differs, func(_ string, changed bool) bool { return !changed })
	return slices.Sorted(maps.Keys(differs))
}
