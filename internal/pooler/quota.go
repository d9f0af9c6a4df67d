package pooler

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"capercove/internal/config"
	"capercove/internal/fdshare"
)

// besides gives a process its place among others of its pooler.
func besides(c config.Config, log zerolog.Logger) *fdshare.Beside {
	b, err := fdshare.Join(os.TempDir(), c.Name, c.Machine.Sockets)
	if err != nil {
		log.Error().Err(err).Msg("share: cannot be settled; half of the descriptors are used")
	}
	return b
}

// descriptors is how many this process has open.
func descriptors() int {
	entries, _ := os.ReadDir("/proc/self/fd")
	return len(entries)
}

// settle settles again and again what this process may have open beside others. It begins before clients are let in.
func (p *program) settle(ctx context.Context) {
	tick := time.NewTicker(p.limits.Share)
	defer tick.Stop()
	failed, leaving := "", false
	for ctx.Err() == nil {
		err := p.beside.Settle(leaving, descriptors, func(room int) {
			done := make(chan struct{})
			p.loop.Do(func() {
				defer close(done)
				room = max(0, room-p.limits.Accepting) / 2 // Against a client and a database that both take the last one.
				p.front.Limit(p.limits, room)
				p.pool.Limit(p.limits, room)
			})
			select {
			case <-done:
			case <-ctx.Done():
			}
		})
		if err != nil && err != fdshare.ErrBusy && err.Error() != failed {
			failed = err.Error()
			p.log.Error().Err(err).Int("takes", p.beside.Takes()).Msg("share: cannot be settled; the part is kept")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
		select {
		case <-p.stops:
			leaving = true
		default:
		}
	}
}
