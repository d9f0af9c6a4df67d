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
	Cluster   string   `toml:"cluster"`   // others' members and datagrams are turned away
	Listen    string   `toml:"listen"`    // where peers reach this pooler, TCP and UDP, such as "127.0.0.1:7946"
	Advertise string   `toml:"advertise"` // ... if they reach it elsewhere
	Seeds     []string `toml:"seeds"`     // some poolers' addresses; they need not be up yet
	Zone      string   `toml:"zone"`      // where this pooler stands, to be shown
	Dir       string   `toml:"dir"`       // poolers are remembered here over a restart; empty: they are not
	Slower    float64  `toml:"slower"`    // all times are longer by this factor; 0: they are those of DefaultPace

	membership.Uses
}

// Check finds what is wrong with the table.
func (c Config) Check() error {
	if !c.Enabled {
		return nil
	}
	if c.Cluster == "" {
		return tables.Bad("cluster", "empty: poolers of other installations would be let in")
	}
	for key, text := range map[string]string{"cluster": c.Cluster, "zone": c.Zone} {
		if len(text) > 64 {
			return tables.Bad(key, "%d bytes, 64 at most", len(text))
		}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return tables.Bad("listen", "%v", err)
	}
	if _, err := netip.ParseAddrPort(c.Advertise); c.Advertise != "" && err != nil {
		return tables.Bad("advertise", "%v", err)
	}
	if c.Slower != 0 && !(c.Slower >= 0.05 && c.Slower <= 20) {
		return tables.Bad("slower", "%v is not from 0.05 to 20", c.Slower)
	}
	if c.Connections < 0 {
		return tables.Bad("connections", "%d is under 0", c.Connections)
	}
	if len(c.Seeds) > seedsMost {
		return tables.Bad("seeds", "%d of them, %d at most", len(c.Seeds), seedsMost)
	}
	for i, s := range c.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return tables.Bad(fmt.Sprintf("seeds[%d]", i), "%v", err)
		}
	}
	return nil
}

// Timing is how fast a fleet finds out and talks.
type Timing struct {
	Period  time.Duration // of news, and of what memberlist sends
	Probe   time.Duration // one member is asked whether it lives this often
	Timeout time.Duration // ... and is suspected without an answer by then
	Rejoin  time.Duration // one that is gone, or a seed that is not there, is tried again this often
	Bind    time.Duration // an address that is taken is tried again this often
	Agree   time.Duration // views that differ for so long do not agree
	LogEach time.Duration // at most one line a kind of bad input in this time
}

// DefaultTiming is for poolers some milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Period: 200 * time.Millisecond, Probe: time.Second, Timeout: 500 * time.Millisecond, Rejoin: 5 * time.Second,
		Bind: 100 * time.Millisecond, Agree: 10 * time.Second, LogEach: time.Second}
}

// Timing is the table's.
func (c Config) Timing() Timing {
	p := DefaultTiming()
	if c.Slower > 0 {
		for _, t := range []*time.Duration{&p.Period, &p.Probe, &p.Timeout, &p.Rejoin} {
			*t = time.Duration(float64(*t) * c.Slower)
		}
	}
	return p
}

const (
	seedsMost      = 64
	rememberedMost = 1024               // poolers of which addresses are kept
	messageMost    = 4 << 20            // bytes of a message that are read
	tries          = 4                  // addresses beside the seeds that are tried at once
	verdict        = 3                  // periods in which a member's own word that it leaves may still come
	unmetFor       = 4                  // times Rejoin, twice the library's exchange of members, that one known by word alone is waited for
	version        = 1                  // of what is sent; one of another is not read
	addressKept    = 7 * 24 * time.Hour // an address is remembered after its pooler was last there
)
