package pooler

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"os"
	"strconv"
	"time"

	"capercove/internal/admission"
	"capercove/internal/config"
	"capercove/internal/config/tables"
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/flight"
	"capercove/internal/limits"
	"capercove/internal/maintenance/agent"
	"capercove/internal/membership/gossip"
	"capercove/internal/pcap"
	"capercove/internal/statement"
	"capercove/internal/store"
)

// file is the operators' file.
type file struct {
	Flight     flight.Config    `toml:"flight"`
	Store      store.Config     `toml:"store"`
	Pcap       pcap.Config      `toml:"pcap"`
	Door       admission.Config `toml:"door"`
	Statements statement.Config `toml:"statements"`
	Fleet      gossip.Config    `toml:"fleet"`
	Works      agent.Config     `toml:"works"`
}

// defaults is what an empty file means: all off.
func defaults() file {
	return file{Pcap: pcap.Defaults(), Door: admission.Defaults(), Statements: statement.Defaults(), Works: agent.Defaults()}
}

// load reads the operators' file over the defaults.
func load() (own file, err error) {
	own = defaults()
	if err := tables.Load(&own); err != nil {
		return own, err
	}
	switch w := own.Works; {
	case w.Enabled && !own.Fleet.Enabled:
		return own, errors.New("works.enabled: poolers have to know each other, and [fleet] is off")
	case w.Enabled && len(own.records()) == 0:
		return own, errors.New("works.record: empty, and [store] is off or has no api")
	}
	return own, nil
}

// records are the addresses at which the record of works is called, the own first.
func (f file) records() (apis []string) {
	if len(f.Works.Record) > 0 {
		return f.Works.Record
	}
	if f.Store.Enabled && f.Store.API != "" {
		apis = append(apis, f.Store.API)
		for _, p := range f.Store.Peers {
			if p.API != f.Store.API {
				apis = append(apis, p.API)
			}
		}
	}
	return apis
}

// limitsOf are the limits that a configuration asks for.
func limitsOf(c config.Config, own file) limits.Limits {
	machine := c.Machine
	machine.Flight = own.Flight.Listen != ""
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return limits.For(machine, c.Facts.Connect, c.Facts.Keepalive, longest)
}

// settings are the core's part of the configuration.
func settings(c config.Config) core.Settings {
	return core.Settings{Settings: c.Settings, Names: c.Facts.Classes}
}

// members is a list in the core's form.
func members(l discovery.List, zones []string) []core.Member {
	all := make([]core.Member, 0, len(l.Members))
	for _, e := range l.Members {
		all = append(all, core.Member{Node: e.Node(zones), Name: e.ID, Addr: e.Addr})
	}
	return all
}

// digest tells settings apart.
func digest(c config.Config) string {
	h := fnv.New64a()
	json.NewEncoder(h).Encode(c.Settings)
	return strconv.FormatUint(h.Sum64(), 16)
}

// Check reads the files as a start does, and begins nothing.
func Check() error {
	if _, err := load(); err != nil {
		return err
	}
	if os.Getenv("GW_CONFIG") == "" {
		return nil
	}
	_, err := config.Load()
	return err
}
