package gossip

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"capercove/internal/config/tables"
	"capercove/internal/membership"
)

// Config is table [fleet] of the operators' file.
type Config struct {
	Enabled   bool     `toml:"enabled"`
	Cluster   string   `toml:"cluster"`   // name of the cluster of poolers: packets of other clusters are rejected
	Listen    string   `toml:"listen"`    // TCP and UDP address for other poolers, such as "127.0.0.1:7946"
	Advertise string   `toml:"advertise"` // address at which other poolers reach this one; empty: Listen
	Seeds     []string `toml:"seeds"`     // addresses of some poolers, which need not run yet
	Zone      string   `toml:"zone"`      // zone of this pooler, shown to operators
	Dir       string   `toml:"dir"`       // directory for the saved addresses; empty: they are not saved
	Slower    float64  `toml:"slower"`    // factor on the period, probe and rejoin times; 0: 1

	membership.Uses
}

// Check validates the table. Its errors name the invalid key. A table that is not enabled is not checked.
func (c Config) Check() error {
	if !c.Enabled {
		return nil
	}
	if c.Cluster == "" {
		return tables.Bad("cluster", "empty: poolers of other installations would be let in")
	}
	for key, text := range map[string]string{"cluster": c.Cluster, "zone": c.Zone} {
		if len(text) > maxNameBytes {
			return tables.Bad(key, "%d bytes, %d at most", len(text), maxNameBytes)
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return tables.Bad("listen", "%v", err)
	}
	if _, err := netip.ParseAddrPort(c.Advertise); c.Advertise != "" && err != nil {
		return tables.Bad("advertise", "%v", err)
	}
	if c.Slower != 0 && !(c.Slower >= minSlower && c.Slower <= maxSlower) {
		return tables.Bad("slower", "%v is not from %v to %v", c.Slower, minSlower, maxSlower)
	}
	if c.Connections < 0 {
		return tables.Bad("connections", "%d is under 0", c.Connections)
	}
	if len(c.Seeds) > maxSeeds {
		return tables.Bad("seeds", "%d of them, %d at most", len(c.Seeds), maxSeeds)
	}
	for i, seed := range c.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return tables.Bad(fmt.Sprintf("seeds[%d]", i), "%v", err)
		}
	}
	return nil
}

// Timing contains the intervals and timeouts of the gossip protocol.
type Timing struct {
	Period         time.Duration // between updates, and between the packets of memberlist
	ProbeInterval  time.Duration // between probes, each of one member
	ProbeTimeout   time.Duration // after which a member that has not answered a probe is suspected
	RejoinInterval time.Duration // between attempts to reach failed poolers and absent seeds
	BindRetry      time.Duration // between attempts to listen on an address that is in use
	AgreementDelay time.Duration // how long views must differ before they count as disagreeing
	LogInterval    time.Duration // between log lines on the same kind of rejected input
}

// DefaultTiming returns the timing for poolers with a network latency of some milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Period:         200 * time.Millisecond,
		ProbeInterval:  time.Second,
		ProbeTimeout:   500 * time.Millisecond,
		RejoinInterval: 5 * time.Second,
		BindRetry:      100 * time.Millisecond,
		AgreementDelay: 10 * time.Second,
		LogInterval:    time.Second,
	}
}

// Timing returns the default timing, with the period, the probe times and the rejoin interval multiplied by Slower.
func (c Config) Timing() Timing {
	timing := DefaultTiming()
	if c.Slower > 0 {
		for _, value := range []*time.Duration{
			&timing.Period, &timing.ProbeInterval, &timing.ProbeTimeout, &timing.RejoinInterval,
		} {
			*value = time.Duration(float64(*value) * c.Slower)
		}
	}
	return timing
}

// Limits of table [fleet].
const (
	maxSeeds     = 64
	maxNameBytes = 64
	minSlower    = 0.05
	maxSlower    = 20
)

const (
	protocolVersion  = 1                  // of messages; others are rejected
	maxMessageBytes  = 4 << 20            // of one encoded message
	maxAddresses     = 1024               // remembered; also bounds other maps with entries by pooler
	addressRetention = 7 * 24 * time.Hour // an address is remembered for this long after its pooler last responded

	departedPeriods     = 3  // how long to wait for a departed pooler's own announcement that it leaves
	rejoinAddresses     = 4  // remembered addresses contacted in one attempt, in addition to the seeds
	firstRejoinFraction = 10 // the first attempt to rejoin is made after this fraction of RejoinInterval

	// Memberlist exchanges its list of members with a random member every two RejoinIntervals. This repairs lost
	// updates, for example after a network partition of many poolers. A pooler that memberlist has not found after two
	// exchanges has failed.
	pushPullRejoins    = 2
	unconfirmedRejoins = 2 * pushPullRejoins
	tcpProbeTimeouts   = 4 // timeout of memberlist's TCP streams, in ProbeTimeouts
)
