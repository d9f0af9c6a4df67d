package flight

import (
	"bytes"

	"golang.org/x/net/http2"
)

const (
	// frameHeaderBytes is the length of the header of a frame. Source: RFC 9113, section 4.1.
	frameHeaderBytes = 9
	// maxSettingsBytes is the length of the settings that are read, in bytes: the longest frame that a peer may send
	// without permission. Source: RFC 9113, section 4.2.
	maxSettingsBytes = 16 << 10
)

// frameReader follows the frames of one direction of an HTTP/2 connection, whose bytes it is given in order and in
// pieces of any length. It does no I/O. The zero value expects the header of a frame.
type frameReader struct {
	toSkip     int // bytes before the next frame, such as those of the client's preface
	head       [frameHeaderBytes]byte
	headLength int // bytes of head that have come
	frame      http2.FrameHeader
	toCome     int    // bytes of the frame's payload that have not come
	payload    []byte // of a frame of settings
}

// newClientFrameReader returns a reader of what a client sends.
func newClientFrameReader() frameReader { return frameReader{toSkip: len(http2.ClientPreface)} }

// read takes the next bytes, and calls complete for each frame that ends in them. The payload is nil for all frames but
// settings, and valid during the call only.
func (reader *frameReader) read(data []byte, complete func(frame http2.FrameHeader, payload []byte)) {
	data = data[reader.skip(len(data)):]
	for len(data) > 0 {
		if reader.headLength < frameHeaderBytes {
			n := copy(reader.head[reader.headLength:], data)
			reader.headLength += n
			data = data[n:]
			if reader.headLength < frameHeaderBytes || !reader.parseHead() {
				return
			}
		}
		n := min(len(data), reader.toCome)
		reader.keepSettings(data[:n])
		reader.toCome -= n
		data = data[n:]
		if reader.toCome == 0 {
			complete(reader.frame, reader.payload)
			reader.headLength, reader.payload = 0, nil
		}
	}
}

// skip returns how many of the next bytes come before the next frame.
func (reader *frameReader) skip(available int) int {
	skipped := min(available, reader.toSkip)
	reader.toSkip -= skipped
	return skipped
}

// parseHead parses the header of a frame. It returns false if that is not possible, which does not happen with a header
// that is complete.
func (reader *frameReader) parseHead() bool {
	frame, err := http2.ReadFrameHeader(bytes.NewReader(reader.head[:]))
	reader.frame, reader.toCome = frame, int(frame.Length)
	return err == nil
}

// keepSettings keeps a part of the payload of a frame of settings. A part of any other frame is dropped.
func (reader *frameReader) keepSettings(part []byte) {
	isSettings := reader.frame.Type == http2.FrameSettings && reader.frame.Length <= maxSettingsBytes
	if isSettings {
		reader.payload = append(reader.payload, part...)
	}
}
