package simhost

import (
	"encoding/binary"
	"math"
	"time"

	"capercove/routing"
)

const (
	subscribeOn = 1 // in actionSubscribe: changes of the list are wanted, not no longer wanted
	timerLabel  = 0 // in actionTimer: comes back with the event, where it is not read
)

// Reply is what one instance does about a batch.
type Reply struct {
	ID      uint32
	Actions []routing.Action
}

// AppendReply appends the reply to a batch of a number: the actions of each instance that has any.
func AppendReply(dst []byte, number uint32, replies []Reply) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, replyHeaderBytes)...)
	records := 0
	for _, reply := range replies {
		if len(reply.Actions) == 0 {
			continue
		}
		dst = appendRecord(dst, actionInstance, func(fields []byte) []byte {
			return binary.BigEndian.AppendUint32(fields, reply.ID)
		})
		for i := range reply.Actions {
			dst = appendAction(dst, &reply.Actions[i])
		}
		records += 1 + len(reply.Actions)
	}
	header := dst[start:]
	binary.BigEndian.PutUint32(header, uint32(len(header)-replyHeaderBytes))
	binary.BigEndian.PutUint32(header[replyCountOffset:], uint32(records))
	binary.BigEndian.PutUint32(header[replyNumberOffset:], number)
	return dst
}

// appendRecord appends a record whose fields are appended by a function.
func appendRecord(dst []byte, code actionCode, appendFields func([]byte) []byte) []byte {
	start := len(dst)
	dst = appendFields(append(dst, byte(code), 0, 0, 0, 0))
	binary.BigEndian.PutUint32(dst[start+codeBytes:], uint32(len(dst)-start-recordHeaderBytes))
	return dst
}

// appendAction appends the record of an action.
func appendAction(dst []byte, action *routing.Action) []byte {
	switch action.Kind {
	case routing.Send:
		return appendRecord(dst, actionSend, func(fields []byte) []byte {
			return appendDelay(appendNode(appendRequest(fields, action), action), action)
		})
	case routing.Reject:
		return appendRecord(dst, actionReject, func(fields []byte) []byte {
			return appendDelay(appendRequest(fields, action), action)
		})
	case routing.Fail:
		return appendRecord(dst, actionFail, func(fields []byte) []byte { return appendRequest(fields, action) })
	case routing.Cancel:
		return appendRecord(dst, actionCancel, func(fields []byte) []byte {
			return binary.BigEndian.AppendUint16(appendRequest(fields, action), uint16(action.Attempt))
		})
	case routing.Probe:
		return appendRecord(dst, actionProbe, func(fields []byte) []byte { return appendNode(fields, action) })
	case routing.Subscribe:
		return appendRecord(dst, actionSubscribe, func(fields []byte) []byte { return append(fields, subscribeOn) })
	default: // routing.SetTimer
		return appendRecord(dst, actionTimer, func(fields []byte) []byte {
			return binary.BigEndian.AppendUint64(appendDelay(fields, action), timerLabel)
		})
	}
}

// appendRequest appends the number of a request, which has 8 bytes.
func appendRequest(dst []byte, action *routing.Action) []byte {
	return binary.BigEndian.AppendUint64(dst, uint64(action.Request))
}

// appendNode appends the number of a node, which has nodeBytes.
func appendNode(dst []byte, action *routing.Action) []byte {
	const lowBits = 16
	dst = binary.BigEndian.AppendUint32(dst, uint32(action.Node>>lowBits))
	return binary.BigEndian.AppendUint16(dst, uint16(action.Node))
}

// appendDelay appends a time in milliseconds.
func appendDelay(dst []byte, action *routing.Action) []byte {
	milliseconds := float64(action.Delay) / float64(time.Millisecond)
	return binary.BigEndian.AppendUint64(dst, math.Float64bits(milliseconds))
}
