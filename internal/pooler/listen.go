package pooler

import (
	"net"

	"capercove/internal/limits"
	"capercove/internal/netretry"
)

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// listen listens on an address. What may be over in a moment, as a want of descriptors or an address that another
// process is about to give up, is waited for a little.
func listen(l limits.Limits, address string, on func(string) (net.Listener, error)) (listener net.Listener, err error) {
	err = netretry.Within(l.StartRetry, netretry.BackoffOf(l), netretry.IsMomentary, func() (err error) {
		listener, err = on(address)
		return err
	})
	return listener, err
}
