// Package pooler is the program: it reads its configuration, wires the parts, starts them in order, follows signals,
// and ends with a graceful shutdown. Package main adds only the command line and the exit status.
package pooler

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/backend"
	"capercove/internal/config"
	"capercove/internal/core"
	"capercove/internal/discovery"
	"capercove/internal/eventloop"
	"capercove/internal/exclusion"
	"capercove/internal/fdshare"
	"capercove/internal/flight"
	"capercove/internal/frontend"
	"capercove/internal/intake"
	"capercove/internal/limits"
	"capercove/internal/maintenance/agent"
	"capercove/internal/membership/gossip"
	"capercove/internal/pcap"
	"capercove/internal/peers"
	"capercove/internal/store"
)

// processors is how many threads run Go code at once. The pooler is granted one core, but its event loop must not wait
// for a goroutine that sits in a system call.
const processors = 2

// backendCloseWait is how long the end of the process may wait for the goroutines of each backend. They end at once,
// but for those that never do; see backend.Pool.Close.
const backendCloseWait = 50 * time.Millisecond

// Pooler is one running pooler: its configuration and its parts. The event loop's goroutine owns the parts unless a
// field says otherwise; other goroutines reach them by Loop.Do.
type Pooler struct {
	log            zerolog.Logger
	config         config.Config // belongs to the signals' goroutine once signals are handled
	operatorsFile  operatorsFile // as config
	sharedListener bool          // other processes accept on the clients' listener too
	limits         limits.Limits
	clock          func() time.Duration // monotonic, from the Unix epoch

	loop       *eventloop.Loop
	core       *core.Core
	pool       *backend.Pool
	intake     *intake.Intake
	front      *frontend.Frontend
	discovery  *discovery.Watch
	exclusions *exclusion.File

	// These are nil while their table of the operators' file leaves them off.
	trafficWriter *pcap.Writer
	flight        *flight.Front
	flightBackend *flight.Backend
	store         store.Store
	membership    *gossip.Gossip
	peers         *peers.Peers
	maintenance   *agent.Agent

	peakResident      uint64        // largest resident memory that was read, in bytes; belongs to the event loop
	nextMemoryWarning time.Duration // when the memory may be logged again; belongs to the event loop

	// quota divides the descriptors between the processes of an upgrade. It belongs to the event loop until
	// settleQuota runs, then to that goroutine; nil where this process is alone or could not join the others.
	quota *fdshare.Member

	stopping    chan struct{}   // closed when the graceful shutdown begins
	lifetime    context.Context // of the parts' goroutines; done when run returns
	endLifetime context.CancelFunc
	stopParts   []func() // ends each started part, in the order of the start
}

// Run serves until a signal has ended the graceful shutdown. It returns an error if the configuration is wrong or a
// part cannot start; the process is to end then, without a shutdown.
func Run(log zerolog.Logger) error {
	received := subscribeSignals() // first: an unhandled SIGHUP would end the program
	p, err := load(log)
	if err != nil {
		return err
	}
	return p.run(received)
}

// run starts the parts, serves, and ends the parts.
func (p *Pooler) run(received signals) error {
	debug.SetMemoryLimit(p.limits.Process.SoftMemoryBytes)
	runtime.GOMAXPROCS(processors)
	defer p.endLifetime()
	if err := p.startParts(); err != nil {
		return err
	}
	p.log.Info().Str("listen", p.config.Listen).Int("members", len(p.config.Known.Members)).Msg("starting")
	if err := p.loop.Run(func() { p.startServing(received) }); err != nil {
		return fmt.Errorf("event loop: %w", err)
	}
	p.logCounters("stopped")
	p.endParts()
	return nil
}

// load reads the configuration and the operators' file, and returns a pooler with none of its parts started.
func load(log zerolog.Logger) (*Pooler, error) {
	loaded, err := config.Load()
	if err != nil {
		return nil, err
	}
	operators, err := loadOperatorsFile()
	if err != nil {
		return nil, err
	}
	shared := loaded.ListenFD > 0
	var quota *fdshare.Member
	if shared {
		quota = joinQuota(loaded, log)
	}
	bounds := limitsOf(loaded, operators)
	if shared && quota == nil {
		bounds.Frontend.MaxConnections /= 2
		bounds.Backend.MaxConnections /= 2
	}
	lifetime, endLifetime := context.WithCancel(context.Background())
	return &Pooler{
		log:            log.With().Str("pooler", loaded.Name).Logger(),
		config:         loaded,
		operatorsFile:  operators,
		sharedListener: shared,
		limits:         bounds,
		quota:          quota,
		stopping:       make(chan struct{}),
		lifetime:       lifetime,
		endLifetime:    endLifetime,
	}, nil
}

// onEnd has a part that was started ended after the event loop, before all parts that were started earlier.
func (p *Pooler) onEnd(end func()) { p.stopParts = append(p.stopParts, end) }

// endParts ends the parts in the reverse order of their start.
func (p *Pooler) endParts() {
	for i := len(p.stopParts) - 1; i >= 0; i-- {
		p.stopParts[i]()
	}
}
