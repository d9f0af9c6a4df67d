package frontend

import "time"

// arrivals records the arrival times of the bytes that the session buffers. The deadline of a request counts from the
// arrival of its last byte, even if the request then waits behind a full pipeline.
type arrivals struct {
	received int64         // number of bytes received on the connection, parsed or not
	marks    []arrivalMark // in the order of arrival
}

// arrivalMark is the arrival time of the bytes from the end of the previous mark to the end of this one.
type arrivalMark struct {
	end int64         // offset in the connection's input, as counted by arrivals.received
	at  time.Duration // time of arrival on the core's clock
}

// record adds the arrival of a number of bytes. Bytes that arrive less than the resolution after the last mark extend
// that mark, which bounds the number of marks.
func (arrivals *arrivals) record(bytes int, at, resolution time.Duration) {
	arrivals.received += int64(bytes)
	if last := len(arrivals.marks) - 1; last >= 0 && at-arrivals.marks[last].at < resolution {
		arrivals.marks[last].end = arrivals.received
		return
	}
	arrivals.marks = append(arrivals.marks, arrivalMark{arrivals.received, at})
}

// sinceLastByte returns how long ago the last parsed byte arrived, or 0 if its arrival is not recorded. The parameter
// unparsed is the number of received bytes after it. The marks before that byte are dropped.
func (arrivals *arrivals) sinceLastByte(unparsed int, now time.Duration) time.Duration {
	parsed := arrivals.received - int64(unparsed)
	for len(arrivals.marks) > 0 && arrivals.marks[0].end < parsed {
		arrivals.marks = arrivals.marks[1:]
	}
	if len(arrivals.marks) == 0 {
		return 0
	}
	return now - arrivals.marks[0].at
}

// clear drops all marks. It is called when no complete message is buffered. The arrival of the first bytes of an
// incomplete message is not needed, and bytes that arrive slowly one by one would each add a mark.
func (arrivals *arrivals) clear() { arrivals.marks = arrivals.marks[:0] }
