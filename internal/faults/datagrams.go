package faults

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

const (
	maxDatagram = 64 << 10 // bytes of a UDP datagram
	maxSenders  = 1024     // senders of datagrams that one relay distinguishes
)

func (r *Relay) receiveDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		length, sender, err := r.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
		upstream := r.upstream(sender)
		if upstream == nil {
			continue
		}
		way := direction{r.net.sender(sender.Addr()), r.name}
		r.deliver(way, buffer[:length], func(data []byte) { _, _ = upstream.Write(data) })
	}
}

// upstream returns the socket towards the process for a sender, which answers to that sender come back through. It is
// nil if the relay is closed or has too many senders.
func (r *Relay) upstream(sender netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing := r.senders[sender]
	if existing != nil || r.closed || len(r.senders) >= maxSenders {
		return existing
	}
	upstream, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.senders[sender] = upstream
	go r.returnDatagrams(upstream, sender)
	return upstream
}

// returnDatagrams forwards the process's answers to one sender until the relay is closed.
func (r *Relay) returnDatagrams(upstream *net.UDPConn, sender netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		length, err := upstream.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // ECONNREFUSED while the process does not listen
			continue
		}
		way := direction{r.name, r.net.sender(sender.Addr())}
		r.deliver(way, buffer[:length], func(data []byte) { _, _ = r.udp.WriteToUDPAddrPort(data, sender) })
	}
}

// deliver sends what arrives of a datagram, at once or when its delay is over. A datagram that cannot be sent is lost,
// as on a network.
func (r *Relay) deliver(way direction, data []byte, send func([]byte)) {
	for _, delivered := range r.net.deliveries(way.from, way.to, slices.Clone(data), datagram) {
		if delivered.delay == 0 {
			send(delivered.data)
			continue
		}
		time.AfterFunc(delivered.delay, func() { send(delivered.data) })
	}
}
