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

// hexadecimal is the base in which digests are written.
const hexadecimal = 16

// operatorsFile is the operators' file: one table for each subsystem, under its name in the file.
type operatorsFile struct {
	Flight      flight.Config    `toml:"flight"`
	Store       store.Config     `toml:"store"`
	Traffic     pcap.Config      `toml:"pcap"`
	Admission   admission.Config `toml:"door"`
	Statements  statement.Config `toml:"statements"`
	Membership  gossip.Config    `toml:"fleet"`
	Maintenance agent.Config     `toml:"works"`
}

// defaultOperatorsFile is what an empty file means: all subsystems are off.
func defaultOperatorsFile() operatorsFile {
	return operatorsFile{
		Traffic:     pcap.Defaults(),
		Admission:   admission.Defaults(),
		Statements:  statement.Defaults(),
		Maintenance: agent.Defaults(),
	}
}

// loadOperatorsFile reads the operators' file over the defaults, and checks what concerns more than one table.
func loadOperatorsFile() (operatorsFile, error) {
	loaded := defaultOperatorsFile()
	if err := tables.Load(&loaded); err != nil {
		return loaded, err
	}
	if !loaded.Maintenance.Enabled {
		return loaded, nil
	}
	if !loaded.Membership.Enabled {
		return loaded, errors.New("works.enabled: poolers have to know each other, and [fleet] is off")
	}
	if len(loaded.recordAddresses()) == 0 {
		return loaded, errors.New("works.record: empty, and [store] is off or has no api")
	}
	return loaded, nil
}

// recordAddresses are the store's HTTP addresses that hold the record of planned maintenance, the own first.
func (f operatorsFile) recordAddresses() (addresses []string) {
	if len(f.Maintenance.RecordAddresses) > 0 {
		return f.Maintenance.RecordAddresses
	}
	if !f.Store.Enabled || f.Store.API == "" {
		return nil
	}
	addresses = append(addresses, f.Store.API)
	for _, peer := range f.Store.Peers {
		if peer.API != f.Store.API {
			addresses = append(addresses, peer.API)
		}
	}
	return addresses
}

// CheckConfiguration reads the files as a start does, and starts nothing. The platform's file is read only if
// GW_CONFIG names one.
func CheckConfiguration() error {
	if _, err := loadOperatorsFile(); err != nil {
		return err
	}
	if os.Getenv("GW_CONFIG") == "" {
		return nil
	}
	_, err := config.Load()
	return err
}

// limitsOf returns the limits of a configuration.
func limitsOf(c config.Config, operators operatorsFile) limits.Limits {
	machine := c.Machine
	machine.Flight = operators.Flight.Listen != ""
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return limits.For(machine, limits.Timeouts{
		Connect: c.Site.ConnectTimeout, Keepalive: c.Site.Keepalive, LongestDeadline: longest,
		StreamsPerConnection: c.Site.StreamsPerConnection,
	})
}

// coreSettings returns the core's part of the configuration.
func coreSettings(c config.Config) core.Settings {
	return core.Settings{Settings: c.Settings, Names: c.Site.Classes}
}

// members returns an endpoint list in the core's form. Zones are numbered as in the list of zones.
func members(list discovery.List, zones []string) []core.Member {
	all := make([]core.Member, 0, len(list.Members))
	for _, entry := range list.Members {
		all = append(all, core.Member{Node: entry.Node(zones), Name: entry.ID, Addr: entry.Addr})
	}
	return all
}

// digest returns a hash of the settings, by which poolers tell whether theirs are the same.
func digest(c config.Config) string {
	hash := fnv.New64a()
	_ = json.NewEncoder(hash).Encode(c.Settings) // a hash takes all, and the settings were JSON
	return strconv.FormatUint(hash.Sum64(), hexadecimal)
}
