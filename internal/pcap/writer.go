package pcap

import (
	"bufio"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/gopacket/gopacket/layers"
	"github.com/rs/zerolog"

	"capercove/internal/limits"
)

// Writer writes what clients send to a pcap file, with a TCP connection for each client's. It is the tap of the
// PostgreSQL frontend. It never waits for the file: what the queue has no space for is dropped, and with it the rest of
// that connection.
type Writer struct {
	log     zerolog.Logger
	clock   func() time.Duration
	file    output
	queue   chan chunk      // from the frontend's goroutine to run
	done    chan struct{}   // closed when run has ended
	lost    map[uint64]bool // connections of which something was dropped; used by the goroutine of the frontend alone
	dropped atomic.Int64    // chunks that the queue had no space for

	// Used by run alone.
	buffer    *bufio.Writer
	packets   *packetWriter
	sequences map[uint64]uint32 // the next TCP sequence number of each connection that is open in the file
}

// chunk is what one connection sent at once, or its end.
type chunk struct {
	connection uint64        // the frontend's number for it
	at         time.Duration // since the Unix epoch, by the writer's clock
	data       []byte        // nil: the connection has closed
}

// isEnd reports whether the chunk is the end of its connection.
func (c chunk) isEnd() bool { return c.data == nil }

// NewWriter creates the file and starts a goroutine that writes to it until Close. The clock counts from the Unix epoch
// and is never stepped, so that times in the file do not run backwards.
func NewWriter(cfg Config, bounds limits.Traffic, log zerolog.Logger, clock func() time.Duration) (*Writer, error) {
	file, err := os.Create(cfg.Write)
	if err != nil {
		return nil, err
	}
	return newWriter(file, cfg.Port, bounds.MaxQueuedChunks, log, clock)
}

// output is what a capture is written to: *os.File, or in tests one that fails.
type output interface {
	io.WriteCloser
	Name() string
}

func newWriter(file output, port, queue int, log zerolog.Logger, clock func() time.Duration) (*Writer, error) {
	buffer := bufio.NewWriter(file)
	packets, err := newPacketWriter(buffer, layers.TCPPort(port))
	if err != nil {
		return nil, err
	}
	w := &Writer{
		log:       log,
		clock:     clock,
		file:      file,
		queue:     make(chan chunk, queue),
		done:      make(chan struct{}),
		lost:      map[uint64]bool{},
		buffer:    buffer,
		packets:   packets,
		sequences: map[uint64]uint32{},
	}
	go w.run()
	return w, nil
}

// Bytes queues what a connection has sent. The data is copied.
func (w *Writer) Bytes(connection uint64, data []byte) {
	if w.lost[connection] {
		return
	}
	select {
	case w.queue <- chunk{connection, w.clock(), append([]byte{}, data...)}:
	default:
		w.dropped.Add(1)
		w.lost[connection] = true
	}
}

// Closed queues the end of a connection.
func (w *Writer) Closed(connection uint64) {
	delete(w.lost, connection)
	select {
	case w.queue <- chunk{connection, w.clock(), nil}:
	default: // the connection stays open in the file
	}
}

// Close writes what is queued and closes the file. Neither Bytes nor Closed may be called any more.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

// run writes chunks until Close. After an error nothing more is written, since what follows an incomplete packet cannot
// be read: the capture has ended, and the pooler goes on serving.
func (w *Writer) run() {
	defer close(w.done)
	var err error
	for next := range w.queue {
		if err != nil {
			continue
		}
		if err = w.write(next); err == nil && len(w.queue) == 0 {
			err = w.buffer.Flush()
		}
		if err != nil {
			w.log.Error().Err(err).Str("file", w.file.Name()).Msg("pcap: write failed, capture ends")
		}
	}
	if err == nil {
		err = w.buffer.Flush()
	}
	if closeErr := w.file.Close(); err == nil {
		err = closeErr
	}
	w.log.Info().Err(err).Str("file", w.file.Name()).Int64("dropped", w.dropped.Load()).Msg("pcap: capture written")
}

// write writes the packets of one chunk. The first chunk of a connection begins it.
func (w *Writer) write(next chunk) error {
	sequence, open := w.sequences[next.connection]
	switch {
	case next.isEnd() && !open:
		return nil
	case next.isEnd():
		delete(w.sequences, next.connection)
		return w.packets.write(next, layers.TCP{FIN: true, ACK: true, Seq: sequence}, nil)
	case !open:
		if err := w.packets.write(next, layers.TCP{SYN: true}, nil); err != nil {
			return err
		}
		sequence = 1 // SYN takes up the first number
	}
	return w.writeData(next, sequence)
}

// writeData writes the data of a chunk in segments, the first of which has a sequence number.
func (w *Writer) writeData(next chunk, sequence uint32) error {
	for data := next.data; len(data) > 0; {
		segment := data[:min(len(data), segmentBytes)]
		data = data[len(segment):]
		if err := w.packets.write(next, layers.TCP{PSH: true, ACK: true, Seq: sequence}, segment); err != nil {
			return err
		}
		sequence += uint32(len(segment))
	}
	w.sequences[next.connection] = sequence
	return nil
}
