package lab

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"capercove/internal/faults"
	"capercove/internal/scenario"
)

const (
	maxSeeds = 2 // poolers that are named to the others as seeds of the membership

	// Poolers have addresses from 127.100.0.1 on, and their relays from 127.115.0.1 on. The lab's process ID chooses
	// the middle bytes, so that labs that run side by side do not collide.
	firstOwnNetwork    = 100
	firstPublicNetwork = 115
	networks           = 15
	hostsPerNetwork    = 250
)

// poolerLinks is the links between the poolers of a real run, with a relay in front of each pooler. It is empty
// where the poolers do not exchange anything.
type poolerLinks struct {
	scenario        *scenario.Scenario
	network         *faults.Net
	listenAddresses []string
	publicAddresses []string // of the relays
	relays          []*faults.Relay
}

// loopback returns the address of a pooler, numbered from 0, in the networks from the first.
func loopback(firstNetwork, pooler int) netip.Addr {
	process := os.Getpid()
	network := firstNetwork + process/hostsPerNetwork%networks
	return netip.AddrFrom4([4]byte{127, byte(network), byte(process % hostsPerNetwork), byte(1 + pooler)})
}

// newPoolerLinks starts the relays.
func newPoolerLinks(described *scenario.Scenario) (*poolerLinks, error) {
	links := &poolerLinks{scenario: described, network: faults.New(described.Seed)}
	if !described.Fleet.Enabled {
		return links, nil
	}
	for number := range described.Poolers {
		own, public := loopback(firstOwnNetwork, number), loopback(firstPublicNetwork, number)
		listenAddress, relay, err := links.network.Place(scenario.PoolerName(number), own, public)
		if err != nil {
			links.close()
			return nil, err
		}
		links.listenAddresses = append(links.listenAddresses, listenAddress)
		links.publicAddresses = append(links.publicAddresses, relay.Addr())
		links.relays = append(links.relays, relay)
	}
	return links, nil
}

// close ends the relays.
func (links *poolerLinks) close() {
	for _, relay := range links.relays {
		relay.Close()
	}
}

// fleetTable returns table [fleet] of a pooler's operators' file, empty where the poolers do not exchange anything.
func (links *poolerLinks) fleetTable(pooler int) string {
	settings := links.scenario.Fleet
	if !settings.Enabled {
		return ""
	}
	var seeds []string
	for number, address := range links.publicAddresses[:min(maxSeeds, len(links.publicAddresses))] {
		if number != pooler {
			seeds = append(seeds, fmt.Sprintf("%q", address))
		}
	}
	lines := []string{
		"[fleet]",
		"enabled = true",
		`cluster = "lab"`,
		fmt.Sprintf("listen = %q", links.listenAddresses[pooler]),
		fmt.Sprintf("advertise = %q", links.publicAddresses[pooler]),
		fmt.Sprintf("seeds = [%s]", strings.Join(seeds, ", ")),
		fmt.Sprintf("slower = %v", settings.Slower),
		fmt.Sprintf("count = %v", settings.Count),
		fmt.Sprintf("doubt = %v", settings.Suspicion),
		fmt.Sprintf("connections = %d", settings.Connections),
	}
	return strings.Join(lines, "\n") + "\n"
}

// inject applies a fault to the links that it names.
func (links *poolerLinks) inject(fault scenario.Fault) {
	var state faults.Link
	switch fault.Kind {
	case scenario.FaultPartition:
		state.Cut = true
	case scenario.FaultLoss:
		state.Loss = fault.Factor
	}
	links.set(fault, state)
}

// repair ends a fault.
func (links *poolerLinks) repair(fault scenario.Fault) { links.set(fault, faults.Link{}) }

// set sets the state of the links that a fault names.
func (links *poolerLinks) set(fault scenario.Fault, state faults.Link) {
	for _, link := range links.scenario.Links(fault.Target) {
		links.network.Set(link.From, link.To, state)
	}
}
