package pcap

import (
	"fmt"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/reassembly"

	"capercove/internal/pg"
)

// flowState is the phase of reading a connection.
type flowState uint8

const (
	// flowNew: no bytes have come.
	flowNew flowState = iota
	// flowReading: bytes are read as messages.
	flowReading
	// flowIgnored: there are too many connections to read this one.
	flowIgnored
	// flowAbandoned: bytes are missing, or the connection is not of the PostgreSQL protocol.
	flowAbandoned
)

var flowStateNames = [...]string{
	flowNew:       "new",
	flowReading:   "reading",
	flowIgnored:   "ignored",
	flowAbandoned: "abandoned",
}

// String returns the state's name.
func (s flowState) String() string {
	if int(s) < len(flowStateNames) {
		return flowStateNames[s]
	}
	return fmt.Sprintf("flow state %d", uint8(s))
}

// hasBegun reports whether bytes have been read as messages.
func (s flowState) hasBegun() bool { return s == flowReading || s == flowAbandoned }

// isRead reports whether bytes that come are read.
func (s flowState) isRead() bool { return s == flowNew || s == flowReading }

// flow is the client's side of one connection in a file. It implements reassembly.Stream, whose methods the reader's
// assembler calls.
type flow struct {
	reader  *reader
	session *pg.Session
	state   flowState
}

// newFlow returns a flow in a state: flowNew, or flowIgnored for a connection that is not read.
func newFlow(r *reader, state flowState) *flow {
	return &flow{reader: r, session: pg.NewSession(r.messageBytes), state: state}
}

// Accept implements reassembly.Stream. A file may begin in the middle of a connection, so a packet of any sequence
// number may be the first.
func (f *flow) Accept(_ *layers.TCP, _ gopacket.CaptureInfo, _ reassembly.TCPFlowDirection,
	_ reassembly.Sequence, start *bool, _ reassembly.AssemblerContext,
) bool {
	*start = true
	return f.state.isRead()
}

// ReassembledSG implements reassembly.Stream: it takes in the next bytes of the connection.
func (f *flow) ReassembledSG(packets reassembly.ScatterGather, _ reassembly.AssemblerContext) {
	size, _ := packets.Lengths()
	data := packets.Fetch(size)
	_, _, _, skipped := packets.Info()
	if skipped > 0 && f.state.hasBegun() { // what follows may begin in the middle of a message
		f.reader.counters.Gaps++
		f.state = flowAbandoned
	}
	if !f.state.isRead() || len(data) == 0 || f.reader.stopped {
		return
	}
	if f.state == flowNew {
		f.begin(data[0])
	}
	f.session.Feed(data)
	f.readCommands()
}

// begin starts reading. The first byte tells whether the startup message is part of the file: it begins with a zero.
func (f *flow) begin(first byte) {
	if first != 0 {
		f.session.SkipStartup()
	}
	f.state = flowReading
}

// readCommands passes on the queries in what the session was fed, until there are none or no more are wanted.
func (f *flow) readCommands() {
	for !f.reader.stopped {
		command, ok := f.session.Next()
		if !ok {
			return
		}
		f.handle(command)
	}
}

// handle passes on a query, or counts a message that was not accepted.
func (f *flow) handle(command pg.Command) {
	switch {
	case command.RejectReason != "":
		f.reader.counters.Bad++
		if command.Close {
			f.state = flowAbandoned
		}
	case command.Query != "":
		f.reader.counters.Queries++
		wantsMore := f.reader.each(Query{At: f.reader.now, SQL: command.Query})
		f.reader.stopped = !wantsMore
	}
}

// ReassemblyComplete implements reassembly.Stream.
func (f *flow) ReassemblyComplete(reassembly.AssemblerContext) bool {
	f.reader.openFlows--
	return true
}
