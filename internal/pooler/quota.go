package pooler

import (
	"errors"
	"os"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/config"
	"capercove/internal/fdshare"
)

// joinQuota lets this process share the pooler's descriptors with the other processes of an upgrade. It returns nil,
// and logs why, if that cannot be.
func joinQuota(c config.Config, log zerolog.Logger) *fdshare.Member {
	quota, err := fdshare.Join(os.TempDir(), c.Name, c.Machine.Sockets)
	if err != nil {
		log.Error().Err(err).Msg("descriptor quota: not settled, using half of the descriptors")
	}
	return quota
}

// openDescriptors is how many descriptors this process has open.
func openDescriptors() int {
	entries, _ := os.ReadDir("/proc/self/fd") // what was read counts, also where the rest could not be
	return len(entries)
}

// settleQuota settles periodically how many descriptors this process may have open while others of its pooler run.
// It starts before clients are accepted, and ends with the pooler's lifetime.
func (p *Pooler) settleQuota() {
	tick := time.NewTicker(p.limits.Process.QuotaInterval)
	defer tick.Stop()
	lastError, shuttingDown := "", false
	for p.lifetime.Err() == nil {
		err := p.quota.UpdateQuota(shuttingDown, openDescriptors, p.limitConnections)
		if err != nil && !errors.Is(err, fdshare.ErrBusy) && err.Error() != lastError {
			lastError = err.Error()
			p.log.Error().Err(err).Int("takes", p.quota.Quota()).
				Msg("descriptor quota: not settled, the last one stays")
		}
		select {
		case <-tick.C:
		case <-p.lifetime.Done():
		}
		select {
		case <-p.stopping:
			shuttingDown = true
		default:
		}
	}
}

// limitConnections lets no more than so many further descriptors be opened. It returns when that holds.
func (p *Pooler) limitConnections(capacity int) {
	done := make(chan struct{})
	p.loop.Do(func() {
		defer close(done)
		// Halved, as a client's and a database's connection may both take the last one.
		half := max(0, capacity-p.limits.EventLoop.MaxAccepting) / 2
		p.front.LimitConnections(p.limits.Frontend, half)
		p.pool.LimitConnections(p.limits.Backend, half)
	})
	select {
	case <-done:
	case <-p.lifetime.Done():
	}
}
