package pcap

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
	"github.com/gopacket/gopacket/reassembly"

	"capercove/internal/limits"
)

// Errors of files. They are wrapped with the file's path.
var (
	// ErrFormat is returned for a file that is no capture.
	ErrFormat = errors.New("is not a pcap or pcapng file")
	// ErrDamaged is returned for a file that cannot be read to its end. Its packets up to there have been read.
	ErrDamaged = errors.New("is cut short or damaged")
)

// Query is a statement of a file.
type Query struct {
	At  time.Time // when the last packet of it was captured
	SQL string
}

// ReadCounters count what a file held. Logs have them under the names of the fields.
type ReadCounters struct {
	Packets int64
	Flows   int64 // connections to the port
	Queries int64
	Gaps    int64 // places where bytes of a connection are missing, which end the reading of it
	Bad     int64 // messages that were not accepted
	Ignored int64 // packets that are not to the port
}

const (
	readBufferBytes = 64 << 10

	// Bounds on what is kept in memory of packets that came out of order, as behind a gap, in the assembler's pages of
	// 1900 bytes.
	maxPagesPerFlow = 64
	maxPages        = 4096
)

// Read calls each for every query that clients sent to the port, in the order of the file, until each returns false. A
// file that is cut short ends in ErrDamaged, after its complete packets.
func Read(path string, port int, bounds limits.Traffic, each func(Query) bool) (ReadCounters, error) {
	file, err := os.Open(path)
	if err != nil {
		return ReadCounters{}, err
	}
	defer func() { _ = file.Close() }() // it was only read
	packets, err := openCapture(bufio.NewReaderSize(file, readBufferBytes))
	if err != nil {
		return ReadCounters{}, fmt.Errorf("%s %w: %w", path, ErrFormat, err)
	}
	reader := newReader(layers.TCPPort(port), bounds.MaxMessageBytes, bounds.MaxReplayedConnections, each)
	if err := reader.readAll(packets); err != nil {
		read := reader.counters.Packets
		return reader.counters, fmt.Errorf("%s %w after %d packets: %w", path, ErrDamaged, read, err)
	}
	return reader.counters, nil
}

// packetSource is what the readers of both kinds of file have in common.
type packetSource interface {
	gopacket.PacketDataSource
	LinkType() layers.LinkType
}

// openCapture returns a reader for the kind of file that the first bytes tell, pcap or pcapng.
func openCapture(input *bufio.Reader) (packetSource, error) {
	sectionHeader := []byte{0x0a, 0x0d, 0x0d, 0x0a} // the first block of a pcapng file
	magic, err := input.Peek(len(sectionHeader))
	if err != nil {
		return nil, err
	}
	if bytes.Equal(magic, sectionHeader) {
		return pcapgo.NewNgReader(input, pcapgo.DefaultNgReaderOptions)
	}
	return pcapgo.NewReader(input)
}

// reader reads the queries of one file.
type reader struct {
	port         layers.TCPPort
	messageBytes int              // greatest length of a message
	maxFlows     int              // connections that are read at once
	each         func(Query) bool // is called with each query; false: no more are wanted

	assembler *reassembly.Assembler // hands the flows their bytes in order
	counters  ReadCounters
	now       time.Time // when the current packet was captured
	openFlows int       // connections whose end has not been read
	stopped   bool      // each has returned false
}

func newReader(port layers.TCPPort, messageBytes, maxFlows int, each func(Query) bool) *reader {
	r := &reader{port: port, messageBytes: messageBytes, maxFlows: maxFlows, each: each}
	r.assembler = reassembly.NewAssembler(reassembly.NewStreamPool(r))
	r.assembler.MaxBufferedPagesPerConnection = maxPagesPerFlow
	r.assembler.MaxBufferedPagesTotal = maxPages
	return r
}

// readAll reads packets until their end, or until no more queries are wanted.
func (r *reader) readAll(packets packetSource) error {
	for !r.stopped {
		data, info, err := packets.ReadPacketData()
		if errors.Is(err, io.EOF) && len(data) == 0 {
			break
		}
		if err != nil {
			r.assembler.FlushAll()
			return err
		}
		r.readPacket(data, info, packets.LinkType())
	}
	if !r.stopped {
		r.assembler.FlushAll()
	}
	return nil
}

// readPacket hands a packet to the assembler, if it is to the port.
func (r *reader) readPacket(data []byte, info gopacket.CaptureInfo, link layers.LinkType) {
	r.counters.Packets++
	packet := gopacket.NewPacket(data, link, gopacket.DecodeOptions{NoCopy: true})
	tcp, ok := packet.TransportLayer().(*layers.TCP)
	if !ok || tcp.DstPort != r.port {
		r.counters.Ignored++
		return
	}
	r.now = info.Timestamp
	r.assembler.AssembleWithContext(packet.NetworkLayer().NetworkFlow(), tcp, captureContext{info})
}

// captureContext hands a packet's time to the assembler.
type captureContext struct{ info gopacket.CaptureInfo }

// GetCaptureInfo implements reassembly.AssemblerContext.
func (c captureContext) GetCaptureInfo() gopacket.CaptureInfo { return c.info }

// New implements reassembly.StreamFactory: it returns the flow of one more connection. Connections over the bound are
// not read, so that a file cannot take up memory without end.
func (r *reader) New(_, _ gopacket.Flow, _ *layers.TCP, _ reassembly.AssemblerContext) reassembly.Stream {
	r.counters.Flows++
	r.openFlows++
	if r.openFlows > r.maxFlows {
		return newFlow(r, flowIgnored)
	}
	return newFlow(r, flowNew)
}
