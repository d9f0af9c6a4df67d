package pg

import (
	"bytes"
	"encoding/binary"
)

// messageType is the first byte of a message. Messages of a client's startup phase have none.
type messageType byte

// Sizes of the parts of a message's header, in bytes.
const (
	typeBytes   = 1
	lengthBytes = 4 // the length field counts itself and the body, but not the type
)

// codeBytes is the size of the code at the start of the body of an Authentication message or an untyped message.
const codeBytes = 4

// frame is one message of the byte stream.
type frame struct {
	kind messageType // 0 for an untyped message
	body []byte      // valid until the framer's next feed
}

// framer splits a byte stream into messages.
type framer struct {
	buffer []byte // bytes that were fed and not yet returned in a message
	limit  int    // maximum value of a message's length field, in bytes
}

// feed appends bytes of the stream.
func (f *framer) feed(data []byte) { f.buffer = append(f.buffer, data...) }

// discard removes bytes from the front of the buffer. An empty buffer is released.
func (f *framer) discard(size int) {
	f.buffer = f.buffer[size:]
	if len(f.buffer) == 0 {
		f.buffer = nil
	}
}

// nextTyped removes and returns the next message. complete is false if the buffer holds only part of it.
func (f *framer) nextTyped() (message frame, complete bool, err error) {
	if len(f.buffer) > 0 {
		message.kind = messageType(f.buffer[0])
	}
	message.body, complete, err = f.nextBody(typeBytes)
	return message, complete, err
}

// nextUntyped is like nextTyped for the startup phase, whose messages have no type.
func (f *framer) nextUntyped() (message frame, complete bool, err error) {
	message.body, complete, err = f.nextBody(0)
	return message, complete, err
}

// nextBody removes the next message from the buffer and returns its body. The message's length field is at the offset.
// A length over the limit is an error even before the body has arrived, since a peer must not make the buffer grow
// without bound.
func (f *framer) nextBody(offset int) (body []byte, complete bool, err error) {
	header := offset + lengthBytes
	if len(f.buffer) < header {
		return nil, false, nil
	}
	length := int64(binary.BigEndian.Uint32(f.buffer[offset:]))
	if length < lengthBytes || length > int64(f.limit) {
		return nil, false, ErrMessageTooLong
	}
	end := int64(offset) + length
	if int64(len(f.buffer)) < end {
		return nil, false, nil
	}
	body = f.buffer[header:end]
	f.discard(int(end))
	return body, true, nil
}

// appendMessage appends a typed message. appendBody appends the body.
func appendMessage(dst []byte, kind messageType, appendBody func([]byte) []byte) []byte {
	start := len(dst) + typeBytes
	dst = appendBody(append(dst, byte(kind), 0, 0, 0, 0))
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst
}

// appendString appends a zero-terminated string.
func appendString(dst []byte, value string) []byte { return append(append(dst, value...), 0) }

// cutString splits a body after the zero-terminated string at its start.
func cutString(body []byte) (value string, rest []byte, found bool) {
	before, rest, found := bytes.Cut(body, []byte{0})
	if !found {
		return "", nil, false
	}
	return string(before), rest, true
}
