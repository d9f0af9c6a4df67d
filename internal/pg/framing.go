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
	buffer []byte // holds bytes that were fed; those before start have been returned in messages
	start  int    // offset of the bytes that have not been returned
	limit  int    // maximum value of a message's length field, in bytes
}

// feed appends bytes of the stream. If they do not fit behind the others, those are moved to the front first, so that
// the buffer does not grow by what has been returned.
func (f *framer) feed(data []byte) {
	if f.start > 0 && len(f.buffer)+len(data) > cap(f.buffer) {
		f.compact(len(data))
	}
	if len(f.buffer)+len(data) > cap(f.buffer) {
		f.grow(len(f.buffer) + len(data))
	}
	f.buffer = append(f.buffer, data...)
}

// grow makes room for so many bytes: for all of a message of which a good part has arrived, so that it is not copied
// again and again, and otherwise for a little more.
func (f *framer) grow(needed int) {
	size := needed + needed/growthDivisor
	if whole := f.expected(); whole > size && whole <= f.limit && needed >= whole/growthDivisor {
		size = whole
	}
	f.buffer = append(make([]byte, 0, size), f.buffer...)
}

// growthDivisor is the part by which a buffer grows, and the part of a message that has to have arrived before there is
// room for all of it.
const growthDivisor = 4

// expected returns the length of the first typed message, if it is known, with a little for what follows.
func (f *framer) expected() int {
	if len(f.buffer) < typeBytes+lengthBytes {
		return 0
	}
	return int(binary.BigEndian.Uint32(f.buffer[typeBytes:])) + typeBytes
}

// compact drops the bytes that have been returned. The messages that were returned stay valid until the next feed only,
// so the rest may be moved. A buffer that is mostly unused is replaced by a smaller one.
func (f *framer) compact(more int) {
	rest := f.unread()
	if needed := len(rest) + more; needed < cap(f.buffer)/shrinkDivisor {
		f.buffer = append(make([]byte, 0, needed), rest...)
	} else {
		f.buffer = f.buffer[:copy(f.buffer, rest)]
	}
	f.start = 0
}

// shrinkDivisor is the part of a buffer that has to be in use, or it is replaced by a smaller one.
const shrinkDivisor = 4

// unread returns the bytes that have not been returned in messages.
func (f *framer) unread() []byte { return f.buffer[f.start:] }

// discard removes bytes from the front. An empty buffer is released.
func (f *framer) discard(size int) {
	f.start += size
	if f.start == len(f.buffer) {
		f.reset()
	}
}

// reset drops all bytes.
func (f *framer) reset() { f.buffer, f.start = nil, 0 }

// nextTyped removes and returns the next message. complete is false if the buffer holds only part of it.
func (f *framer) nextTyped() (message frame, complete bool, err error) {
	if rest := f.unread(); len(rest) > 0 {
		message.kind = messageType(rest[0])
	}
	message.body, complete, err = f.nextBody(typeBytes, f.limit)
	return message, complete, err
}

// nextUntyped is like nextTyped for the startup phase, whose messages have no type and a limit of their own.
func (f *framer) nextUntyped(limit int) (message frame, complete bool, err error) {
	message.body, complete, err = f.nextBody(0, min(limit, f.limit))
	return message, complete, err
}

// nextBody removes the next message from the buffer and returns its body. The message's length field is at the offset.
// A length over the limit is an error even before the body has arrived, since a peer must not make the buffer grow
// without bound.
func (f *framer) nextBody(offset, limit int) (body []byte, complete bool, err error) {
	header, rest := offset+lengthBytes, f.unread()
	if len(rest) < header {
		return nil, false, nil
	}
	length := int64(binary.BigEndian.Uint32(rest[offset:]))
	if length < lengthBytes || length > int64(limit) {
		return nil, false, ErrMessageTooLong
	}
	end := int64(offset) + length
	if int64(len(rest)) < end {
		return nil, false, nil
	}
	body = rest[header:end]
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
