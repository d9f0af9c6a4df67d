package faults

import (
	"net"
	"net/netip"
	"sync"

	"capercove/internal/addresses"
)

// listenAttempts is how many ports Listen tries until one is free for both TCP and UDP.
const listenAttempts = 20

// Relay forwards TCP and UDP from the public address of one process to the address it listens on, impaired as the links
// say.
type Relay struct {
	net         *Net
	name        string                 // of the process
	target      netip.AddrPort         // where the process listens
	reservation *addresses.Reservation // of target; nil if the caller chose it
	tcp         net.Listener
	udp         *net.UDPConn

	mu      sync.Mutex
	senders map[netip.AddrPort]*net.UDPConn // a socket towards the process for each sender of datagrams
	streams map[*stream]bool
	closed  bool
}

// AddRelay starts a relay to a process, for TCP and UDP alike. The public address may have port 0; the error is
// Listen's.
func (n *Net) AddRelay(name string, public, target netip.AddrPort) (*Relay, error) {
	tcp, udp, err := Listen(public)
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		net: n, name: name, target: target, tcp: tcp, udp: udp,
		senders: map[netip.AddrPort]*net.UDPConn{}, streams: map[*stream]bool{},
	}
	n.mu.Lock()
	n.relays = append(n.relays, relay)
	n.mu.Unlock()
	go relay.acceptStreams()
	go relay.receiveDatagrams()
	return relay, nil
}

// Place chooses an address for a process, to listen on and to send from, and starts a relay to it at a public one. Both
// IPs are loopback addresses that no other process uses; the ports are chosen. The process's address stays reserved
// until the relay is closed, for UDP too, since Listen, which chooses all ports here, goes by TCP. The errors are those
// of Reserve and Listen.
func (n *Net) Place(name string, own, public netip.Addr) (listen string, relay *Relay, err error) {
	reservation, err := addresses.Reserve(netip.AddrPortFrom(own, 0))
	if err != nil {
		return "", nil, err
	}
	n.Register(name, own)
	relay, err = n.AddRelay(name, netip.AddrPortFrom(public, 0), reservation.AddrPort())
	if err != nil {
		_ = reservation.Close()
		return "", nil, err
	}
	relay.reservation = reservation
	return reservation.String(), relay, nil
}

// Listen listens for TCP and UDP on one address. With port 0 it chooses one that is free for both.
func Listen(requested netip.AddrPort) (tcp net.Listener, udp *net.UDPConn, err error) {
	for range listenAttempts {
		tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(requested))
		if err != nil {
			return nil, nil, err
		}
		chosen := tcp.Addr().(*net.TCPAddr).AddrPort()
		udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(chosen))
		if err == nil {
			return tcp, udp, nil
		}
		_ = tcp.Close()
		if requested.Port() != 0 {
			break
		}
	}
	return nil, nil, err
}

// Addr returns the public address.
func (r *Relay) Addr() string { return r.tcp.Addr().String() }

// Close ends the relay and everything that goes through it.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.tcp.Close()
	_ = r.udp.Close()
	if r.reservation != nil {
		_ = r.reservation.Close()
	}
	for _, upstream := range r.senders {
		_ = upstream.Close()
	}
	streams := r.streams
	r.streams = nil
	r.mu.Unlock()
	for open := range streams {
		open.close(inOrder)
	}
}
