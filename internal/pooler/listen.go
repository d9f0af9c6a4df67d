package pooler

import (
	"context"
	"net"

	"capercove/internal/netretry"
)

// listenTCP listens on a TCP address.
func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// listen listens on an address. Errors that may be transient, such as a lack of descriptors or an address that another
// process is about to release, are retried for a bounded time.
func (p *Pooler) listen(address string, open func(string) (net.Listener, error)) (listener net.Listener, err error) {
	bounds := p.limits.Listen
	err = netretry.Retry(bounds.Timeout, netretry.NewBackoff(bounds.Retry), netretry.IsTransient, func() (err error) {
		listener, err = open(address)
		return err
	})
	return listener, err
}
