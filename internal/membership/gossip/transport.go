package gossip

import (
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport dials from the pooler's own address. Peers, and relays in front of them, distinguish poolers by it.
type transport struct {
	*memberlist.NetTransport
	own netip.Addr
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.own.AsSlice()}}
	return dialer.Dial("tcp", address.Addr)
}

// DialTimeout implements memberlist.Transport.
func (t transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}
