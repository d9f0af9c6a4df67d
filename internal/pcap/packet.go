package pcap

import (
	"io"
	"net"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
)

const (
	segmentBytes  = 32 << 10 // the most bytes of a connection that one packet holds
	snapshotBytes = 1 << 18  // the most bytes of a packet, as the file's header says
	timeToLive    = 64
	windowBytes   = 65535
)

// packetWriter writes packets from clients to one port, as they would have been captured.
type packetWriter struct {
	port layers.TCPPort
	file *pcapgo.Writer
}

// newPacketWriter writes the header of a file and returns a writer of its packets.
func newPacketWriter(file io.Writer, port layers.TCPPort) (*packetWriter, error) {
	w := &packetWriter{port: port, file: pcapgo.NewWriter(file)}
	if err := w.file.WriteFileHeader(snapshotBytes, layers.LinkTypeRaw); err != nil {
		return nil, err
	}
	return w, nil
}

// write writes one packet of a chunk's connection, with the TCP header's flags and sequence number as given. The
// connection's number is encoded in the client's address and port.
func (w *packetWriter) write(from chunk, tcp layers.TCP, data []byte) error {
	ip := &layers.IPv4{
		Version:  4,
		TTL:      timeToLive,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    net.IPv4(127, 1, byte(from.connection>>24), byte(from.connection>>16)),
		DstIP:    net.IPv4(127, 0, 0, 1),
	}
	tcp.SrcPort = layers.TCPPort(from.connection)
	tcp.DstPort = w.port
	tcp.Window = windowBytes
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return err
	}
	packet := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(packet, options, ip, &tcp, gopacket.Payload(data)); err != nil {
		return err
	}
	size := len(packet.Bytes())
	info := gopacket.CaptureInfo{Timestamp: time.Unix(0, int64(from.at)), CaptureLength: size, Length: size}
	return w.file.WritePacket(info, packet.Bytes())
}
