package gossip

import (
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport dials from the own address, so that peers, and relays before them, can tell who it is.
type transport struct {
	*memberlist.NetTransport
	own netip.Addr
}

func (t transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.own.AsSlice()}}
	return d.Dial("tcp", a.Addr)
}

func (t transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}
