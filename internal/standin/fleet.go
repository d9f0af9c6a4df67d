// Package standin puts an emulated fleet on loopback sockets: each database speaks the PostgreSQL wire protocol, and a
// discovery service serves the endpoint list over HTTP. Every pooler has addresses of its own for all of them, so that
// a network partition between zones can affect one pooler and not another.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"capercove/internal/discovery"
	"capercove/internal/emulator"
	"capercove/internal/scenario"
	"capercove/internal/sim"
)

const (
	// fleetStream separates the random numbers of a stand-in fleet from others of the same seed.
	fleetStream = 0x7370
	// poolerSeedFactor makes the seeds of poolers out of the scenario's.
	poolerSeedFactor = 7919
	// requestTimeout bounds how long a request to discovery may take to arrive.
	requestTimeout = 5 * time.Second
)

// Fleet is an emulated fleet on sockets. Its state belongs to the goroutine of Clock, the loop.
type Fleet struct {
	*emulator.Fleet
	Clock *sim.Clock

	poolers    []*pooler
	closing    chan struct{}
	goroutines sync.WaitGroup
	random     *rand.Rand // the loop's
}

// pooler is the fleet as one pooler sees it.
type pooler struct {
	fleet     *Fleet
	name      string
	zone      string
	servers   []*server
	discovery net.Listener

	// The loop's:
	watches       map[chan discovery.List]struct{}
	discoveryDown bool
	changes       []discovery.List // of the endpoint list since the start, as they were published
}

// Start puts the fleet of a scenario on sockets of an IP, such as 127.0.0.1.
func Start(world *scenario.Scenario, host string) (*Fleet, error) {
	fleet := &Fleet{
		Clock: sim.NewClock(), closing: make(chan struct{}), random: rand.New(rand.NewPCG(world.Seed, fleetStream)),
	}
	var err error
	fleet.Clock.Wait(func() {
		fleet.Fleet = emulator.New(world, fleet.Clock)
		fleet.OnMemberChange = fleet.memberChanged
		fleet.OnDiscoveryFault = fleet.failDiscovery
		for i := range world.Poolers {
			if err = fleet.addPooler(i, host); err != nil {
				return
			}
		}
	})
	if err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// addPooler starts the databases and discovery for one more pooler.
func (f *Fleet) addPooler(index int, host string) error {
	zones := f.Scenario.Zones()
	added := &pooler{
		fleet: f, name: scenario.PoolerName(index), zone: zones[index%len(zones)],
		watches: map[chan discovery.List]struct{}{},
	}
	f.poolers = append(f.poolers, added)
	for _, member := range f.Members {
		database := &server{pooler: added, member: member, connections: map[net.Conn]*connection{}}
		added.servers = append(added.servers, database)
		if err := database.open(anyPort(host)); err != nil {
			return err
		}
	}
	listener, err := listen(anyPort(host))
	if err != nil {
		return err
	}
	added.discovery = listener
	httpServer := &http.Server{Handler: http.HandlerFunc(added.serveEndpointList), ReadTimeout: requestTimeout}
	f.goroutines.Go(func() { _ = httpServer.Serve(listener) }) // until Close
	f.goroutines.Go(func() {
		<-f.closing
		_ = httpServer.Close()
	})
	return nil
}

// anyPort returns an address for which the kernel chooses the port.
func anyPort(host string) string { return host + ":0" }

func listen(addr string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", resolved)
}

// Close ends the fleet and waits until all its goroutines have ended.
func (f *Fleet) Close() {
	close(f.closing)
	f.Clock.Wait(func() {
		for _, pooler := range f.poolers {
			for _, server := range pooler.servers {
				server.close()
			}
		}
	})
	f.Clock.Stop()
	f.goroutines.Wait()
}

// memberChanged carries out a change of a database's process or state.
func (f *Fleet) memberChanged(member *emulator.Member) {
	for _, pooler := range f.poolers {
		for _, server := range pooler.servers {
			if server.member == member {
				server.followProcess()
			}
		}
	}
	f.publish(member)
}

// platformConfig is the platform's file for one pooler.
type platformConfig struct {
	Discovery  string          `json:"discovery"`
	Known      discovery.List  `json:"known"`
	Limits     platformLimits  `json:"limits"`
	Listen     string          `json:"listen"`
	Management string          `json:"management"`
	Name       string          `json:"name"`
	Seed       string          `json:"seed"` // 16 hexadecimal digits
	Settings   json.RawMessage `json:"settings"`
}

type platformLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// Config returns the platform's file for the pooler with an index, which is to listen on the given addresses under the
// given limits. It fails if the fleet is closed.
func (f *Fleet) Config(index int, listen, management string, memoryMB, sockets int) ([]byte, error) {
	var configured *pooler
	var known discovery.List
	f.Clock.Wait(func() {
		configured = f.poolers[index]
		known = configured.endpointList()
	})
	if configured == nil {
		return nil, errors.New("the fleet is closed")
	}
	return json.MarshalIndent(platformConfig{
		Name: configured.name, Listen: listen, Management: management, Discovery: configured.discovery.Addr().String(),
		Seed:   fmt.Sprintf("%016x", f.Scenario.Seed*poolerSeedFactor+uint64(index)),
		Limits: platformLimits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets},
		Known:  known, Settings: json.RawMessage(f.Scenario.Settings()),
	}, "", " ")
}
